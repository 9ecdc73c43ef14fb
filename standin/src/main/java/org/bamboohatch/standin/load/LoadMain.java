package org.bamboohatch.standin.load;

import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;

import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The program {@code bamboohatch-standin load}: sends requests at given rates, whether earlier ones ended or not. */
public final class LoadMain {

    /** Name of the program. */
    private static final String PROGRAM = "bamboohatch-standin-load";

    /** Characters that count as one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Connections to one server at most. */
    private static final int MAX_CONNECTIONS = 20_000;

    /** Threads of the HTTP client. */
    private static final int THREADS = 32;

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Nanoseconds in a millisecond. */
    private static final double NANOS_PER_MS = 1e6;

    /** Pause between two looks at the open requests, in nanoseconds. */
    private static final long PAUSE_NANOS = 20_000_000;

    /** The settings. */
    private final LoadSettings settings;

    /** Draws arrivals and lengths. */
    private final SplittableRandom random;

    /** The results. */
    private final LoadReport report = new LoadReport();

    /** The HTTP client. */
    private final HttpClient client = new HttpClient();

    /** Text that prompts are cut from. */
    private final String text;

    /** Requests sent so far. */
    private int sent;

    /**
     * Creates a driver.
     *
     * @param settings the settings
     */
    private LoadMain(LoadSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        long longest = settings.shapes().stream()
                .mapToLong(LoadSettings.Shape::maximumTokens)
                .max()
                .orElse(1);
        this.text = "bead ".repeat((int) (longest * CHARACTERS_PER_TOKEN / 5 + 8));
    }

    /**
     * Runs the program.
     *
     * @param arguments the command line
     * @throws Exception if the HTTP client or the file fails
     */
    public static void main(String[] arguments) throws Exception {
        new LoadMain(SettingsCommandLine.read(PROGRAM, arguments, LoadSettings.class)).run();
        System.exit(0);
    }

    /**
     * Sends all requests, awaits their ends and prints the results.
     *
     * @throws Exception if the HTTP client or the file fails
     */
    private void run() throws Exception {
        client.setExecutor(new QueuedThreadPool(THREADS));
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
        client.start();
        long start = System.nanoTime();
        double phaseStart = 0;
        for (LoadSettings.Phase phase : settings.phases()) {
            double arrival = phaseStart;
            while (phase.rate() > 0) {
                arrival += -Math.log(1 - random.nextDouble()) / phase.rate();
                if (arrival >= phaseStart + phase.seconds()) {
                    break;
                }
                sleepUntil(start + (long) (arrival * NANOS_PER_SECOND));
                sendOne(start);
            }
            phaseStart += phase.seconds();
            sleepUntil(start + (long) (phaseStart * NANOS_PER_SECOND));
        }
        while (report.size() < sent) {
            LockSupport.parkNanos(PAUSE_NANOS);
        }
        report.print(System.out, settings.warmupSeconds() * NANOS_PER_SECOND / NANOS_PER_MS);
        if (!settings.csv().isEmpty()) {
            report.write(Path.of(settings.csv()));
        }
    }

    /**
     * Draws and sends one request.
     *
     * @param start time of the start
     */
    private void sendOne(long start) {
        LoadSettings.Shape shape = drawShape(settings.shapes());
        double logarithm = random.nextDouble() * Math.log((double) shape.maximumTokens() / shape.minimumTokens());
        long tokens = Math.min(shape.maximumTokens(), (long) (shape.minimumTokens() * Math.exp(logarithm)));
        int account = random.nextInt(settings.keys().size());
        int offset = random.nextInt(5);
        if (shape.silent()) {
            return;
        }
        String prompt = text.substring(offset, offset + (int) tokens * CHARACTERS_PER_TOKEN);
        String url = settings.urls().get(sent % settings.urls().size());
        sent++;
        new LoadRequest(shape, account, tokens, (System.nanoTime() - start) / NANOS_PER_MS)
                .send(client, url, settings.keys().get(account), settings.model(), prompt, report::add);
    }

    /**
     * Draws a kind of request.
     *
     * @param shapes the kinds
     * @return one of them
     */
    private LoadSettings.Shape drawShape(List<LoadSettings.Shape> shapes) {
        double whole = shapes.stream().mapToDouble(LoadSettings.Shape::weight).sum();
        double drawn = random.nextDouble() * whole;
        for (LoadSettings.Shape shape : shapes) {
            drawn -= shape.weight();
            if (drawn <= 0) {
                return shape;
            }
        }
        return shapes.get(shapes.size() - 1);
    }

    /**
     * Waits until a time.
     *
     * @param nanos the time
     */
    private static void sleepUntil(long nanos) {
        for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
