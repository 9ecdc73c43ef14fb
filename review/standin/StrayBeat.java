package bamboohatch.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rule CONFIG: routes that are added later must be served about as often as the first ones. The engines of the added one get
 * into the way of heartbeats of another writer, which name a service that no configuration has.
 */
final class StrayBeat implements Main.Case {

    private static final String KEY = "key-of-the-first-tenant";

    /** Engines of each of the two services. */
    private static final int ENGINES = 3;

    /** Requests on each of the two routes. */
    private static final int REQUESTS = 150;

    private static final int REQUEST_GAP_MS = 150;

    /** The rule: served less than a quarter as often. */
    private static final int SERVED_LESS = 4;

    private final AtomicInteger servedOnFirst = new AtomicInteger();

    private final AtomicInteger servedOnAdded = new AtomicInteger();

    @Override
    public boolean isBroken(Deployment deployment, Record record) throws IOException, InterruptedException {
        for (int number = 1; number <= ENGINES; number++) {
            engine(deployment, record, number, "portal");
        }
        String firstRoute = Configurations.route("orders", "/orders/", "non_idempotent", 1_500, 300, "portal", "");
        String tenant = Configurations.tenant("first", KEY);
        deployment.configure(
                Configurations.configuration(7, firstRoute, Configurations.plainService("portal"), tenant), record);
        deployment.awaitReady();
        List<Engine> added = new ArrayList<>();
        for (int number = 1; number <= ENGINES; number++) {
            added.add(engine(deployment, record, ENGINES + number, "archive"));
        }
        String addedRoute = Configurations.route("records", "/records/", "non_idempotent", 1_500, 300, "archive", "");
        deployment.configure(
                Configurations.configuration(
                        9,
                        firstRoute + "," + addedRoute,
                        Configurations.plainService("portal") + "," + Configurations.plainService("archive"),
                        tenant),
                record);
        Deployment.pause(4_000);
        if (Main.TROUBLE) {
            for (Engine engine : added) {
                stray(deployment, record, engine);
            }
        }
        Deployment.pause(2_000);
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int request = 0; request < REQUESTS; request++) {
            int machine = 1 + request % Deployment.MACHINES;
            clients.execute(() -> send(deployment, machine, "/orders/2f", servedOnFirst, record));
            clients.execute(() -> send(deployment, machine, "/records/2f", servedOnAdded, record));
            Deployment.pause(REQUEST_GAP_MS);
        }
        clients.shutdown();
        clients.awaitTermination(5, TimeUnit.SECONDS);
        record.line(
                "served of %d requests each: %d on the first route, %d on the added one",
                REQUESTS, servedOnFirst.get(), servedOnAdded.get());
        for (Engine engine : added) {
            record.line(
                    "engine %s is sound, and its heartbeats are acknowledged: %s",
                    engine.id, engine.heartbeatAddress.isEmpty() ? "no" : "yes");
        }
        if (servedOnFirst.get() < REQUESTS / 2) {
            throw new Deployment.Unusable("the first route is not served");
        }
        return servedOnAdded.get() * SERVED_LESS < servedOnFirst.get();
    }

    private static Engine engine(Deployment deployment, Record record, int number, String service)
            throws IOException {
        return new Engine(
                deployment, record, number, service, Deployment.zone(number), 6, 0,
                (engine, request, in, out, socket) -> {
                    Http.readExactly(in, Engine.length(request));
                    Thread.sleep(20);
                    engine.answer(out, request, "200 OK", "", "done");
                    return true;
                });
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

    private static void send(
            Deployment deployment, int machine, String path, AtomicInteger served, Record record) {
        String id = Caller.newId();
        Http.Answer answer = Caller.send(deployment, machine, id, "POST", path, KEY, 1_500, "", Http.bytes("order"));
        served.addAndGet(answer.status() == 200 ? 1 : 0);
        record.line("client: request %s %s at machine %d -> %d", id, path, machine, answer.status());
    }
}
