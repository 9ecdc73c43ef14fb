package org.bamboohatch.agent.driver;

import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;

/** HTTP calls that the drivers share. */
final class HttpCalls {

    /** Maps values to JSON. */
    static final ObjectMapper MAPPER = new ObjectMapper();

    /** Time for a short question, in milliseconds. */
    private static final long QUESTION_TIMEOUT_MS = 1_000;

    /** Time for an order, in milliseconds. */
    private static final long ORDER_TIMEOUT_MS = 600_000;

    /** The HTTP client. */
    private final HttpClient client;

    /** Address of the target. */
    private final String targetUrl;

    /**
     * Creates the calls.
     *
     * @param client the HTTP client
     * @param targetUrl address of the target
     */
    HttpCalls(HttpClient client, String targetUrl) {
        this.client = client;
        this.targetUrl = targetUrl;
    }

    /**
     * Makes the request of a dispatched call.
     *
     * @param dispatch the call
     * @return the request
     */
    Request request(Dispatch dispatch) {
        Request request = client.newRequest(targetUrl + dispatch.call().path())
                .method(dispatch.call().method())
                .timeout(dispatch.remainingMillis(), TimeUnit.MILLISECONDS);
        if (dispatch.call().body().length > 0) {
            request.body(new BytesRequestContent(
                    dispatch.call().contentType(), dispatch.call().body()));
        }
        return request;
    }

    /**
     * Asks a short question.
     *
     * @param path the path
     * @return the JSON answer
     */
    CompletableFuture<JsonNode> get(String path) {
        return send(client.newRequest(targetUrl + path).timeout(QUESTION_TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /**
     * Posts without a body.
     *
     * @param path the path
     * @return the JSON answer
     */
    CompletableFuture<JsonNode> post(String path) {
        return send(client.newRequest(targetUrl + path)
                .method(HttpMethod.POST)
                .timeout(QUESTION_TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    /**
     * Posts an order.
     *
     * @param path the path
     * @param order the order
     * @return the JSON answer
     */
    CompletableFuture<JsonNode> order(String path, Map<String, Object> order) {
        try {
            return send(client.newRequest(targetUrl + path)
                    .method(HttpMethod.POST)
                    .body(new BytesRequestContent("application/json", MAPPER.writeValueAsBytes(order)))
                    .timeout(ORDER_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Tells whether the target may have seen a failed request.
     *
     * @param result the result
     * @return whether the request was sent, even in part
     */
    static boolean mayHaveStarted(Result result) {
        return !(result.getRequestFailure() instanceof ConnectException);
    }

    /**
     * Sends a request for JSON.
     *
     * @param request the request
     * @return the answer
     */
    private static CompletableFuture<JsonNode> send(Request request) {
        CompletableFuture<JsonNode> answer = new CompletableFuture<>();
        request.send(new BufferingResponseListener() {
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    answer.completeExceptionally(result.getFailure());
                    return;
                }
                try {
                    if (result.getResponse().getStatus() >= 400) {
                        throw new IllegalStateException(
                                "status " + result.getResponse().getStatus());
                    }
                    answer.complete(MAPPER.readTree(getContent()));
                } catch (java.io.IOException | IllegalStateException wrong) {
                    answer.completeExceptionally(wrong);
                }
            }
        });
        return answer;
    }
}
