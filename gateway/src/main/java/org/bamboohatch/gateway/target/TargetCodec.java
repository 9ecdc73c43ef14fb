package org.bamboohatch.gateway.target;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import org.bamboohatch.gateway.http.MessageFraming;
import org.bamboohatch.gateway.http.UniqueFieldHeaders;

/**
 * Encodes requests to a target and decodes its responses, of which there may be more than requests. Rejects a head or a
 * body that may consist of two responses, the first of which stops within it, and a head that leaves open where the body
 * ends.
 */
final class TargetCodec extends CombinedChannelDuplexHandler<TargetCodec.Decoder, HttpRequestEncoder> {

    /** Maximum size of the status line of a response, in bytes. */
    private static final int MAX_STATUS_LINE_BYTES = 8 * 1024;

    private static final int MAX_HEADER_BYTES = 64 * 1024;

    /** Maximum size of a part of the body that is passed on, in bytes. */
    private static final int MAX_PART_BYTES = 64 * 1024;

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

    private static final Pattern STATUS = Pattern.compile("[1-9][0-9]{2}");

    /** Beginning of a status line. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[0-9] [1-9][0-9]{2}(?: |$)");

    /** Method of the latest request, null before the first. */
    private HttpMethod method;

    /**
     * Creates a codec for one connection.
     *
     * @param requestIdField name of the header field with the id of a request
     */
    TargetCodec(String requestIdField) {
        init(new Decoder(requestIdField), new HttpRequestEncoder());
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof HttpRequest request) {
            method = request.method();
        }
        super.write(context, message, promise);
    }

    /**
     * Indicates whether the target has sent more than was decoded so far. Behind a complete response, such bytes would be
     * read as the beginning of the next one.
     *
     * @return whether bytes are left
     */
    boolean hasUndecodedBytes() {
        return inboundHandler().hasUndecodedBytes();
    }

    /** Decodes the responses of a target. */
    final class Decoder extends HttpResponseDecoder {

        private final String requestIdField;

        private final List<String> uniqueFields;

        /** Examines the body of the response that arrives, null before the first. */
        private EmbeddedHeadDetector bodyDetector;

        Decoder(String requestIdField) {
            super(new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
                    .setMaxHeaderSize(MAX_HEADER_BYTES)
                    .setMaxChunkSize(MAX_PART_BYTES));
            this.requestIdField = requestIdField;
            // In HTTP/1.0, Netty takes the first of several lengths.
            this.uniqueFields = List.of(requestIdField, HttpHeaderNames.CONTENT_LENGTH.toString());
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> messages) throws Exception {
            int first = messages.size();
            super.decode(context, input, messages);
            for (Object message : List.copyOf(messages.subList(first, messages.size()))) {
                if (message instanceof HttpResponse) {
                    bodyDetector = new EmbeddedHeadDetector(requestIdField);
                }
                if (message instanceof HttpContent content && content.content().isReadable()) {
                    rejectJoined(content, input, messages);
                }
            }
        }

        /**
         * Lets decoding fail where the head of another response begins, or may begin and go on behind the body.
         *
         * @param content a part of a body
         * @param following bytes that have arrived behind it
         * @param messages the decoded messages
         */
        private void rejectJoined(HttpContent content, ByteBuf following, List<Object> messages) {
            long partStart = bodyDetector.examined();
            boolean detected = bodyDetector.append(content.content());
            boolean last = content instanceof LastHttpContent;
            if (detected || last && bodyDetector.isWithinHead(following)) {
                content.setDecoderResult(
                        DecoderResult.failure(new IllegalArgumentException("head of a response within a body")));
                int soundBytes = (int) Math.max(0, bodyDetector.headStart() - partStart);
                messages.add(
                        messages.indexOf(content),
                        new DefaultHttpContent(content.content().readRetainedSlice(soundBytes)));
            }
        }

        @Override
        protected HttpMessage createMessage(String[] statusLine) {
            if (!VERSION.matcher(statusLine[0]).matches()
                    || !STATUS.matcher(statusLine[1]).matches()) {
                throw new IllegalArgumentException("malformed status line");
            }
            requireNoStatusLine(statusLine[2]);
            int code = Integer.parseInt(statusLine[1]);
            if (code == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
                throw new IllegalArgumentException("change of protocol that no request asked for");
            }
            return new DefaultHttpResponse(
                    HttpVersion.valueOf(statusLine[0]),
                    HttpResponseStatus.valueOf(code, statusLine[2]),
                    new UniqueFieldHeaders(uniqueFields));
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            int colon = start + length;
            while (colon < line.length && (line[colon] == ' ' || line[colon] == '\t')) {
                colon++;
            }
            if (colon == line.length || line[colon] != ':') {
                throw new IllegalArgumentException("white space within the name of a field");
            }
            return super.splitHeaderName(line, start, length);
        }

        /** Invoked with a complete head, before its framing is determined. */
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            MessageFraming.requireUnambiguous(message);
            for (Map.Entry<String, String> field : message.headers()) {
                requireNoStatusLine(field.getValue());
            }
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
        }

        private boolean hasUndecodedBytes() {
            return actualReadableBytes() > 0;
        }

        private static void requireNoStatusLine(String text) {
            if (STATUS_LINE.matcher(text).find()) {
                throw new IllegalArgumentException("status line within the head of another response");
            }
        }
    }
}
