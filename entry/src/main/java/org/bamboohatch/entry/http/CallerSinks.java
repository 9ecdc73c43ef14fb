package org.bamboohatch.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.bamboohatch.entry.request.CallerSink;
import org.bamboohatch.http.JsonResponse;
import org.bamboohatch.http.ResponseStream;
import org.bamboohatch.kernel.outcome.Refusal;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Sinks that write responses over HTTP. */
final class CallerSinks {

    private CallerSinks() {}

    /**
     * The properties of a completion that its response contains.
     *
     * @param id identifier of the request
     * @param model name of the model
     * @param format format of the response
     * @param promptTokens length of the prompt, in tokens
     */
    record CompletionContext(String id, String model, CompletionFormat format, long promptTokens) {}

    /** Sends each chunk of a completion as a server-sent event. */
    static final class ForStreamingCompletion implements CallerSink {

        private final CompletionContext context;

        private final Response response;

        private final Callback callback;

        private final ResponseStream stream;

        /** Whether the status and headers of the response are determined. */
        private boolean begun;

        /**
         * Creates a sink for a streamed completion.
         *
         * @param context properties of the completion that the response contains
         * @param response the HTTP response
         * @param callback completed when the response has been sent
         * @param onDisconnect invoked once if the caller disconnects
         */
        ForStreamingCompletion(CompletionContext context, Response response, Callback callback, Runnable onDisconnect) {
            this.context = context;
            this.response = response;
            this.callback = callback;
            this.stream = new ResponseStream(response, callback, onDisconnect);
        }

        @Override
        public synchronized void chunk(byte[] data, int tokens) {
            begin();
            stream.sendEvent(context.format()
                    .chunkJson(context.id(), context.model(), new String(data, StandardCharsets.UTF_8), null));
        }

        @Override
        public void discardUnsent() {
            // Every chunk is sent at once.
        }

        @Override
        public synchronized void complete(int status, String contentType, String finishReason) {
            begin();
            stream.sendEvent(context.format().chunkJson(context.id(), context.model(), "", finishReason));
            stream.sendEvent("[DONE]");
            stream.end();
        }

        /** Sends an error as an event if the response has begun, else as the response itself. */
        @Override
        public synchronized void refuse(Refusal refusal) {
            if (begun) {
                stream.sendEvent(JsonResponse.toJson(JsonResponse.errorBody(refusal)));
                stream.end();
            } else {
                begun = true;
                JsonResponse.writeRefusal(response, callback, refusal);
            }
        }

        private void begin() {
            if (!begun) {
                begun = true;
                stream.begin(200, "text/event-stream");
            }
        }
    }

    /** Buffers the chunks of a completion and sends them as one JSON response. */
    static final class ForBufferedCompletion implements CallerSink {

        private final CompletionContext context;

        private final Response response;

        private final Callback callback;

        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

        private long outputTokens;

        /**
         * Creates a sink for a completion that is not streamed.
         *
         * @param context properties of the completion that the response contains
         * @param response the HTTP response
         * @param callback completed when the response has been sent
         */
        ForBufferedCompletion(CompletionContext context, Response response, Callback callback) {
            this.context = context;
            this.response = response;
            this.callback = callback;
        }

        @Override
        public synchronized void chunk(byte[] data, int tokens) {
            buffer.writeBytes(data);
            outputTokens += tokens;
        }

        @Override
        public synchronized void discardUnsent() {
            buffer.reset();
            outputTokens = 0;
        }

        @Override
        public synchronized void complete(int status, String contentType, String finishReason) {
            JsonResponse.write(
                    response,
                    callback,
                    200,
                    context.format()
                            .completeResponse(
                                    context.id(),
                                    context.model(),
                                    buffer.toString(StandardCharsets.UTF_8),
                                    finishReason,
                                    List.of(context.promptTokens(), outputTokens)));
        }

        @Override
        public void refuse(Refusal refusal) {
            JsonResponse.writeRefusal(response, callback, refusal);
        }
    }

    /** Buffers the response of a plain service and sends it unchanged. */
    static final class ForBufferedPlainCall implements CallerSink {

        private final Response response;

        private final Callback callback;

        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

        /**
         * Creates a sink for a call of a plain service.
         *
         * @param response the HTTP response
         * @param callback completed when the response has been sent
         */
        ForBufferedPlainCall(Response response, Callback callback) {
            this.response = response;
            this.callback = callback;
        }

        @Override
        public synchronized void chunk(byte[] data, int tokens) {
            buffer.writeBytes(data);
        }

        @Override
        public synchronized void discardUnsent() {
            buffer.reset();
        }

        @Override
        public synchronized void complete(int status, String contentType, String finishReason) {
            if (HttpMethod.HEAD.is(response.getRequest().getMethod())) {
                JsonResponse.writeHead(response, callback, status, contentType);
            } else {
                JsonResponse.write(response, callback, status, contentType, buffer.toByteArray());
            }
        }

        @Override
        public void refuse(Refusal refusal) {
            JsonResponse.writeRefusal(response, callback, refusal);
        }
    }
}
