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

/** The handlers that both ends of a connection share: framing and encoding. */
final class Pipeline {

    /** The largest frame, in bytes. */
    static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;

    /** Bytes of the length in front of each frame. */
    private static final int LENGTH_BYTES = 4;

    /** Not instantiated. */
    private Pipeline() {}

    /**
     * Adds the shared handlers.
     *
     * @param pipeline the pipeline of a channel
     * @param timeline takes note of the times that frames carry
     */
    static void addTo(ChannelPipeline pipeline, Timeline timeline) {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new FrameCodec(timeline));
    }

    /** Turns buffers into frames and back. */
    private static final class FrameCodec extends MessageToMessageCodec<ByteBuf, Frame> {

        /** Takes note of the times that frames carry. */
        private final Timeline timeline;

        /**
         * Creates a codec.
         *
         * @param timeline takes note of the times that frames carry
         */
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
