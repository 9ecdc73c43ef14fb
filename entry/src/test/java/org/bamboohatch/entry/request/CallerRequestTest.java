package org.bamboohatch.entry.request;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.AgentReply.Chunk;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.protocol.message.RecordedAnswer;
import org.bamboohatch.routing.LengthClass;
import org.bamboohatch.routing.WaitingRequest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class CallerRequestTest {

    private static final AttemptId FIRST = new AttemptId("first");
    private static final AttemptId SECOND = new AttemptId("second");

    /** Records the text that a caller would receive and the ends of the response. */
    private static final class RecordingSink implements CallerSink {
        private final StringBuilder text = new StringBuilder();
        private final List<String> ends = new ArrayList<>();

        @Override
        public void chunk(byte[] data, int tokens) {
            text.append(new String(data, StandardCharsets.UTF_8));
        }

        @Override
        public void discardUnsent() {
            text.setLength(0);
        }

        @Override
        public void complete(int status, String contentType, String finishReason) {
            ends.add("complete");
        }

        @Override
        public void refuse(Refusal refusal) {
            ends.add(refusal.outcome().wireName());
        }
    }

    private final RecordingSink sink = new RecordingSink();
    private final CallerRequest request = new CallerRequest(
            new CallerRequest.Description(
                    new ServiceName("s"),
                    null,
                    new WaitingRequest(
                            new RequestId("r"), new AccountName("a"), 1, LengthClass.UP_TO_2K, 1, 1, 0, 1_000),
                    (attempt, priority, resumeFrom) -> null,
                    Optional.empty(),
                    "",
                    false,
                    1),
            sink);

    private CallerRequest.Delivery deliver(AttemptId attempt, long sequence, String text) {
        return request.deliver(new Chunk(attempt, sequence, 1, text.getBytes(StandardCharsets.UTF_8)));
    }

    @Example
    void deliversChunksInOrder() {
        request.beginAttempt(FIRST);
        assertThat(deliver(FIRST, 0, "a")).isEqualTo(CallerRequest.Delivery.FIRST);
        assertThat(deliver(FIRST, 1, "b")).isEqualTo(CallerRequest.Delivery.DELIVERED);
        assertThat(sink.text).hasToString("ab");
    }

    @Example
    void dropsDuplicateChunk() {
        request.beginAttempt(FIRST);
        deliver(FIRST, 0, "a");
        assertThat(deliver(FIRST, 0, "a")).isEqualTo(CallerRequest.Delivery.DROPPED);
        assertThat(sink.text).hasToString("a");
    }

    @Example
    void reportsGapIfEarlierChunkIsMissing() {
        request.beginAttempt(FIRST);
        assertThat(deliver(FIRST, 1, "b")).isEqualTo(CallerRequest.Delivery.GAP);
    }

    @Example
    void dropsChunksOfEarlierAttempt() {
        request.beginAttempt(FIRST);
        deliver(FIRST, 0, "a");
        request.beginAttempt(SECOND);
        assertThat(deliver(FIRST, 1, "x")).isEqualTo(CallerRequest.Delivery.DROPPED);
        deliver(SECOND, 0, "b");
        assertThat(sink.text).hasToString("ab");
        assertThat(request.deliveredTokens()).isEqualTo(2);
    }

    private void deliverPlain(AttemptId attempt, String text) {
        request.deliver(new Chunk(attempt, 0, 0, text.getBytes(StandardCharsets.UTF_8)));
    }

    /** Guards against the bodies of two attempts in one response, when the end of the first one was lost. */
    @Example
    void thePlainResponseOfASecondAttemptReplacesThatOfTheFirst() {
        request.beginAttempt(FIRST);
        deliverPlain(FIRST, "whole");
        request.dropAttempt();
        request.beginAttempt(SECOND);
        deliverPlain(SECOND, "whole");
        request.complete(SECOND, 1, 200, "text/plain", "");
        assertThat(sink.text).hasToString("whole");
    }

    /** Guards against a recorded body behind the one that the target had sent already. */
    @Example
    void theRecordedResponseReplacesThatOfTheTarget() {
        request.beginAttempt(FIRST);
        deliverPlain(FIRST, "whole");
        request.completeRecorded(new RecordedAnswer(200, "text/plain", "whole".getBytes(StandardCharsets.UTF_8)));
        assertThat(sink.text).hasToString("whole");
    }

    /** Guards against a success with an empty body in the place of a response that was too long to be recorded. */
    @Example
    void aRecordedResponseWithoutItsBodyIsAnError() throws IOException {
        byte[] body = new byte[RecordedAnswer.MAX_BODY_BYTES + 1];
        byte[] stored = MessageCodec.instance().encode(new RecordedAnswer(200, "text/plain", body));
        assertThat(request.completeRecorded(MessageCodec.instance().decode(stored, RecordedAnswer.class)))
                .isTrue();
        assertThat(sink.ends).containsExactly("unknown");
    }

    @Example
    void completionWithMissingChunksBreaksInvariant() {
        request.beginAttempt(FIRST);
        deliver(FIRST, 0, "a");
        assertThatThrownBy(() -> request.complete(FIRST, 2, 200, "text/plain", "stop"))
                .isInstanceOf(Invariant.Violation.class);
    }

    @Example
    void endsOnlyOnce() {
        request.beginAttempt(FIRST);
        assertThat(request.complete(FIRST, 0, 200, "text/plain", "stop")).isTrue();
        assertThat(request.refuse(Refusal.notRun(ErrorCode.OVERLOADED, "late"))).isFalse();
        assertThat(deliver(FIRST, 0, "a")).isEqualTo(CallerRequest.Delivery.DROPPED);
        assertThat(sink.ends).containsExactly("complete");
    }

    @Example
    void refusalAfterAcceptanceReportsFailed() {
        request.markAccepted();
        request.refuse(Refusal.notRun(ErrorCode.OVERLOADED, "late"));
        assertThat(sink.ends).containsExactly("failed");
    }

    @Example
    void refusalBeforeAcceptanceReportsNotRun() {
        request.refuse(Refusal.notRun(ErrorCode.OVERLOADED, "late"));
        assertThat(sink.ends).containsExactly("not-run");
    }

    @Property(tries = 200, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void resumedAttemptsDeliverEachTokenOnceInOrder(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int responseTokens = 40;
        List<Chunk> earlierChunks = new ArrayList<>();
        for (int attempt = 0; attempt < 5 && request.deliveredTokens() < responseTokens; attempt++) {
            AttemptId id = new AttemptId("attempt-" + attempt);
            request.beginAttempt(id);
            int from = (int) request.deliveredTokens();
            int until = attempt == 4 ? responseTokens : from + random.nextInt(responseTokens - from + 1);
            List<Chunk> sent = new ArrayList<>();
            for (int token = from; token < until; token++) {
                sent.add(new Chunk(id, token - from, 1, (token + " ").getBytes(StandardCharsets.UTF_8)));
            }
            List<Chunk> lateChunks = new ArrayList<>(earlierChunks);
            Collections.shuffle(lateChunks, new java.util.Random(seed));
            for (Chunk chunk : sent) {
                if (!lateChunks.isEmpty() && random.nextBoolean()) {
                    request.deliver(lateChunks.remove(0));
                }
                request.deliver(chunk);
                if (random.nextInt(5) == 0) {
                    request.deliver(chunk);
                }
            }
            earlierChunks.addAll(sent);
        }
        String expected = java.util.stream.IntStream.range(0, responseTokens)
                .mapToObj(token -> token + " ")
                .collect(java.util.stream.Collectors.joining());
        assertThat(sink.text).hasToString(expected);
    }
}
