package org.bamboohatch.agent.driver;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/** HTTP calls to a target that the drivers share. */
final class HttpCalls {

    /** Mapper of JSON texts that hold one value each. */
    static final ObjectMapper MAPPER = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    /** Timeout of calls that the target answers at once, in milliseconds. */
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** Timeout of a placement order, which includes the time to load a model, in milliseconds. */
    private static final long ORDER_TIMEOUT_MS = 600_000;

    private final HttpClient client;

    /** Base URL of the target. */
    private final String targetUrl;

    /**
     * Creates the calls to a target.
     *
     * @param client HTTP client, which must be started
     * @param targetUrl base URL of the target
     */
    HttpCalls(HttpClient client, String targetUrl) {
        this.client = client;
        this.targetUrl = targetUrl;
    }

    /**
     * Creates the HTTP request of a dispatched request. Its timeout is the remaining time of the dispatched request.
     *
     * @param dispatch the dispatched request
     * @return the HTTP request, which has not been sent
     */
    Request newRequest(Dispatch dispatch) {
        Request request = newRequest(dispatch.call().path())
                .method(dispatch.call().method())
                .timeout(dispatch.remainingMillis(), TimeUnit.MILLISECONDS);
        if (dispatch.call().body().length > 0) {
            request.body(new BytesRequestContent(
                    dispatch.call().contentType(), dispatch.call().body()));
        }
        return request;
    }

    /**
     * Indicates whether a response shows where its body ends. The body of any other response ends with the connection.
     *
     * @param result result of a successful request
     * @return {@code true} if the response has a length, chunks or no body
     */
    static boolean showsItsEnd(Result result) {
        HttpFields fields = result.getResponse().getHeaders();
        int status = result.getResponse().getStatus();
        return fields.contains(HttpHeader.CONTENT_LENGTH)
                || fields.contains(HttpHeader.TRANSFER_ENCODING)
                || status == HttpStatus.NO_CONTENT_204
                || status == HttpStatus.NOT_MODIFIED_304
                || HttpMethod.HEAD.is(result.getRequest().getMethod());
    }

    /**
     * Sends a GET request.
     *
     * @param path path at the target
     * @return completed with the JSON response, or exceptionally if the call fails or its status is 400 or higher
     */
    CompletableFuture<JsonNode> get(String path) {
        return send(newCall(path));
    }

    /**
     * Sends a POST request without a body.
     *
     * @param path path at the target
     * @return completed with the JSON response, or exceptionally if the call fails or its status is 400 or higher
     */
    CompletableFuture<JsonNode> post(String path) {
        return send(newCall(path).method(HttpMethod.POST));
    }

    /**
     * Sends a placement order as a POST request.
     *
     * @param path path at the target
     * @param order properties of the order, sent as a JSON object
     * @return completed with the JSON response, or exceptionally if the call fails or its status is 400 or higher
     */
    CompletableFuture<JsonNode> postOrder(String path, Map<String, Object> order) {
        try {
            return send(newCall(path)
                    .method(HttpMethod.POST)
                    .body(new BytesRequestContent("application/json", MAPPER.writeValueAsBytes(order)))
                    .timeout(ORDER_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Indicates whether the target may have received a failed request.
     *
     * @param result result of the failed request
     * @return {@code false} only if the connection to the target could not be established
     */
    static boolean mayHaveStarted(Result result) {
        return !(result.getRequestFailure() instanceof ConnectException);
    }

    private Request newCall(String path) {
        return newRequest(path).timeout(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Creates a GET request with a connection of its own: targets do not repeat an id, so on a kept connection a late second
     * response to an earlier request could be taken for that of this one. A response with a faulty head fails the request.
     *
     * @param path path at the target
     * @return the request, without a timeout
     */
    private Request newRequest(String path) {
        return client.newRequest(targetUrl + path)
                .headers(headers -> headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString()))
                .onResponseHeaders(response ->
                        ResponseHead.fault(response).ifPresent(fault -> response.abort(new IOException(fault))));
    }

    private static CompletableFuture<JsonNode> send(Request request) {
        CompletableFuture<JsonNode> response = new CompletableFuture<>();
        request.send(new BufferingResponseListener() {
            @Override
            public void onComplete(Result result) {
                if (result.isFailed()) {
                    response.completeExceptionally(result.getFailure());
                    return;
                }
                try {
                    if (result.getResponse().getStatus() >= 400) {
                        throw new IllegalStateException(
                                "HTTP status " + result.getResponse().getStatus());
                    }
                    response.complete(MAPPER.readTree(getContent()));
                } catch (IOException | IllegalStateException failure) {
                    response.completeExceptionally(failure);
                }
            }
        });
        return response;
    }
}
