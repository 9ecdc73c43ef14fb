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

    /** Wherever a stream is cut, the whole of it comes out unchanged. */
    @Property(tries = 80, seed = "5")
    void theStreamIsPassedOnUnchanged(
            @ForAll @IntRange(min = 0, max = 60) int first, @ForAll @IntRange(min = 0, max = 60) int second) {
        EventFramer cutter = new EventFramer();
        ByteArrayOutputStream passed = new ByteArrayOutputStream();
        byte[] all = bytes(STREAM);
        int from = Math.min(first, all.length);
        int until = Math.min(all.length, from + second);
        passed.writeBytes(cutter.take(Unpooled.wrappedBuffer(all, 0, from), 5));
        passed.writeBytes(cutter.take(Unpooled.wrappedBuffer(all, from, until - from), 5));
        passed.writeBytes(cutter.take(Unpooled.wrappedBuffer(all, until, all.length - until), 5));
        assertThat(passed.toByteArray()).isEqualTo(all);
        assertThat(cutter.hasPartial()).isFalse();
        assertThat(cutter.lastId()).contains("3");
        assertThat(cutter.events()).isEqualTo(3);
    }

    @Example
    void aTornEventIsKeptBackAndForgotten() {
        EventFramer cutter = new EventFramer();
        byte[] passed = cutter.take(Unpooled.wrappedBuffer(bytes("id: 1\ndata: a\n\nid: 2\ndata: b")), 5);
        assertThat(new String(passed, StandardCharsets.UTF_8)).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(cutter.hasPartial()).isTrue();
        assertThat(cutter.lastId()).contains("1");
        cutter.dropPartial();
        assertThat(cutter.take(Unpooled.wrappedBuffer(bytes("id: 2\ndata: b\n\n")), 5))
                .isEqualTo(bytes("id: 2\ndata: b\n\n"));
        assertThat(cutter.lastId()).contains("2");
    }
}
