package org.bamboohatch.protocol.transport;

import java.io.InputStream;
import java.io.OutputStream;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.protocol.message.Frame;
import org.bamboohatch.protocol.message.MessageCodec;

/** Channel handlers for framing and encoding that both ends of a connection use. */
final class Pipeline {

    /** Maximum length of a frame, in bytes. */
    static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;

    /** Size of the length field that precedes each frame, in bytes. */
    private static final int LENGTH_BYTES = 4;

    private Pipeline() {}

    /**
     * Adds the handlers for framing and encoding.
     *
     * @param pipeline pipeline of a channel
     * @param timeline timeline whose clock is advanced by the timestamps of received frames
     */
    static void addTo(ChannelPipeline pipeline, Timeline timeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new FrameCodec(timeline));
    }

    /** Encodes and decodes frames. */
    private static final class FrameCodec extends MessageToMessageCodec<ByteBuf, Frame> {

        private final Timeline timeline;

        FrameCodec(Timeline timeline) {
            this.timeline = timeline;
        }

        @Override
        protected void encode(ChannelHandlerContext context, Frame frame, List<Object> out) throws Exception {
            ByteBuf buffer = context.alloc().buffer();
            try (OutputStream stream = new ByteBufOutputStream(buffer)) {
                MessageCodec.instance().encode(frame, stream);
            }
            out.add(buffer);
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
            try (InputStream stream = new ByteBufInputStream(buffer)) {
                Frame frame = MessageCodec.instance().decode(stream, Frame.class);
                timeline.observe(frame.time());
                out.add(frame);
            }
        }
    }
}
