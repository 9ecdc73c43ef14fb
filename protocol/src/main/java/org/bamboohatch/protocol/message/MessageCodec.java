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

    private static final MessageCodec INSTANCE = new MessageCodec();

    private final ObjectMapper mapper;

    /** Creates a codec for the message types of all registered catalogs. */
    private MessageCodec() {
        mapper = new ObjectMapper(new MessagePackFactory().setReuseResourceInGenerator(false));
        mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
        mapper.setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL);
        Plugins<MessageCatalog> catalogs = Plugins.load(MessageCatalog.class);
        List<Class<? extends Message>> types = new ArrayList<>();
        catalogs.names()
                .forEach(name -> types.addAll(catalogs.find(name).orElseThrow().types()));
        typesByName(types).forEach((name, type) -> mapper.registerSubtypes(new NamedType(type, name)));
    }

    /**
     * Returns the codec that all connections and stores of the process share.
     *
     * @return the shared codec
     */
    public static MessageCodec instance() {
        return INSTANCE;
    }

    /**
     * Maps message types by the names that identify them on the wire.
     *
     * @param types the message types
     * @return the types by simple class name
     * @throws IllegalStateException if two types have the same simple class name
     */
    static Map<String, Class<? extends Message>> typesByName(List<Class<? extends Message>> types) {
        Map<String, Class<? extends Message>> byName = new TreeMap<>();
        for (Class<? extends Message> type : types) {
            Class<? extends Message> other = byName.putIfAbsent(type.getSimpleName(), type);
            if (other != null) {
                throw new IllegalStateException("two message types have the same name: " + type + ", " + other);
            }
        }
        return byName;
    }

    /**
     * Encodes a value as MessagePack.
     *
     * @param value the value to encode, such as a {@link Frame} or a message
     * @return the encoded bytes
     */
    public byte[] encode(Object value) {
        try {
            return mapper.writeValueAsBytes(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Encodes a value as MessagePack and writes it to a stream.
     *
     * @param value the value to encode, such as a {@link Frame} or a message
     * @param stream the stream to write to
     * @throws IOException if the stream cannot be written
     */
    public void encode(Object value, OutputStream stream) throws IOException {
        mapper.writeValue(stream, value);
    }

    /**
     * Decodes a value from MessagePack.
     *
     * @param bytes the encoded bytes
     * @param type class of the value
     * @param <T> type of the value
     * @return the decoded value, never {@code null}
     * @throws IOException if the bytes are malformed
     */
    public <T> T decode(byte[] bytes, Class<T> type) throws IOException {
        return decode(() -> mapper.readValue(bytes, type));
    }

    /**
     * Decodes a value from a stream of MessagePack.
     *
     * @param stream the stream to read from
     * @param type class of the value
     * @param <T> type of the value
     * @return the decoded value, never {@code null}
     * @throws IOException if the stream cannot be read or its bytes are malformed
     */
    public <T> T decode(InputStream stream, Class<T> type) throws IOException {
        return decode(() -> mapper.readValue(stream, type));
    }

    /** Decodes a value. For some malformed bytes the object mapper throws unchecked exceptions. */
    @FunctionalInterface
    private interface Decoding<T> {

        T read() throws IOException;
    }

    /**
     * Decodes a value and converts unchecked exceptions of the object mapper to checked ones.
     *
     * @param decoding decodes the value
     * @param <T> type of the value
     * @return the decoded value, never {@code null}
     * @throws IOException if the bytes are malformed
     */
    private static <T> T decode(Decoding<T> decoding) throws IOException {
        try {
            T value = decoding.read();
            if (value == null) {
                throw new IOException("malformed message: no value");
            }
            return value;
        } catch (RuntimeException malformed) {
            throw new IOException("malformed message: " + malformed.getMessage(), malformed);
        }
    }
}
