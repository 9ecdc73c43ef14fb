package org.bamboohatch.entry.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.bamboohatch.entry.request.CallerSink;
import org.bamboohatch.http.JsonResponse;
import org.bamboohatch.http.ResponseStream;
import org.bamboohatch.kernel.outcome.Refusal;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** The ways in which callers take answers. */
final class CallerSinks {

    /** Not instantiated. */
    private CallerSinks() {}

    /**
     * What the answers to a completion have in common.
     *
     * @param id identifier of the request
     * @param model the model
     * @param format the form of the answer
     * @param promptTokens length of the prompt, in tokens
     */
    record Completion(String id, String model, CompletionFormat format, long promptTokens) {}

    /** Sends each part as an event when it comes. */
    static final class ForStreamedCompletion implements CallerSink {

        /** The completion. */
        private final Completion completion;

        /** The response. */
        private final Response response;

        /** Completes the exchange. */
        private final Callback callback;

        /** Writes the parts. */
        private final ResponseStream stream;

        /** Whether the first part has been sent. */
        private boolean begun;

        /**
         * Creates a sink.
         *
         * @param completion the completion
         * @param response the response
         * @param callback completes the exchange
         * @param onGone called once if the caller has gone away
         */
        ForStreamedCompletion(Completion completion, Response response, Callback callback, Runnable onGone) {
            this.completion = completion;
            this.response = response;
            this.callback = callback;
            this.stream = new ResponseStream(response, callback, onGone);
        }

        @Override
        public synchronized void part(byte[] data, int tokens) {
            begin();
            stream.sendEvent(completion
                    .format()
                    .event(completion.id(), completion.model(), new String(data, StandardCharsets.UTF_8), null));
        }

        @Override
        public synchronized void complete(int status, String contentType, String finishReason) {
            begin();
            stream.sendEvent(completion.format().event(completion.id(), completion.model(), "", finishReason));
            stream.sendEvent("[DONE]");
            stream.end();
        }

        @Override
        public synchronized void refuse(Refusal refusal) {
            if (begun) {
                stream.sendEvent(JsonResponse.text(JsonResponse.body(refusal)));
                stream.end();
            } else {
                begun = true;
                JsonResponse.refuse(response, callback, refusal);
            }
        }

        /** Sends the head of the response before the first part. */
        private void begin() {
            if (!begun) {
                begun = true;
                stream.begin(200, "text/event-stream");
            }
        }
    }

    /** Gathers the parts and sends them at the end. */
    static final class ForWholeCompletion implements CallerSink {

        /** The completion. */
        private final Completion completion;

        /** The response. */
        private final Response response;

        /** Completes the exchange. */
        private final Callback callback;

        /** The answer so far. */
        private final ByteArrayOutputStream answer = new ByteArrayOutputStream();

        /** Answer tokens so far. */
        private long answerTokens;

        /**
         * Creates a sink.
         *
         * @param completion the completion
         * @param response the response
         * @param callback completes the exchange
         */
        ForWholeCompletion(Completion completion, Response response, Callback callback) {
            this.completion = completion;
            this.response = response;
            this.callback = callback;
        }

        @Override
        public synchronized void part(byte[] data, int tokens) {
            answer.writeBytes(data);
            answerTokens += tokens;
        }

        @Override
        public synchronized void complete(int status, String contentType, String finishReason) {
            JsonResponse.write(
                    response,
                    callback,
                    200,
                    completion
                            .format()
                            .whole(
                                    completion.id(),
                                    completion.model(),
                                    answer.toString(StandardCharsets.UTF_8),
                                    finishReason,
                                    List.of(completion.promptTokens(), answerTokens)));
        }

        @Override
        public void refuse(Refusal refusal) {
            JsonResponse.refuse(response, callback, refusal);
        }
    }

    /** Gathers the answer of a plain service and sends it as it is. */
    static final class ForPlainCall implements CallerSink {

        /** The response. */
        private final Response response;

        /** Completes the exchange. */
        private final Callback callback;

        /** The answer so far. */
        private final ByteArrayOutputStream answer = new ByteArrayOutputStream();

        /**
         * Creates a sink.
         *
         * @param response the response
         * @param callback completes the exchange
         */
        ForPlainCall(Response response, Callback callback) {
            this.response = response;
            this.callback = callback;
        }

        @Override
        public synchronized void part(byte[] data, int tokens) {
            answer.writeBytes(data);
        }

        @Override
        public synchronized void complete(int status, String contentType, String finishReason) {
            JsonResponse.write(response, callback, status, contentType, answer.toByteArray());
        }

        @Override
        public void refuse(Refusal refusal) {
            JsonResponse.refuse(response, callback, refusal);
        }
    }
}
