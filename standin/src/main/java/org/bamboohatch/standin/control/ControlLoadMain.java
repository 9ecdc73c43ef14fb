package org.bamboohatch.standin.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.DoubleHistogram;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Applied;
import org.bamboohatch.protocol.message.ControlReply.InForce;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.message.ControlRequest.ApplyDocument;
import org.bamboohatch.protocol.message.ControlRequest.AwaitInForce;
import org.bamboohatch.protocol.message.ControlRequest.BeginRun;
import org.bamboohatch.protocol.message.ControlRequest.GetEvents;
import org.bamboohatch.protocol.message.ControlRequest.GetStatus;
import org.bamboohatch.protocol.transport.Network;

/**
 * Main class of the program {@code bamboohatch-standin control}: simulates agents, entries and operators at control and
 * prints measurements.
 */
public final class ControlLoadMain {

    private static final String PROGRAM = "bamboohatch-standin-control";

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

    private static final int NETWORK_THREADS = 4;

    /** Number of recorded sequential claims; as many are made before them to warm up. */
    private static final int RECORDED_REPETITIONS = 300;

    private static final int SIGNIFICANT_DIGITS = 3;

    private static final double NANOS_PER_MS = 1e6;

    private static final long CATCH_UP_POLL_INTERVAL_MS = 10;

    private final ControlLoadSettings settings;

    private final Network network = new Network(NETWORK_THREADS, new Timeline(PROGRAM, 16));

    /** Sends requests to the leader. */
    private final ControlClient client;

    private ControlLoadMain(ControlLoadSettings settings) {
        this.settings = settings;
        this.client = new ControlClient(network, settings.control());
    }

    /**
     * Runs the program.
     *
     * @param arguments command line arguments
     * @throws Exception if a measurement fails
     */
    public static void main(String[] arguments) throws Exception {
        ControlLoadMain driver =
                new ControlLoadMain(SettingsCommandLine.read(PROGRAM, arguments, ControlLoadSettings.class));
        SimulatedSubscribers subscribers = new SimulatedSubscribers(driver.settings, driver.network);
        subscribers.start();
        if (driver.settings.targets() + driver.settings.entries() > 0) {
            driver.measureSubscribers(subscribers);
        }
        if (driver.settings.changes() > 0) {
            driver.measureChanges();
        }
        if (driver.settings.claims() > 0) {
            driver.measureSequentialClaims();
            driver.measureParallelClaims();
        }
        if (!driver.settings.follow().isEmpty()) {
            driver.measureCatchUp();
        }
        subscribers.stop();
        System.exit(0);
    }

    /**
     * Measures the rates of messages and bytes for the configured time, after five seconds in which the simulated
     * processes start, and prints them.
     *
     * @param subscribers the simulated processes
     * @throws InterruptedException if the thread is interrupted
     */
    private void measureSubscribers(SimulatedSubscribers subscribers) throws InterruptedException {
        TimeUnit.SECONDS.sleep(5);
        long answeredRequests = subscribers.answeredRequests();
        long transferredBytes = subscribers.transferredBytes();
        TimeUnit.SECONDS.sleep(settings.seconds());
        int processes = settings.targets() + settings.entries();
        System.out.printf(
                "%d simulated processes: %.1f messages a second at the leader, %.0f bytes a second per process%n",
                processes,
                (subscribers.answeredRequests() - answeredRequests) / (double) settings.seconds(),
                (subscribers.transferredBytes() - transferredBytes) / (double) settings.seconds() / processes);
    }

    /** Applies changes one after the other and prints the times until each is committed and in force. */
    private void measureChanges() {
        DoubleHistogram committed = new DoubleHistogram(SIGNIFICANT_DIGITS);
        DoubleHistogram inForce = new DoubleHistogram(SIGNIFICANT_DIGITS);
        long revision = 0;
        ServiceName service = new ServiceName("measured-" + UUID.randomUUID());
        for (int change = 0; change < settings.changes(); change++) {
            String text = "service: " + service + "\nkind: plain\naccounts: []\ndescription: change " + change + "\n";
            long start = System.nanoTime();
            revision = apply(new ApplyDocument(UUID.randomUUID().toString(), service, revision, text));
            committed.recordValue(millisSince(start));
            boolean inForceEverywhere = false;
            while (!inForceEverywhere) {
                inForceEverywhere = call(new AwaitInForce(revision)) instanceof InForce answer
                        && answer.pendingZones().isEmpty();
            }
            inForce.recordValue(millisSince(start));
        }
        print("change committed", committed);
        print("change in force in every zone", inForce);
    }

    /**
     * Applies a change. The request is repeated until it succeeds, which is safe because the change keeps its id.
     *
     * @param change the change
     * @return the revision that the change created
     */
    private long apply(ApplyDocument change) {
        ControlReply reply = call(change);
        while (!(reply instanceof Applied)) {
            reply = call(change);
        }
        return ((Applied) reply).revision();
    }

    /**
     * Makes claims one after the other, takes the time of a round trip and of a file sync after each, and prints all three
     * distributions.
     *
     * @throws IOException if the file cannot be synced
     */
    private void measureSequentialClaims() throws IOException {
        DoubleHistogram roundTrips = new DoubleHistogram(SIGNIFICANT_DIGITS);
        DoubleHistogram claims = new DoubleHistogram(SIGNIFICANT_DIGITS);
        DoubleHistogram syncs = new DoubleHistogram(SIGNIFICANT_DIGITS);
        Path file = Files.createTempFile(Path.of("run"), "sync", ".bin");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            for (int number = 0; number < RECORDED_REPETITIONS * 2; number++) {
                long start = System.nanoTime();
                call(newClaim());
                double claimMillis = millisSince(start);
                start = System.nanoTime();
                call(new GetEvents("nothing"));
                double roundTripMillis = millisSince(start);
                start = System.nanoTime();
                channel.write(ByteBuffer.allocate(256));
                channel.force(false);
                double syncMillis = millisSince(start);
                if (number >= RECORDED_REPETITIONS) {
                    claims.recordValue(claimMillis);
                    roundTrips.recordValue(roundTripMillis);
                    syncs.recordValue(syncMillis);
                }
            }
        } finally {
            Files.delete(file);
        }
        print("claim", claims);
        print("round trip", roundTrips);
        print("sync", syncs);
        double sum = roundTrips.getValueAtPercentile(50) * 2 + syncs.getValueAtPercentile(50);
        System.out.printf(
                "claim p50 / (sync + round trips of client and quorum) p50: %.2f%n",
                claims.getValueAtPercentile(50) / sum);
    }

    /**
     * Makes claims in parallel and prints their rate.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    private void measureParallelClaims() throws InterruptedException {
        Semaphore slots = new Semaphore(settings.parallel());
        CountDownLatch openClaims = new CountDownLatch(settings.claims());
        long start = System.nanoTime();
        for (int number = 0; number < settings.claims(); number++) {
            slots.acquire();
            client.call(newClaim(), REQUEST_TIMEOUT).whenComplete((reply, problem) -> {
                slots.release();
                openClaims.countDown();
            });
        }
        openClaims.await();
        double seconds = millisSince(start) / 1000;
        System.out.printf(
                "claims a second with %d under way: %.0f%n", settings.parallel(), settings.claims() / seconds);
    }

    /**
     * Waits until the followed process has applied the highest index that another control process had applied at the
     * start, and prints the time that this takes.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    private void measureCatchUp() throws InterruptedException {
        long expectedIndex = 0;
        for (String address : settings.control()) {
            if (!address.equals(settings.follow())) {
                expectedIndex = Math.max(expectedIndex, appliedIndex(address));
            }
        }
        long firstReply = 0;
        long start = System.nanoTime();
        while (true) {
            long applied = appliedIndex(settings.follow());
            if (applied >= 0 && firstReply == 0) {
                firstReply = System.nanoTime();
            }
            if (applied >= expectedIndex) {
                break;
            }
            TimeUnit.MILLISECONDS.sleep(CATCH_UP_POLL_INTERVAL_MS);
        }
        System.out.printf(
                "caught up to index %d in %.0f ms, %.0f ms after the first answer%n",
                expectedIndex, millisSince(start), millisSince(firstReply));
    }

    /**
     * Requests the applied index of a process.
     *
     * @param address address of the process
     * @return the applied index, or -1 if the process does not answer
     */
    private long appliedIndex(String address) {
        try {
            var reply = client.callOne(address, new GetStatus(), Duration.ofMillis(500))
                    .join();
            return reply instanceof ControlReply.Status status ? status.appliedIndex() : -1;
        } catch (java.util.concurrent.CompletionException unreachable) {
            return -1;
        }
    }

    /** Creates a claim of a run under a new key. */
    private static BeginRun newClaim() {
        String key = UUID.randomUUID().toString();
        return new BeginRun(
                new RunKey(new AccountName("measured"), key), new AttemptId(key), key, "hash", Long.MAX_VALUE / 2);
    }

    private ControlReply call(ControlRequest request) {
        return client.call(request, REQUEST_TIMEOUT).join();
    }

    /**
     * Prints percentiles and the maximum of a histogram.
     *
     * @param name name of the measurement
     * @param histogram the times in milliseconds
     */
    private static void print(String name, DoubleHistogram histogram) {
        System.out.printf(
                "%s: p50 %.2f ms, p99 %.2f ms, max %.2f ms%n",
                name, histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99), histogram.getMaxValue());
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MS;
    }
}
