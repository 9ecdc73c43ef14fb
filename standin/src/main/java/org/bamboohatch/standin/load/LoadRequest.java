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

/** One request of the load driver; checks that the answer is whole and right. */
final class LoadRequest {

    /** Time after which a request without an end is given up, as a factor on its time. */
    private static final double PATIENCE = 1.5;

    /** Nanoseconds in a millisecond. */
    private static final double NANOS_PER_MS = 1e6;

    /** Milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Time after its deadline at which an answer still counts as in time, in milliseconds. */
    private static final double GRACE_MS = 50;

    /** Number of different words in the answers of the stand-in engine. */
    private static final int VOCABULARY = 9_973;

    /** The kind of request. */
    private final LoadSettings.Shape shape;

    /** Number of the account. */
    private final int account;

    /** Length of the prompt. */
    private final long promptTokens;

    /** Time of arrival since the start, in milliseconds. */
    private final double arrivedMillis;

    /** Time of arrival. */
    private final long startNanos = System.nanoTime();

    /** Time of the first token, zero before it. */
    private long firstNanos;

    /** Time of the last token. */
    private long lastNanos;

    /** Tokens so far. */
    private long tokens;

    /** The last token's number, negative before the first. */
    private int lastWord = -1;

    /** Whether a token did not follow the one before it. */
    private boolean broken;

    /** Whether the end of the stream was seen. */
    private boolean done;

    /** Whether the stream carried an error. */
    private boolean error;

    /**
     * Creates a request.
     *
     * @param shape the kind of request
     * @param account number of the account
     * @param promptTokens length of the prompt
     * @param arrivedMillis time of arrival since the start, in milliseconds
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
     * @param url address of the server
     * @param key the API key
     * @param model the model
     * @param prompt the prompt
     * @param results takes what became of it
     */
    void send(HttpClient client, String url, String key, String model, String prompt, Consumer<LoadResult> results) {
        ObjectNode json = JsonResponse.MAPPER.createObjectNode();
        json.put("model", model);
        json.put("prompt", prompt);
        json.put("max_tokens", shape.outputTokens());
        json.put("stream", true);
        json.put("request_id", "load-" + System.identityHashCode(this) + "-" + startNanos);
        ServerSentEventParser parser = new ServerSentEventParser(this::take);
        client.newRequest(url + "/v1/completions")
                .method("POST")
                .headers(headers -> headers.put("Authorization", "Bearer " + key)
                        .put("Request-Timeout", Double.toString(shape.timeoutSeconds())))
                .body(new BytesRequestContent(
                        "application/json", JsonResponse.toJson(json).getBytes()))
                .timeout((long) (shape.timeoutSeconds() * PATIENCE * MILLIS_PER_SECOND), TimeUnit.MILLISECONDS)
                .onResponseContent((response, part) -> parser.parse(part))
                .send(result -> results.accept(finish(result)));
    }

    /**
     * Takes an event.
     *
     * @param data its data
     */
    private void take(String data) {
        if (data.equals("[DONE]")) {
            done = true;
            return;
        }
        try {
            JsonNode event = JsonResponse.MAPPER.readTree(data);
            error |= event.has("error");
            String text = event.path("choices").path(0).path("text").asText("");
            if (!text.isEmpty()) {
                takeToken(text);
            }
        } catch (IOException malformed) {
            broken = true;
        }
    }

    /**
     * Takes a token.
     *
     * @param text its text
     */
    private void takeToken(String text) {
        lastNanos = System.nanoTime();
        if (firstNanos == 0) {
            firstNanos = lastNanos;
        }
        tokens++;
        int word = Integer.parseInt(text.substring(2));
        broken |= lastWord >= 0 && word != (lastWord + 1) % VOCABULARY;
        lastWord = word;
    }

    /**
     * Judges the end.
     *
     * @param result the result of the HTTP client
     * @return what became of the request
     */
    private LoadResult finish(Result result) {
        long end = System.nanoTime();
        int status = result.getResponse() == null ? 0 : result.getResponse().getStatus();
        double total = (end - startNanos) / NANOS_PER_MS;
        return new LoadResult(
                shape.name(),
                account,
                arrivedMillis,
                promptTokens,
                judge(result.isFailed(), status, total),
                status,
                firstNanos == 0 ? -1 : (firstNanos - startNanos) / NANOS_PER_MS,
                total,
                tokens > 1 ? (lastNanos - firstNanos) / NANOS_PER_MS / (tokens - 1) : -1);
    }

    /**
     * Judges how the request ended.
     *
     * @param failed whether the connection failed
     * @param status the HTTP status
     * @param totalMillis the time to the end, in milliseconds
     * @return the outcome
     */
    private Outcome judge(boolean failed, int status, double totalMillis) {
        boolean late = totalMillis > shape.timeoutSeconds() * MILLIS_PER_SECOND + GRACE_MS;
        if (broken || status == 200 && done && tokens != shape.outputTokens()) {
            return Outcome.WRONG;
        }
        if (status == 429 || status == 503) {
            return late ? Outcome.LATE : Outcome.REFUSED;
        }
        if (failed || status != 200 || error || !done) {
            return late ? Outcome.LATE : Outcome.FAILED;
        }
        return late ? Outcome.LATE : Outcome.OK;
    }
}
