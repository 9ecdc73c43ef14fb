package org.bamboohatch.protocol.message;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import org.bamboohatch.kernel.plugin.Plugins;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Encodes and decodes messages as MessagePack. */
public final class MessageCodec {

    /** The codec of every registered message type. */
    private static final MessageCodec INSTANCE = new MessageCodec();

    /** Maps records to MessagePack. */
    private final ObjectMapper mapper;

    /** Creates the codec with every registered message type. */
    private MessageCodec() {
        mapper = new ObjectMapper(new MessagePackFactory().setReuseResourceInGenerator(false));
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        mapper.setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL);
        Plugins<MessageCatalog> catalogs = Plugins.load(MessageCatalog.class);
        List<Class<? extends Message>> types = new ArrayList<>();
        catalogs.names()
                .forEach(name -> types.addAll(catalogs.find(name).orElseThrow().types()));
        byName(types).forEach((name, type) -> mapper.registerSubtypes(new NamedType(type, name)));
    }

    /**
     * Returns the codec.
     *
     * @return the codec
     */
    public static MessageCodec instance() {
        return INSTANCE;
    }

    /**
     * Names message types for the wire.
     *
     * @param types the types
     * @return the types by name
     * @throws IllegalStateException if two types have the same name
     */
    static Map<String, Class<? extends Message>> byName(List<Class<? extends Message>> types) {
        Map<String, Class<? extends Message>> named = new TreeMap<>();
        for (Class<? extends Message> type : types) {
            Class<? extends Message> other = named.putIfAbsent(type.getSimpleName(), type);
            if (other != null) {
                throw new IllegalStateException("two messages have the same name: " + type + ", " + other);
            }
        }
        return named;
    }

    /**
     * Encodes a value.
     *
     * @param value the value
     * @return its bytes
     */
    public byte[] encode(Object value) {
        try {
            return mapper.writeValueAsBytes(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Encodes a value to a stream.
     *
     * @param value the value
     * @param stream receives the bytes
     * @throws IOException if the stream fails
     */
    public void encode(Object value, OutputStream stream) throws IOException {
        mapper.writeValue(stream, value);
    }

    /**
     * Decodes a value.
     *
     * @param bytes the bytes
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws IOException if the bytes are malformed
     */
    public <T> T decode(byte[] bytes, Class<T> type) throws IOException {
        return guarded(() -> mapper.readValue(bytes, type));
    }

    /**
     * Decodes a value from a stream.
     *
     * @param stream the stream
     * @param type the type of the value
     * @param <T> the type of the value
     * @return the value
     * @throws IOException if the bytes are malformed
     */
    public <T> T decode(InputStream stream, Class<T> type) throws IOException {
        return guarded(() -> mapper.readValue(stream, type));
    }

    /** Reads a value; what the codec throws for malformed bytes is not checked. */
    @FunctionalInterface
    private interface Reading<T> {

        /**
         * Reads the value.
         *
         * @return the value
         * @throws IOException if the bytes are malformed
         */
        T read() throws IOException;
    }

    /**
     * Reads a value and turns every failure of the codec into a checked one.
     *
     * @param reading reads the value
     * @param <T> the type of the value
     * @return the value, never null
     * @throws IOException if the bytes are malformed
     */
    private static <T> T guarded(Reading<T> reading) throws IOException {
        try {
            T value = reading.read();
            if (value == null) {
                throw new IOException("malformed message: nothing in it");
            }
            return value;
        } catch (RuntimeException malformed) {
            throw new IOException("malformed message: " + malformed.getMessage(), malformed);
        }
    }
}
