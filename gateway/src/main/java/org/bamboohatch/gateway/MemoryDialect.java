package org.bamboohatch.gateway;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** Format of the commands by which a gateway reserves memory of an engine for a part of a prompt. */
public interface MemoryDialect {

    /**
     * Returns the HTTP path to which engines accept memory commands.
     *
     * @return the path, starting with a slash
     */
    String path();

    /**
     * Creates a command that reserves memory, or renews the lease of memory that is reserved.
     *
     * @param reservation name of the reservation, chosen by the gateway
     * @param tokens size of the memory, in tokens
     * @param leaseMillis time after which the engine releases the memory unless the command is repeated, in milliseconds
     * @return the request body
     */
    byte[] reserve(String reservation, long tokens, long leaseMillis);

    /**
     * Creates a command that releases memory.
     *
     * @param reservation name of the reservation
     * @return the request body
     */
    byte[] release(String reservation);

    /**
     * Formats an engine with reserved memory for the header field that lists the prefilling engines of a request.
     *
     * @param address address of the engine, as IP:port
     * @param reservation name of the reservation at the engine
     * @return the entry of the header field
     */
    String formatHelper(String address, String reservation);

    /** The commands in a standalone installation. */
    enum Default implements MemoryDialect {
        /** The singleton instance. */
        INSTANCE;

        @Override
        public String path() {
            return "/v1/memory";
        }

        @Override
        public byte[] reserve(String reservation, long tokens, long leaseMillis) {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("reserve", reservation)
                    .put("tokens", tokens)
                    .put("leaseMillis", leaseMillis)
                    .toString()
                    .getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public byte[] release(String reservation) {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("release", reservation)
                    .toString()
                    .getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public String formatHelper(String address, String reservation) {
            return address + '/' + reservation;
        }
    }
}
