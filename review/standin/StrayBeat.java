package bamboohatch.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule Fault: heartbeats of another writer, which name a service that no configuration has, must not take sound engines out
 * of service.
 */
final class StrayBeat implements Main.Case {

    private static final String KEY = "key-of-the-first-tenant";

    private static final int ENGINES = 3;

    private static final int REQUESTS = 300;

    private static final int REQUEST_GAP_MS = 150;

    private final AtomicInteger served = new AtomicInteger();

    private final AtomicInteger refused = new AtomicInteger();

    private final AtomicInteger runs = new AtomicInteger();

    @Override
    public boolean isBroken(Deployment deployment, Record record) throws IOException, InterruptedException {
        List<Engine> engines = new ArrayList<>();
        for (int number = 1; number <= ENGINES; number++) {
            engines.add(new Engine(
                    deployment, record, number, "portal", Deployment.zone(number), 6, 0,
                    (engine, request, in, out, socket) -> {
                        Http.readExactly(in, Engine.length(request));
                        runs.incrementAndGet();
                        Thread.sleep(20);
                        engine.answer(out, request, "200 OK", "", "done");
                        return true;
                    }));
        }
        deployment.configure(
                Configurations.configuration(
                        7,
                        Configurations.route("orders", "/orders/", "non_idempotent", 1_500, 300, "portal", ""),
                        Configurations.plainService("portal"),
                        Configurations.tenant("first", KEY)),
                record);
        deployment.awaitReady();
        Deployment.pause(2_500);
        if (Main.TROUBLE) {
            for (Engine engine : engines) {
                stray(deployment, record, engine);
            }
        }
        Deployment.pause(2_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int request = 0; request < REQUESTS; request++) {
            int machine = 1 + request % Deployment.MACHINES;
            clients.execute(() -> send(deployment, machine, record));
            Deployment.pause(REQUEST_GAP_MS);
        }
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        record.line(
                "%d of %d requests of clients are served, %d are refused with 503; engines ran %d",
                served.get(), REQUESTS, refused.get(), runs.get());
        for (Engine engine : engines) {
            record.line(
                    "engine %s is sound, and its heartbeats are acknowledged: %s",
                    engine.id, engine.heartbeatAddress.isEmpty() ? "no" : "yes");
        }
        return served.get() == 0;
    }

    /** One heartbeat of another writer. It names a service that isn't known here, and a place where an engine runs. */
    private static void stray(Deployment deployment, Record record, Engine engine) {
        String beat = String.format(
                "{\"service\":\"nightly-report\",\"address\":\"%s\",\"zone\":\"%s\",\"slots\":1,\"state\":\"ready\","
                        + "\"born\":%d,\"sequence\":1}",
                engine.address, engine.zone, System.currentTimeMillis());
        Http.Answer answer = Http.json(
                deployment.control(1), "PUT", "/instances/stray-" + engine.id, beat, 1_000);
        record.line("another writer: PUT /instances/stray-%s %s -> %d", engine.id, beat, answer.status());
    }

    private void send(Deployment deployment, int machine, Record record) {
        String id = Caller.newId();
        Http.Answer answer =
                Caller.send(deployment, machine, id, "POST", "/orders/2f", KEY, 1_500, "", Http.bytes("order"));
        served.addAndGet(answer.status() == 200 ? 1 : 0);
        refused.addAndGet(answer.status() == 503 ? 1 : 0);
        record.line("client: request %s at machine %d -> %d", id, machine, answer.status());
    }
}
