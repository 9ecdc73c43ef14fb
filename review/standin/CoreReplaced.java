package bamboohatch.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Rules CONFIG, LOST and RECOVER: the machines of the core are replaced in turn, as planned work: the new one starts first and
 * gets more than {@code catch_up_s}, then the old one gets SIGTERM. Afterwards the acknowledged configuration must still be
 * read, and requests be served.
 */
final class CoreReplaced implements Main.Case {

    private static final String KEY = "key-of-the-first-tenant";

    private static final int CATCH_UP_MS = 4_000;

    private static final int GRACE_MS = 8_000;

    private static final int RECOVERY_MS = 12_000;

    private static final int REPLACEMENTS = 5;

    private long acknowledged;

    @Override
    public boolean isBroken(Deployment deployment, Record record) throws IOException {
        for (int number = 1; number <= 2; number++) {
            new Engine(deployment, record, number, "portal", "centro-a", 6, 0, (engine, request, in, out, socket) -> {
                Http.readExactly(in, Engine.length(request));
                engine.answer(out, request, "200 OK", "", "done");
                return true;
            });
        }
        configure(deployment, record, 10);
        deployment.awaitReady();
        Deployment.pause(CATCH_UP_MS);
        int served = serve(deployment, record, List.of(1, 2, 3));
        if (served < 3) {
            throw new Deployment.Unusable("requests are not served at the beginning");
        }
        List<Integer> machines = new ArrayList<>(List.of(1, 2, 3));
        for (int replacement = 0; replacement < REPLACEMENTS; replacement++) {
            int old = machines.get(0);
            int added = old + Deployment.MACHINES;
            if (Main.TROUBLE) {
                deployment.start("control", added, false);
                deployment.start("gateway", added, false);
                record.line("machine %d starts, with an empty disk, to replace machine %d", added, old);
            }
            Deployment.pause(CATCH_UP_MS + 500);
            if (Main.TROUBLE) {
                machines.remove(0);
                machines.add(added);
                deployment.setControls(machines);
                deployment.signal("TERM", "control", old);
                deployment.signal("TERM", "gateway", old);
                record.line("machine %d gets SIGTERM; control is served by %s", old, machines);
            }
            Deployment.pause(2_500);
            configure(deployment, record, 20 + 2 * replacement);
            Deployment.pause(2_500);
        }
        return endsWithout(deployment, record, machines);
    }

    private boolean endsWithout(Deployment deployment, Record record, List<Integer> machines) {
        long giveUpAt = System.currentTimeMillis() + RECOVERY_MS;
        boolean read = false;
        while (!read && System.currentTimeMillis() < giveUpAt) {
            for (int machine : machines) {
                Http.Answer answer = Http.json(deployment.control(machine), "GET", "/config", "", 1_000);
                read |= answer.status() == 200 && answer.body().contains("\"version\":" + acknowledged);
                record.line(
                        "operator: GET /config at machine %d -> %d %s",
                        machine, answer.status(), answer.body().substring(0, Math.min(60, answer.body().length())));
            }
            Deployment.pause(500);
        }
        int served = serve(deployment, record, machines);
        record.line(
                "version %d was acknowledged; it is %sread back within %d s; %d of %d requests are served",
                acknowledged, read ? "" : "not ", RECOVERY_MS / 1_000, served, machines.size());
        return !read;
    }

    private void configure(Deployment deployment, Record record, long version) {
        String configuration = Configurations.configuration(
                version,
                Configurations.route("orders", "/orders/", "non_idempotent", 1_500, 300, "portal", ""),
                Configurations.plainService("portal"),
                Configurations.tenant("first", KEY));
        for (int attempt = 0; attempt < 4 * Deployment.MACHINES; attempt++) {
            List<Integer> controls = deployment.controls();
            int machine = controls.get(attempt % controls.size());
            Http.Answer answer = Http.json(deployment.control(machine), "PUT", "/config", configuration, 1_000);
            record.line("operator: PUT /config %d at machine %d -> %d", version, machine, answer.status());
            if (answer.status() == 200) {
                acknowledged = version;
                return;
            }
            Deployment.pause(200);
        }
        if (acknowledged == 0) {
            throw new Deployment.Unusable("no configuration was acknowledged");
        }
    }

    private static int serve(Deployment deployment, Record record, List<Integer> machines) {
        int served = 0;
        for (int machine : machines) {
            String id = Caller.newId();
            Http.Answer answer = Caller.send(
                    deployment, machine, id, "POST", "/orders/2f", KEY, 1_500, "", Http.bytes("order"));
            record.line("client: request %s at machine %d -> %d", id, machine, answer.status());
            served += answer.status() == 200 ? 1 : 0;
        }
        return served;
    }
}
