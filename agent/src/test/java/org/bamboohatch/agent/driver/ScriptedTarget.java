package org.bamboohatch.agent.driver;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

/** A target that answers each request on a connection of its own with given bytes, and then ends the connection. */
final class ScriptedTarget implements AutoCloseable {

    /** What a target does after its bytes. */
    enum End {
        /** Closes the connection. */
        CLOSE {
            @Override
            void apply(ServerSocket listener, Socket connection) throws IOException {
                connection.shutdownOutput();
            }
        },
        /** Resets the connection. */
        RESET {
            @Override
            void apply(ServerSocket listener, Socket connection) throws IOException {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        },
        /** Ends the process, so that new connections are refused. */
        CRASH {
            @Override
            void apply(ServerSocket listener, Socket connection) throws IOException {
                listener.close();
                connection.shutdownOutput();
            }
        },
        /** Closes the connection, accepts one more, and then ends the process, whose kernel resets the accepted one. */
        LATE_CRASH {
            @Override
            void apply(ServerSocket listener, Socket connection) throws IOException {
                connection.shutdownOutput();
                Socket next = listener.accept();
                try {
                    TimeUnit.MILLISECONDS.sleep(CRASH_DELAY_MS);
                } catch (InterruptedException unexpected) {
                    throw new IllegalStateException(unexpected);
                }
                listener.close();
                RESET.apply(listener, next);
            }
        },
        /** Closes the connection and resets each further one, as at a limit of connections. */
        LIMIT {
            @Override
            void apply(ServerSocket listener, Socket connection) throws IOException {
                connection.shutdownOutput();
                while (!listener.isClosed()) {
                    RESET.apply(listener, listener.accept());
                }
            }
        };

        /** Time for which a process that ends keeps its last connection, in milliseconds. */
        private static final long CRASH_DELAY_MS = 10;

        abstract void apply(ServerSocket listener, Socket connection) throws IOException;
    }

    private final ServerSocket listener;

    private final Function<String, String> script;

    private final End end;

    /** Part that follows the response until the connection is closed, empty for none. */
    private volatile byte[] repeatedPart = new byte[0];

    private final AtomicLong sentBytes = new AtomicLong();

    /** The last connection, which stays open on this side until the next one replaces it. */
    private Socket connection;

    /**
     * Starts a target at a free port.
     *
     * @param script returns the bytes for the head of a request
     * @param end what the target does after the bytes
     */
    ScriptedTarget(Function<String, String> script, End end) throws IOException {
        this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        this.script = script;
        this.end = end;
        Thread accepting = new Thread(this::accept, "target");
        accepting.setDaemon(true);
        accepting.start();
    }

    static ScriptedTarget answering(String response, End end) throws IOException {
        return new ScriptedTarget(head -> response, end);
    }

    /**
     * Starts a target that repeats a part without end.
     *
     * @param begin begin of the response
     * @param part the part to repeat until the connection is closed
     */
    static ScriptedTarget endless(String begin, String part) throws IOException {
        ScriptedTarget target = new ScriptedTarget(head -> begin, End.CLOSE);
        target.repeatedPart = part.getBytes(StandardCharsets.UTF_8);
        return target;
    }

    /** Starts a target whose responses have the head of the request as their body. */
    static ScriptedTarget echoing() throws IOException {
        return new ScriptedTarget(
                head -> "HTTP/1.1 200 OK\r\nContent-Length: " + head.length() + "\r\n\r\n" + head, End.CLOSE);
    }

    long sentBytes() {
        return sentBytes.get();
    }

    String url() {
        return "http://127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                connection = listener.accept();
                String response = script.apply(readHead(connection.getInputStream()));
                connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                while (repeatedPart.length > 0) {
                    connection.getOutputStream().write(repeatedPart);
                    sentBytes.addAndGet(repeatedPart.length);
                }
                end.apply(listener, connection);
            } catch (IOException ended) {
                // The test or the client has closed it.
            }
        }
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int next = input.read(); next >= 0; next = input.read()) {
            head.append((char) next);
            if (head.toString().endsWith("\r\n\r\n")) {
                break;
            }
        }
        return head.toString();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        if (connection != null) {
            connection.close();
        }
    }
}
