package org.bamboohatch.protocol.transport;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.bamboohatch.protocol.message.Message;

/** Keeps one connection to an address and opens a fresh one when the last is gone. */
public final class Link {

    /** The network threads. */
    private final Network network;

    /** Address of the server. */
    private final String address;

    /** Hears what the server tells with its signs of life. */
    private final Consumer<Message> statusListener;

    /** The present connection, or null. */
    private final AtomicReference<CompletableFuture<Connection>> current = new AtomicReference<>();

    /** Whether the link is closed for good. */
    private volatile boolean closed;

    /**
     * Creates a link that connects when it is first used.
     *
     * @param network the network threads
     * @param address address of the server
     * @param statusListener hears what the server tells with its signs of life
     */
    public Link(Network network, String address, Consumer<Message> statusListener) {
        this.network = network;
        this.address = address;
        this.statusListener = statusListener;
    }

    /**
     * Returns the address of the server.
     *
     * @return host and port
     */
    public String address() {
        return address;
    }

    /**
     * Returns an open connection; a fresh one is opened if there is none.
     *
     * @return the connection, when it is open
     */
    public CompletableFuture<Connection> connect() {
        while (true) {
            CompletableFuture<Connection> present = current.get();
            if (present != null && !isSpent(present)) {
                return present;
            }
            if (closed) {
                return CompletableFuture.failedFuture(new Connection.ConnectionLostException("link closed"));
            }
            CompletableFuture<Connection> fresh = new CompletableFuture<>();
            if (current.compareAndSet(present, fresh)) {
                Connection.open(network, address, statusListener).whenComplete((connection, problem) -> {
                    if (problem == null) {
                        fresh.complete(connection);
                    } else {
                        fresh.completeExceptionally(problem);
                    }
                });
                return fresh;
            }
        }
    }

    /**
     * Tells whether a connection cannot be used any more.
     *
     * @param connection the connection
     * @return whether it failed to open or has ended
     */
    private static boolean isSpent(CompletableFuture<Connection> connection) {
        if (connection.isCompletedExceptionally()) {
            return true;
        }
        return connection.isDone() && !connection.join().isOpen();
    }

    /** Closes the link for good. */
    public void close() {
        closed = true;
        CompletableFuture<Connection> present = current.getAndSet(null);
        if (present != null) {
            present.thenAccept(Connection::close);
        }
    }
}
