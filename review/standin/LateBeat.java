package bamboohatch.review;

import java.io.IOException;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Rule DRAIN: an engine deregisters, which is acknowledged; the control that leads is then killed, and a heartbeat that the
 * engine had sent before arrives late at its successor. No request may reach the engine any more. When it exits, some time
 * later, what runs there is lost.
 */
final class LateBeat implements Main.Case {

    private static final String KEY = "key-of-the-first-tenant";

    private static final int DRAIN_MS = 2_000;

    private static final int CONTACT_MS = 3_000;

    /** Time from the acknowledgement to the exit of the engine: the drain bound and a little longer. */
    private static final int EXIT_MS = 4_200;

    private static final int WORK_MS = 500;

    private volatile long acknowledgedAt;

    private volatile long inTouchFrom = Long.MAX_VALUE;

    private final AtomicReference<String> reached = new AtomicReference<>();

    private final AtomicInteger failed = new AtomicInteger();

    private final Set<Socket> connectionsOfLeaving = ConcurrentHashMap.newKeySet();

    @Override
    public boolean isBroken(Deployment deployment, Record record) throws IOException {
        Engine leaving = engine(deployment, record, 1);
        Engine staying = engine(deployment, record, 2);
        deployment.configure(
                Configurations.configuration(
                        7,
                        Configurations.route("orders", "/orders/", "non_idempotent", 1_500, 300, "portal", ""),
                        Configurations.plainService("portal"),
                        Configurations.tenant("first", KEY)),
                record);
        deployment.awaitReady();
        Deployment.pause(6_000);
        sendRequests(deployment, record, 6, 50);
        int leader = deployment.leader(staying.heartbeatAddress);
        int other = leader % Deployment.MACHINES + 1;
        record.line("machine %d leads", leader);

        // The heartbeat that is held up was made, and is numbered, before the engine leaves.
        String late = leaving.nextBeat("ready");
        leaving.stopBeating();
        if (!Main.TROUBLE) {
            record.line("engine %s: heartbeat arrives -> %d", leaving.id, put(deployment, other, leaving, late));
        }
        Deployment.pause(300);
        leaving.leaving = true;
        Http.Answer gone =
                Http.json(deployment.control(leader), "DELETE", "/instances/" + leaving.id, "", 1_000);
        acknowledgedAt = System.currentTimeMillis();
        record.line("engine %s: DELETE -> %d", leaving.id, gone.status());
        if (gone.status() != 200) {
            throw new Deployment.Unusable("the departure was not acknowledged");
        }
        if (Main.TROUBLE) {
            deployment.signal("KILL", "control", leader);
            record.line("the control of machine %d is killed", leader);
            Deployment.pause(300);
            deployment.start("control", leader, false);
            record.line("the control of machine %d is started again", leader);
        }
        inTouchFrom = System.currentTimeMillis() + CONTACT_MS;
        Thread exit = new Thread(() -> exit(leaving, record));
        exit.setDaemon(true);
        exit.start();
        Deployment.pause(2_800);
        if (Main.TROUBLE) {
            record.line(
                    "engine %s: its last heartbeat arrives, 3.4 s late -> %d",
                    leaving.id, put(deployment, other, leaving, late));
        }
        Deployment.pause(400);
        sendRequests(deployment, record, 60, 50);
        record.line(reached.get() == null ? "no request reached the engine that left" : reached.get());
        record.line("%d orders were answered neither with success nor with a promise that they did not run", failed.get());
        return reached.get() != null;
    }

    private void exit(Engine leaving, Record record) {
        Deployment.pause(acknowledgedAt + EXIT_MS - System.currentTimeMillis());
        record.line("engine %s exits", leaving.id);
        leaving.exit();
        for (Socket socket : connectionsOfLeaving) {
            try {
                socket.close();
            } catch (IOException closed) {
                // The connection has ended already.
            }
        }
    }

    private static int put(Deployment deployment, int machine, Engine engine, String beat) {
        return Http.json(deployment.control(machine), "PUT", "/instances/" + engine.id, beat, 1_000)
                .status();
    }

    private Engine engine(Deployment deployment, Record record, int number) throws IOException {
        return new Engine(
                deployment, record, number, "portal", Deployment.zone(number), 6, 0, (engine, request, in, out, socket) -> {
                    if (number == 1) {
                        connectionsOfLeaving.add(socket);
                    }
                    Http.readExactly(in, Engine.length(request));
                    String id = request.field("X-Bamboohatch-Request-Id");
                    long now = System.currentTimeMillis();
                    if (engine.leaving) {
                        record.line("engine %s, which left: runs %s", engine.id, id);
                        if (now > acknowledgedAt + DRAIN_MS && now > inTouchFrom) {
                            reached.compareAndSet(
                                    null,
                                    "request " + id + " reached engine " + engine.id + " " + (now - acknowledgedAt)
                                            + " ms after its departure was acknowledged, " + (now - inTouchFrom)
                                            + " ms after all machines are in touch again");
                        }
                    }
                    Thread.sleep(WORK_MS);
                    engine.answer(out, request, "200 OK", "", "done");
                    return true;
                });
    }

    private void sendRequests(Deployment deployment, Record record, int count, long gapMillis) {
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int request = 0; request < count; request++) {
            int machine = 1 + request % Deployment.MACHINES;
            clients.execute(() -> {
                String id = Caller.newId();
                Http.Answer answer = Caller.send(
                        deployment, machine, id, "POST", "/orders/2f", KEY, 1_500, "", Http.bytes("order"));
                failed.addAndGet(answer.status() == 200 || answer.status() == 503 ? 0 : 1);
                record.line("client: request %s at machine %d -> %d", id, machine, answer.status());
            });
            Deployment.pause(gapMillis);
        }
        clients.shutdown();
        try {
            clients.awaitTermination(5, java.util.concurrent.TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
