package org.bamboohatch.gateway;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/** Orders by which a gateway sets memory of an engine aside for a part of a prompt, in the words of the engine. */
public interface MemoryDialect {

    /**
     * Returns the path that takes the orders.
     *
     * @return the path
     */
    String path();

    /**
     * Makes an order that sets memory aside, or keeps what was set aside for longer.
     *
     * @param reservation name of the reservation, which this caller chose
     * @param tokens the memory, in tokens
     * @param leaseMillis time after which the engine frees the memory unless it gets the order again, in milliseconds
     * @return the body of the order
     */
    byte[] reserve(String reservation, long tokens, long leaseMillis);

    /**
     * Makes an order that frees memory.
     *
     * @param reservation name of the reservation
     * @return the body of the order
     */
    byte[] release(String reservation);

    /**
     * Names a helper that holds a part of the prompt, for the request's header field.
     *
     * @param address the helper's address, as IP:port
     * @param reservation name of the reservation there
     * @return the name
     */
    String formatHelper(String address, String reservation);

    /** The words that an installation of its own uses. */
    enum Default implements MemoryDialect {
        /** The only instance. */
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
