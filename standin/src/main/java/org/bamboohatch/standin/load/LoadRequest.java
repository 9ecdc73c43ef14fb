package org.bamboohatch.standin.load;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bamboohatch.http.JsonResponse;
import org.bamboohatch.kernel.stream.ServerSentEventParser;
import org.bamboohatch.standin.load.LoadResult.Outcome;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;

/** One request of the load driver, which checks that the streamed answer is complete and correct. */
final class LoadRequest {

    /** Time that the client waits for the end of a request, as a multiple of the request's timeout. */
    private static final double CLIENT_TIMEOUT_FACTOR = 1.5;

    private static final double NANOS_PER_MS = 1e6;

    private static final double MILLIS_PER_SECOND = 1e3;

    /** Time after its deadline within which an answer still counts as in time. */
    private static final double DEADLINE_GRACE_MS = 50;

    /** Number of distinct words in the answers of the stand-in engine. */
    private static final int VOCABULARY_SIZE = 9_973;

    private final LoadSettings.Shape shape;

    private final int account;

    private final long promptTokens;

    private final double arrivedMillis;

    private final long startNanos = System.nanoTime();

    /** Time of the first token, or zero before it. */
    private long firstTokenNanos;

    private long lastTokenNanos;

    private long receivedTokens;

    /** Number in the last token's text, or negative before the first token. */
    private int lastTokenNumber = -1;

    /** Whether an event was malformed or a token did not follow its predecessor. */
    private boolean corrupt;

    private boolean endReceived;

    private boolean errorReceived;

    /**
     * Creates a request whose time starts now.
     *
     * @param shape the shape
     * @param account number of the account
     * @param promptTokens length of the prompt, in tokens
     * @param arrivedMillis arrival time, in milliseconds since the start of the run
     */
    LoadRequest(LoadSettings.Shape shape, int account, long promptTokens, double arrivedMillis) {
        this.shape = shape;
        this.account = account;
        this.promptTokens = promptTokens;
        this.arrivedMillis = arrivedMillis;
    }

    /**
     * Sends the request.
     *
     * @param client the HTTP client
     * @param url base URL of the server
     * @param key API key of the client account
     * @param model name of the model
     * @param prompt text of the prompt
     * @param results receives the result
     */
    void send(HttpClient client, String url, String key, String model, String prompt, Consumer<LoadResult> results) {
        ObjectNode json = JsonResponse.MAPPER.createObjectNode();
        json.put("model", model);
        json.put("prompt", prompt);
        json.put("max_tokens", shape.outputTokens());
        json.put("stream", true);
        json.put("request_id", "load-" + System.identityHashCode(this) + "-" + startNanos);
        ServerSentEventParser parser = new ServerSentEventParser(this::onEvent);
        client.newRequest(url + "/v1/completions")
                .method("POST")
                .headers(headers -> headers.put("Authorization", "Bearer " + key)
                        .put("Request-Timeout", Double.toString(shape.timeoutSeconds())))
                .body(new BytesRequestContent(
                        "application/json", JsonResponse.toJson(json).getBytes()))
                .timeout(
                        (long) (shape.timeoutSeconds() * CLIENT_TIMEOUT_FACTOR * MILLIS_PER_SECOND),
                        TimeUnit.MILLISECONDS)
                .onResponseContent((response, part) -> parser.parse(part))
                .send(result -> results.accept(toResult(result)));
    }

    /**
     * Invoked for each server-sent event of the response.
     *
     * @param data data of the event
     */
    private void onEvent(String data) {
        if (data.equals("[DONE]")) {
            endReceived = true;
            return;
        }
        try {
            JsonNode event = JsonResponse.MAPPER.readTree(data);
            errorReceived |= event.has("error");
            String text = event.path("choices").path(0).path("text").asText("");
            if (!text.isEmpty()) {
                onToken(text);
            }
        } catch (IOException malformed) {
            corrupt = true;
        }
    }

    private void onToken(String text) {
        lastTokenNanos = System.nanoTime();
        if (firstTokenNanos == 0) {
            firstTokenNanos = lastTokenNanos;
        }
        receivedTokens++;
        int tokenNumber = Integer.parseInt(text.substring(2));
        corrupt |= lastTokenNumber >= 0 && tokenNumber != (lastTokenNumber + 1) % VOCABULARY_SIZE;
        lastTokenNumber = tokenNumber;
    }

    private LoadResult toResult(Result result) {
        long end = System.nanoTime();
        int status = result.getResponse() == null ? 0 : result.getResponse().getStatus();
        double total = (end - startNanos) / NANOS_PER_MS;
        return new LoadResult(
                shape.name(),
                account,
                arrivedMillis,
                promptTokens,
                outcome(result.isFailed(), status, total),
                status,
                firstTokenNanos == 0 ? -1 : (firstTokenNanos - startNanos) / NANOS_PER_MS,
                total,
                receivedTokens > 1 ? (lastTokenNanos - firstTokenNanos) / NANOS_PER_MS / (receivedTokens - 1) : -1);
    }

    /**
     * Classifies the end of the request.
     *
     * @param failed whether the HTTP exchange failed
     * @param status the HTTP status, or zero without a response
     * @param totalMillis time from the arrival to the end, in milliseconds
     * @return the outcome
     */
    private Outcome outcome(boolean failed, int status, double totalMillis) {
        boolean late = totalMillis > shape.timeoutSeconds() * MILLIS_PER_SECOND + DEADLINE_GRACE_MS;
        if (corrupt || status == 200 && endReceived && receivedTokens != shape.outputTokens()) {
            return Outcome.WRONG;
        }
        if (status == 429 || status == 503) {
            return late ? Outcome.LATE : Outcome.REFUSED;
        }
        if (failed || status != 200 || errorReceived || !endReceived) {
            return late ? Outcome.LATE : Outcome.FAILED;
        }
        return late ? Outcome.LATE : Outcome.OK;
    }
}
