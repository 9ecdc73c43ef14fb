package org.bamboohatch.protocol.transport;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.bamboohatch.protocol.message.Message;

/** Maintains a connection to an address and opens a new one when it is used after the previous one has ended. */
public final class Link {

    private final Network network;

    private final String address;

    /** Receives the status messages in the server's heartbeat replies. */
    private final Consumer<Message> statusListener;

    /** The current connection, which may still be opening or have ended, or {@code null}. */
    private final AtomicReference<CompletableFuture<Connection>> current = new AtomicReference<>();

    /** Whether the link was closed, so that it opens no more connections. */
    private volatile boolean closed;

    /**
     * Creates a link that opens a connection when it is first used.
     *
     * @param network network that provides the threads of the connections
     * @param address address of the server, host and port
     * @param statusListener receives the status messages in the server's heartbeat replies
     */
    public Link(Network network, String address, Consumer<Message> statusListener) {
        this.network = network;
        this.address = address;
        this.statusListener = statusListener;
    }

    public String address() {
        return address;
    }

    /**
     * Returns the open connection, or opens a new one if there is none.
     *
     * @return completed with the connection when it is open, or exceptionally if it cannot be opened or the link is
     *     closed
     */
    public CompletableFuture<Connection> connect() {
        while (true) {
            CompletableFuture<Connection> existing = current.get();
            if (existing != null && !isUnusable(existing)) {
                return existing;
            }
            if (closed) {
                return CompletableFuture.failedFuture(new Connection.ConnectionLostException("link closed"));
            }
            CompletableFuture<Connection> created = new CompletableFuture<>();
            if (current.compareAndSet(existing, created)) {
                Connection.open(network, address, statusListener).whenComplete((connection, failure) -> {
                    if (failure == null) {
                        created.complete(connection);
                    } else {
                        created.completeExceptionally(failure);
                    }
                });
                return created;
            }
        }
    }

    /**
     * Indicates whether a connection failed to open or has ended.
     *
     * @param connection the connection, which may still be opening
     * @return {@code true} if a new connection is needed
     */
    private static boolean isUnusable(CompletableFuture<Connection> connection) {
        if (connection.isCompletedExceptionally()) {
            return true;
        }
        return connection.isDone() && !connection.join().isOpen();
    }

    /** Closes the link permanently, together with its connection. */
    public void close() {
        closed = true;
        CompletableFuture<Connection> existing = current.getAndSet(null);
        if (existing != null) {
            existing.thenAccept(Connection::close);
        }
    }
}
