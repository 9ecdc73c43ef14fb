package org.bamboohatch.gateway.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class EventFramerTest {

    private static final String STREAM =
            "id: 1\ndata: glass\n\nversion: 3\nid: 2\ndata: be\ndata: ads\n\n: note\n\nid: 3\r\n\r\n";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The framer returns the whole stream unchanged, at whichever positions the input is split. */
    @Property(tries = 80, seed = "5")
    void theStreamIsForwardedUnchanged(
            @ForAll @IntRange(min = 0, max = 60) int firstCut, @ForAll @IntRange(min = 0, max = 60) int secondLength) {
        EventFramer framer = new EventFramer();
        ByteArrayOutputStream forwarded = new ByteArrayOutputStream();
        byte[] all = bytes(STREAM);
        int from = Math.min(firstCut, all.length);
        int until = Math.min(all.length, from + secondLength);
        forwarded.writeBytes(framer.append(Unpooled.wrappedBuffer(all, 0, from), 5));
        forwarded.writeBytes(framer.append(Unpooled.wrappedBuffer(all, from, until - from), 5));
        forwarded.writeBytes(framer.append(Unpooled.wrappedBuffer(all, until, all.length - until), 5));
        assertThat(forwarded.toByteArray()).isEqualTo(all);
        assertThat(framer.hasPartialEvent()).isFalse();
        assertThat(framer.lastEventId()).contains("3");
        assertThat(framer.eventCount()).isEqualTo(3);
    }

    @Example
    void aTruncatedEventIsWithheldAndDiscarded() {
        EventFramer framer = new EventFramer();
        byte[] forwarded = framer.append(Unpooled.wrappedBuffer(bytes("id: 1\ndata: a\n\nid: 2\ndata: b")), 5);
        assertThat(new String(forwarded, StandardCharsets.UTF_8)).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(framer.hasPartialEvent()).isTrue();
        assertThat(framer.lastEventId()).contains("1");
        framer.discardPartialEvent();
        assertThat(framer.append(Unpooled.wrappedBuffer(bytes("id: 2\ndata: b\n\n")), 5))
                .isEqualTo(bytes("id: 2\ndata: b\n\n"));
        assertThat(framer.lastEventId()).contains("2");
    }

    /** A stream cannot be resumed after an event without an id: that event would be sent again. */
    @Example
    void anEventWithoutAnIdCannotBeResumedAfter() {
        EventFramer framer = new EventFramer();
        framer.append(Unpooled.wrappedBuffer(bytes("id: 1\ndata: a\n\ndata: b\n\n")), 5);
        assertThat(framer.lastEventId()).isEmpty();
        framer.append(Unpooled.wrappedBuffer(bytes("id: 2\ndata: c\n\n: note\n\n")), 5);
        assertThat(framer.lastEventId()).contains("2");
    }

    @Example
    void nothingIsForwardedFromAnEventThatIsOutOfOrder() {
        EventFramer framer = new EventFramer();
        byte[] forwarded = framer.append(
                Unpooled.wrappedBuffer(bytes("id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 5\ndata: b\n\nid: 6\n\n")), 5);
        assertThat(new String(forwarded, StandardCharsets.UTF_8)).isEqualTo("id: 4\ndata: a\n\nid: 5\ndata: b\n\n");
        assertThat(framer.violation()).contains("event that does not follow event 5");
        assertThat(framer.lastEventId()).contains("5");
    }

    /** Guards against a stream that begins again and is joined because a block without an id stands at its beginning. */
    @Example
    void anEventIsOutOfOrderAlsoAfterOneWithoutAnId() {
        EventFramer framer = new EventFramer();
        framer.append(Unpooled.wrappedBuffer(bytes("retry: 500\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n")), 5);
        assertThat(framer.lastEventId()).contains("2");
        byte[] forwarded = framer.append(Unpooled.wrappedBuffer(bytes("retry: 500\n\nid: 1\ndata: a\n\n")), 5);
        assertThat(new String(forwarded, StandardCharsets.UTF_8)).isEqualTo("retry: 500\n\n");
        assertThat(framer.violation()).contains("event that does not follow event 2");
        framer.discardPartialEvent();
        framer.append(Unpooled.wrappedBuffer(bytes("data: c\n\nid: 2\ndata: b\n\n")), 5);
        assertThat(framer.violation()).contains("event that does not follow event 2");
    }

    @Example
    void nothingIsForwardedFromTheHeadOfAnotherResponse() {
        EventFramer framer = new EventFramer();
        byte[] forwarded = framer.append(
                Unpooled.wrappedBuffer(bytes("id: 4\ndata: a\n\nid: 5\nHTTP/1.1 200 OK\r\nSeal: x\r\n\r\nid: 6\n\n")),
                5);
        assertThat(new String(forwarded, StandardCharsets.UTF_8)).isEqualTo("id: 4\ndata: a\n\n");
        assertThat(framer.violation()).contains("head of another response");
    }
}
