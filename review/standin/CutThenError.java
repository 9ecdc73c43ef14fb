package bamboohatch.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rules ORDER and MIXED: an engine crashes in the middle of streams that may be resumed, while another one fails part of its
 * requests with an error of its own. A stream must go on at its next event or be seen to be cut; it must not end as complete.
 */
final class CutThenError implements Main.Case {

    private static final String KEY = "key-of-the-first-tenant";

    private static final int ENGINES = 7;

    private static final int EVENTS = 20;

    private static final int EVENT_GAP_MS = 50;

    private static final int STREAMS_PER_S = 60;

    private static final int ROUNDS = 10;

    /** An engine is down for so long, as the site's trouble has it. */
    private static final int DOWN_MS = 4_500;

    private static final int ROUND_MS = 6_500;

    /** Of the requests of the faulty engine, so many in a hundred fail. */
    private static final int ERRORS_IN_HUNDRED = 45;

    /** Connections by engine. */
    private final List<Set<Socket>> connections = new CopyOnWriteArrayList<>();

    /** The engine that is down, or -1. */
    private volatile int down = -1;

    /** The engine that fails part of its requests, or -1. */
    private volatile int faulty = -1;

    private final AtomicInteger requestsOfFaulty = new AtomicInteger();

    private final AtomicInteger whole = new AtomicInteger();

    private final AtomicInteger seenCut = new AtomicInteger();

    private final AtomicInteger falselyComplete = new AtomicInteger();

    @Override
    public boolean isBroken(Deployment deployment, Record record) throws IOException, InterruptedException {
        for (int number = 0; number < ENGINES; number++) {
            int engineNumber = number;
            connections.add(ConcurrentHashMap.newKeySet());
            new Engine(
                    deployment, record, 1 + number, "assistant", Deployment.zone(1 + number % 3), 40, 0,
                    (engine, request, in, out, socket) ->
                            run(engine, engineNumber, request, in, out, socket, record));
        }
        deployment.configure(
                Configurations.configuration(
                        7,
                        Configurations.route(
                                "drafts", "/drafts/", "streaming", 10_000, 300, "assistant",
                                ",\"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":250"),
                        Configurations.plainService("assistant"),
                        Configurations.tenant("first", KEY)),
                record);
        deployment.awaitReady();
        Deployment.pause(2_500);
        ExecutorService clients = Executors.newCachedThreadPool();
        long endsAt = System.currentTimeMillis() + ROUNDS * ROUND_MS;
        Thread disruption = new Thread(() -> disrupt(record));
        disruption.setDaemon(true);
        disruption.start();
        for (int sent = 0; System.currentTimeMillis() < endsAt; sent++) {
            int machine = 1 + sent % Deployment.MACHINES;
            clients.execute(() -> stream(deployment, machine, record));
            Deployment.pause(1_000 / STREAMS_PER_S);
        }
        clients.shutdown();
        clients.awaitTermination(12, TimeUnit.SECONDS);
        record.line(
                "%d streams are whole, %d were seen to be cut or refused; %d ended as complete and are not",
                whole.get(), seenCut.get(), falselyComplete.get());
        if (whole.get() < 1_000) {
            throw new Deployment.Unusable("too few streams were served");
        }
        return falselyComplete.get() > 0;
    }

    /** In each round one engine fails part of its requests, and another one crashes and is back after some seconds. */
    private void disrupt(Record record) {
        for (int round = 0; round < ROUNDS; round++) {
            if (Main.TROUBLE) {
                faulty = round % ENGINES;
                down = (round + 3) % ENGINES;
                record.line("engine number %d fails part of its requests, number %d crashes", faulty, down);
                for (Socket socket : connections.get(down)) {
                    reset(socket);
                }
            }
            Deployment.pause(DOWN_MS);
            down = -1;
            Deployment.pause(ROUND_MS - DOWN_MS);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException closed) {
            // The connection has ended already.
        }
    }

    private boolean run(
            Engine engine,
            int number,
            Http.Head request,
            InputStream in,
            OutputStream out,
            Socket socket,
            Record record)
            throws IOException, InterruptedException {
        connections.get(number).add(socket);
        try {
            if (down == number) {
                reset(socket);
                return false;
            }
            Http.readExactly(in, Engine.length(request));
            String id = request.field("X-Bamboohatch-Request-Id");
            int last = request.field("Last-Event-Id").isEmpty() ? 0 : Integer.parseInt(request.field("Last-Event-Id"));
            if (faulty == number && requestsOfFaulty.incrementAndGet() * ERRORS_IN_HUNDRED % 100 < ERRORS_IN_HUNDRED) {
                if (last > 0) {
                    record.line("engine %s: runs %s on from event %d, fails with 500", engine.id, id, last);
                }
                engine.answer(out, request, "500 Internal Server Error", "Content-Type: text/plain\r\n", "out of luck");
                return true;
            }
            out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + engine.common(request)
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
            for (int event = last + 1; event <= EVENTS; event++) {
                Thread.sleep(EVENT_GAP_MS);
                String text = "id: " + event + "\ndata: piece " + event + " of " + id + "\n\n";
                out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                out.flush();
            }
            out.write(Http.bytes("0\r\n\r\n"));
            out.flush();
            return true;
        } finally {
            connections.get(number).remove(socket);
        }
    }

    private void stream(Deployment deployment, int machine, Record record) {
        String id = Caller.newId();
        Http.Answer answer = Caller.send(
                deployment, machine, id, "POST", "/drafts/2f", KEY, 8_000, "", Http.bytes("prompt " + id));
        StringBuilder expected = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            expected.append("id: ").append(event).append("\ndata: piece ").append(event).append(" of ").append(id);
            expected.append("\n\n");
        }
        boolean equal = answer.body().contentEquals(expected);
        if (answer.status() != 200 || !answer.complete()) {
            seenCut.incrementAndGet();
        } else if (equal) {
            whole.incrementAndGet();
        } else {
            falselyComplete.incrementAndGet();
            String body = answer.body();
            record.line(
                    "client: stream %s -> 200, seal %s, ended by its %s, %d of %d events, ends with '%s'",
                    id,
                    answer.field("X-Bamboohatch-Response-Seal"),
                    answer.end(),
                    body.split("id: ", -1).length - 1,
                    EVENTS,
                    body.substring(Math.max(0, body.length() - 40)));
        }
    }
}
