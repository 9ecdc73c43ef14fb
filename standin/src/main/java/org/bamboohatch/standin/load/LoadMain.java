package org.bamboohatch.standin.load;

import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;

import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Main class of the program {@code bamboohatch-standin load}: an open-loop load driver, which sends requests at
 * configured rates whether or not earlier ones have ended.
 */
public final class LoadMain {

    private static final String PROGRAM = "bamboohatch-standin-load";

    /** Number of prompt characters that the stand-in engine counts as one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    private static final int MAX_CONNECTIONS_PER_SERVER = 20_000;

    private static final int CLIENT_THREADS = 32;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final double NANOS_PER_MS = 1e6;

    private static final long COMPLETION_POLL_INTERVAL_NANOS = 20_000_000;

    private final LoadSettings settings;

    /** Draws arrivals, shapes, lengths, accounts and offsets, always in the same order. */
    private final SplittableRandom random;

    private final LoadReport report = new LoadReport();

    private final HttpClient client = new HttpClient();

    /** Text whose substrings are the prompts. */
    private final String promptText;

    private int sentRequests;

    private LoadMain(LoadSettings settings) {
        this.settings = settings;
        this.random = new SplittableRandom(settings.seed());
        long longest = settings.shapes().stream()
                .mapToLong(LoadSettings.Shape::maximumTokens)
                .max()
                .orElse(1);
        this.promptText = "bead ".repeat((int) (longest * CHARACTERS_PER_TOKEN / 5 + 8));
    }

    /**
     * Runs the program.
     *
     * @param arguments command line arguments
     * @throws Exception if the HTTP client fails or the results cannot be written
     */
    public static void main(String[] arguments) throws Exception {
        new LoadMain(SettingsCommandLine.read(PROGRAM, arguments, LoadSettings.class)).run();
        System.exit(0);
    }

    /**
     * Sends all requests, waits until they have ended and prints the results.
     *
     * @throws Exception if the HTTP client fails or the results cannot be written
     */
    private void run() throws Exception {
        client.setExecutor(new QueuedThreadPool(CLIENT_THREADS));
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_SERVER);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS_PER_SERVER);
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
        while (report.size() < sentRequests) {
            LockSupport.parkNanos(COMPLETION_POLL_INTERVAL_NANOS);
        }
        report.print(System.out, settings.warmupSeconds() * NANOS_PER_SECOND / NANOS_PER_MS);
        if (!settings.csv().isEmpty()) {
            report.write(Path.of(settings.csv()));
        }
    }

    /**
     * Draws and sends one request. A request of a silent shape is drawn like any other but not sent, so that all other
     * requests are the same with and without it.
     *
     * @param start start of the run, on the clock of {@link System#nanoTime()}
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
        String prompt = promptText.substring(offset, offset + (int) tokens * CHARACTERS_PER_TOKEN);
        String url = settings.urls().get(sentRequests % settings.urls().size());
        sentRequests++;
        new LoadRequest(shape, account, tokens, (System.nanoTime() - start) / NANOS_PER_MS)
                .send(client, url, settings.keys().get(account), settings.model(), prompt, report::add);
    }

    /**
     * Draws a shape with a probability in proportion to its weight.
     *
     * @param shapes the shapes
     * @return the drawn shape
     */
    private LoadSettings.Shape drawShape(List<LoadSettings.Shape> shapes) {
        double totalWeight =
                shapes.stream().mapToDouble(LoadSettings.Shape::weight).sum();
        double remainingWeight = random.nextDouble() * totalWeight;
        for (LoadSettings.Shape shape : shapes) {
            remainingWeight -= shape.weight();
            if (remainingWeight <= 0) {
                return shape;
            }
        }
        return shapes.get(shapes.size() - 1);
    }

    /**
     * Waits until a point in time.
     *
     * @param nanos the point in time, on the clock of {@link System#nanoTime()}
     */
    private static void sleepUntil(long nanos) {
        for (long remainingNanos = nanos - System.nanoTime();
                remainingNanos > 0;
                remainingNanos = nanos - System.nanoTime()) {
            LockSupport.parkNanos(remainingNanos);
        }
    }
}
