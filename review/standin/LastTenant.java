package bamboohatch.review;

import java.io.IOException;

/** Rules CONFIG and ROUTE: a configuration takes the last tenant away; its key must not let requests run any longer. */
final class LastTenant implements Main.Case {

    private static final String KEY = "key-of-the-first-tenant";

    private static final String NEVER_HELD = "key-that-nobody-held";

    private static final int REVOKE_MS = 5_000;

    private final java.util.Set<String> ran = java.util.concurrent.ConcurrentHashMap.newKeySet();

    @Override
    public boolean isBroken(Deployment deployment, Record record) throws IOException {
        for (int number = 1; number <= 2; number++) {
            new Engine(deployment, record, number, "portal", "centro-a", 6, 0, (engine, request, in, out, socket) -> {
                Http.readExactly(in, Engine.length(request));
                String id = request.field("X-Bamboohatch-Request-Id");
                ran.add(id);
                record.line("engine %s: runs %s for tenant '%s'", engine.id, id, request.field("X-Bamboohatch-Tenant"));
                engine.answer(out, request, "200 OK", "", "done");
                return true;
            });
        }
        String route = Configurations.route("orders", "/orders/", "non_idempotent", 1_500, 300, "portal", "");
        String service = Configurations.plainService("portal");
        String tenant = Configurations.tenant("first", KEY);
        deployment.configure(Configurations.configuration(7, route, service, tenant), record);
        deployment.awaitReady();
        Deployment.pause(2_500);
        boolean served = false;
        for (int machine = 1; machine <= Deployment.MACHINES; machine++) {
            served |= runs(deployment, record, machine, KEY);
            if (runs(deployment, record, machine, NEVER_HELD)) {
                return true;
            }
        }
        if (!served) {
            throw new Deployment.Unusable("no request was served");
        }
        deployment.configure(
                Configurations.configuration(9, route, service, Main.TROUBLE ? "" : tenant), record);
        Deployment.pause(REVOKE_MS + 1_000);
        boolean broken = false;
        for (int machine = 1; machine <= Deployment.MACHINES; machine++) {
            boolean revokedRuns = runs(deployment, record, machine, KEY);
            broken |= Main.TROUBLE && revokedRuns;
            broken |= runs(deployment, record, machine, NEVER_HELD);
        }
        return broken;
    }

    private boolean runs(Deployment deployment, Record record, int machine, String key) {
        String id = Caller.newId();
        Http.Answer answer = Caller.send(
                deployment, machine, id, "POST", "/orders/2f", key, 1_500, "", Http.bytes("order"));
        record.line("client: request %s with key %s at machine %d -> %d", id, key, machine, answer.status());
        return ran.contains(id);
    }
}
