package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.bamboohatch.gateway.target.BodyFraming;

import static org.bamboohatch.gateway.forward.FakeTarget.chunk;
import static org.bamboohatch.gateway.forward.FakeTarget.write;

/** Targets that break some of their responses, in ways drawn from a seed for each request, and a record of what they sent. */
final class FaultyTargets {

    private static final int SUCCESS = 200;

    private static final int MAX_DELAY_MS = 100;

    /** What one target sent to a request. */
    record Sent(String seal, int status, String body, boolean executed, FakeTarget target, String plan) {

        String describe() {
            return plan + (target.hasCrashed() ? ", the target has crashed" : "");
        }
    }

    /** Faults of a response. */
    private enum Fault {
        NONE(SUCCESS),
        /** The connection ends within the response. */
        CUT(SUCCESS),
        /** The target fails. */
        ERROR(500),
        /** The target does not run the request. */
        NOT_EXECUTED(503),
        /** A second response follows, perhaps where that to the next request is expected. */
        REPEATED(SUCCESS),
        /** A second response takes the place of the rest of the first one. */
        REPLACED(SUCCESS),
        /** A stream that should be continued begins again. */
        RESTARTED(SUCCESS),
        /** The response precedes the body of the request. */
        EARLY(SUCCESS),
        /** The connection is reset while the request is read, in some cases after a response. */
        RESET_IN_REQUEST(SUCCESS);

        private final int status;

        Fault(int status) {
            this.status = status;
        }

        static Fault draw(Random random) {
            return random.nextBoolean() ? NONE : values()[random.nextInt(values().length)];
        }
    }

    /** How a connection ends within a response. */
    private enum Ending {
        CLOSED,
        RESET,
        /** The target ends with all its connections. */
        CRASHED;

        static Ending draw(Random random, boolean looksWhole) {
            return random.nextInt(8) == 0 ? CRASHED : looksWhole || random.nextBoolean() ? RESET : CLOSED;
        }
    }

    private final long seed;

    private final Map<String, List<Sent>> sent = new ConcurrentHashMap<>();

    FaultyTargets(long seed) {
        this.seed = seed;
    }

    FakeTarget start() throws IOException {
        Script script = new Script();
        script.target = new FakeTarget(script);
        return script.target;
    }

    /** Returns what targets sent to a request, in the order of its attempts. */
    List<Sent> sent(String id) {
        return sent.getOrDefault(id, List.of());
    }

    static boolean isStream(String line) {
        return line.contains("/stream/") || line.contains("/generate/");
    }

    /** Returns the events of the stream that answers a request, which all targets generate alike. */
    static List<String> events(String id) {
        Random random = new Random(id.hashCode());
        List<String> events = new ArrayList<>();
        for (int remaining = 1 + random.nextInt(8); remaining > 0; remaining--) {
            String data = "x".repeat(random.nextInt(6) == 0 ? 4_000 : 20);
            events.add("id: " + (events.size() + 1) + "\ndata: of " + id + " " + data + "\n\n");
        }
        return events;
    }

    /** Answers the requests to one target. */
    private final class Script implements FakeTarget.Script {

        private final Map<Socket, Response> responses = new ConcurrentHashMap<>();

        private FakeTarget target;

        @Override
        public void onHead(FakeTarget.ReceivedRequest request, Socket connection)
                throws IOException, InterruptedException {
            Response response = new Response(request, target);
            responses.put(connection, response);
            if (response.fault == Fault.EARLY) {
                send(response, connection);
            } else if (response.fault == Fault.RESET_IN_REQUEST) {
                write(connection, response.random.nextBoolean() ? String.join("", response.segments) : "");
                reset(connection);
            }
        }

        @Override
        public boolean answer(FakeTarget.ReceivedRequest request, Socket connection)
                throws IOException, InterruptedException {
            Response response = responses.get(connection);
            if (response.fault != Fault.EARLY) {
                send(response, connection);
            }
            return response.framing.isExplicit();
        }

        private void send(Response response, Socket connection) throws IOException, InterruptedException {
            Random random = response.random;
            String whole = String.join("", response.segments);
            for (String segment : response.segments.subList(0, response.cutSegment)) {
                write(connection, segment);
                TimeUnit.MILLISECONDS.sleep(random.nextInt(3));
            }
            if (response.fault == Fault.CUT) {
                write(connection, response.segments.get(response.cutSegment).substring(0, response.cutOffset));
                end(response.ending, connection);
            } else if (response.fault == Fault.REPLACED) {
                write(connection, whole);
            } else if (response.fault == Fault.REPEATED) {
                TimeUnit.MILLISECONDS.sleep(random.nextBoolean() ? 0 : random.nextInt(MAX_DELAY_MS));
                int length = random.nextBoolean() ? whole.length() : random.nextInt(whole.length());
                write(connection, whole.substring(0, length));
                if (length < whole.length()) {
                    reset(connection);
                }
            }
        }

        private void end(Ending ending, Socket connection) throws IOException {
            switch (ending) {
                case CLOSED -> connection.close();
                case RESET -> reset(connection);
                default -> target.crash();
            }
        }

        private static void reset(Socket connection) throws IOException {
            connection.setSoLinger(true, 0);
            connection.close();
        }
    }

    /** A response as drawn for one attempt of a request. */
    private final class Response {

        private final Random random;

        private final Fault fault;

        private final BodyFraming framing;

        /** The status line, the other lines of the head, the parts of the body and, of chunks, the last one. */
        private final List<String> segments = new ArrayList<>();

        /** Number of segments that are sent whole. */
        private final int cutSegment;

        /** Number of bytes of the next segment that are sent. */
        private final int cutOffset;

        private final Ending ending;

        Response(FakeTarget.ReceivedRequest request, FakeTarget target) {
            String id = request.id();
            List<Sent> attempts = sent.computeIfAbsent(id, added -> new CopyOnWriteArrayList<>());
            String seal = id + "/" + attempts.size();
            random = new Random(seed * 31 + seal.hashCode());
            BodyFraming drawn = BodyFraming.values()[random.nextInt(BodyFraming.values().length)];
            fault = Fault.draw(random);
            boolean stream = isStream(request.line()) && fault.status == SUCCESS;
            // Nothing but chunks tells the bytes of another response from a body that has no events.
            boolean mixed = fault == Fault.REPLACED || fault == Fault.REPEATED && !drawn.isExplicit();
            framing = mixed && !stream ? BodyFraming.CHUNKS : drawn;
            int last = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
            int next = fault == Fault.RESTARTED ? 0 : last;
            List<String> parts = stream ? events(id).subList(next, events(id).size()) : List.of("body of ", seal);
            String body = String.join("", parts);
            segments.add("HTTP/1.1 " + fault.status + " Status\r\n");
            segments.add("Request-Id: " + id + "\r\nAnswer-Seal: " + seal + "\r\n"
                    + (stream ? "Content-Type: text/event-stream\r\n" : "")
                    + (fault == Fault.NOT_EXECUTED ? "Not-Executed: 1\r\n" : ""));
            segments.add(
                    switch (framing) {
                        case LENGTH -> "Content-Length: " + body.length() + "\r\n\r\n";
                        case CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n";
                        case CONNECTION_END -> "\r\n";
                    });
            int headSegments = segments.size();
            parts.forEach(part -> segments.add(framing == BodyFraming.CHUNKS ? chunk(part) : part));
            if (framing == BodyFraming.CHUNKS) {
                segments.add("0\r\n\r\n");
            }
            int lowest = fault == Fault.REPLACED ? headSegments : 0;
            boolean cut = fault == Fault.CUT || fault == Fault.REPLACED && lowest < segments.size();
            cutSegment = cut ? lowest + random.nextInt(segments.size() - lowest) : segments.size();
            cutOffset = cut && random.nextBoolean()
                    ? random.nextInt(segments.get(cutSegment).length())
                    : 0;
            boolean looksWhole = !framing.isExplicit()
                    && cutSegment >= headSegments
                    && (!stream || cutOffset == 0 && cutSegment > headSegments);
            ending = Ending.draw(random, looksWhole);
            attempts.add(new Sent(seal, fault.status, body, fault != Fault.NOT_EXECUTED, target, describe(last)));
        }

        private String describe(int lastEvent) {
            return fault + " " + framing
                    + (cutSegment < segments.size() ? " at " + cutSegment + "+" + cutOffset + " " + ending : "")
                    + (lastEvent > 0 ? " after event " + lastEvent : "");
        }
    }
}
