package bamboohatch.review;

import java.io.IOException;

/** Runs one case: the first argument names it, the second is the file for the record. Exits with 1 if the rule was broken. */
public final class Main {

    /** Whether the disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final int BROKEN = 1;

    private static final int UNUSABLE = 2;

    private static final long LONGEST_MS = 112_000;

    private Main() {}

    /** A case, which says whether the rule was broken. */
    interface Case {

        boolean isBroken(Deployment deployment, Record record) throws IOException, InterruptedException;
    }

    /** Runs the case. */
    public static void main(String[] arguments) {
        int status = UNUSABLE;
        Thread watchdog = new Thread(() -> {
            Deployment.pause(LONGEST_MS);
            System.err.println("the case takes too long");
            System.exit(UNUSABLE);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        try (Record record = new Record(arguments[1]);
                Deployment deployment = new Deployment()) {
            record.line("case %s, %s", arguments[0], TROUBLE ? "with the disruption" : "without the disruption");
            Case chosen =
                    switch (arguments[0]) {
                        case "core-replaced" -> new CoreReplaced();
                        case "cut-then-error" -> new CutThenError();
                        case "stray-beat" -> new StrayBeat();
                        case "late-beat" -> new LateBeat();
                        case "last-tenant" -> new LastTenant();
                        default -> throw new Deployment.Unusable("no case " + arguments[0]);
                    };
            deployment.start();
            boolean broken = chosen.isBroken(deployment, record);
            record.line(broken ? "the rule was broken" : "the rule held");
            status = broken ? BROKEN : 0;
        } catch (IOException | InterruptedException | RuntimeException failed) {
            failed.printStackTrace();
        }
        System.exit(status);
    }
}
