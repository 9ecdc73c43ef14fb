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

/** The program {@code bamboohatch-standin control}: plays agents, entries and operators towards control. */
public final class ControlLoadMain {

    /** Name of the program. */
    private static final String PROGRAM = "bamboohatch-standin-control";

    /** Time for one question. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** Network threads. */
    private static final int THREADS = 4;

    /** Repetitions of the small measurements. */
    private static final int REPEATS = 300;

    /** Digits of the histograms. */
    private static final int DIGITS = 3;

    /** Nanoseconds in a millisecond. */
    private static final double NANOS_PER_MS = 1e6;

    /** Pause between two looks at a process that catches up, in milliseconds. */
    private static final long LOOK_MS = 10;

    /** The settings. */
    private final ControlLoadSettings settings;

    /** The network threads. */
    private final Network network = new Network(THREADS, new Timeline(PROGRAM, 16));

    /** Asks the leader. */
    private final ControlClient client;

    /**
     * Creates a driver.
     *
     * @param settings the settings
     */
    private ControlLoadMain(ControlLoadSettings settings) {
        this.settings = settings;
        this.client = new ControlClient(network, settings.control());
    }

    /**
     * Runs the program.
     *
     * @param arguments the command line
     * @throws Exception if a measurement fails
     */
    public static void main(String[] arguments) throws Exception {
        ControlLoadMain driver =
                new ControlLoadMain(SettingsCommandLine.read(PROGRAM, arguments, ControlLoadSettings.class));
        SimulatedSubscribers holders = new SimulatedSubscribers(driver.settings, driver.network);
        holders.start();
        if (driver.settings.targets() + driver.settings.entries() > 0) {
            driver.play(holders);
        }
        if (driver.settings.changes() > 0) {
            driver.applyChanges();
        }
        if (driver.settings.claims() > 0) {
            driver.claimOneByOne();
            driver.claimInParallel();
        }
        if (!driver.settings.follow().isEmpty()) {
            driver.awaitCatchUp();
        }
        holders.stop();
        System.exit(0);
    }

    /**
     * Plays for a while and prints the rates.
     *
     * @param holders the players
     * @throws InterruptedException if the thread is interrupted
     */
    private void play(SimulatedSubscribers holders) throws InterruptedException {
        TimeUnit.SECONDS.sleep(5);
        long answered = holders.answered();
        long bytes = holders.bytes();
        TimeUnit.SECONDS.sleep(settings.seconds());
        int players = settings.targets() + settings.entries();
        System.out.printf(
                "players %d: %.1f messages a second at the leader, %.0f bytes a second a player%n",
                players,
                (holders.answered() - answered) / (double) settings.seconds(),
                (holders.bytes() - bytes) / (double) settings.seconds() / players);
    }

    /** Applies changes one after the other and prints the times until they are in force. */
    private void applyChanges() {
        DoubleHistogram committed = new DoubleHistogram(DIGITS);
        DoubleHistogram inForce = new DoubleHistogram(DIGITS);
        long revision = 0;
        ServiceName service = new ServiceName("measured-" + UUID.randomUUID());
        for (int change = 0; change < settings.changes(); change++) {
            String text = "service: " + service + "\nkind: plain\naccounts: []\ndescription: change " + change + "\n";
            long start = System.nanoTime();
            revision = apply(new ApplyDocument(UUID.randomUUID().toString(), service, revision, text));
            committed.recordValue(millisSince(start));
            boolean everywhere = false;
            while (!everywhere) {
                everywhere = ask(new AwaitInForce(revision)) instanceof InForce answer
                        && answer.pendingZones().isEmpty();
            }
            inForce.recordValue(millisSince(start));
        }
        print("change committed", committed);
        print("change in force in every zone", inForce);
    }

    /**
     * Applies a change; it is sent again while it is undecided, which is harmless under the same change id.
     *
     * @param change the change
     * @return the revision that it made
     */
    private long apply(ApplyDocument change) {
        ControlReply reply = ask(change);
        while (!(reply instanceof Applied)) {
            reply = ask(change);
        }
        return ((Applied) reply).revision();
    }

    /**
     * Makes claims one after the other beside a sync and a round trip.
     *
     * @throws IOException if the file cannot be synced
     */
    private void claimOneByOne() throws IOException {
        DoubleHistogram trips = new DoubleHistogram(DIGITS);
        DoubleHistogram claims = new DoubleHistogram(DIGITS);
        DoubleHistogram syncs = new DoubleHistogram(DIGITS);
        Path file = Files.createTempFile(Path.of("run"), "sync", ".bin");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            for (int number = 0; number < REPEATS * 2; number++) {
                long start = System.nanoTime();
                ask(claim());
                double claimed = millisSince(start);
                start = System.nanoTime();
                ask(new GetEvents("nothing"));
                double trip = millisSince(start);
                start = System.nanoTime();
                channel.write(ByteBuffer.allocate(256));
                channel.force(false);
                double sync = millisSince(start);
                if (number >= REPEATS) {
                    claims.recordValue(claimed);
                    trips.recordValue(trip);
                    syncs.recordValue(sync);
                }
            }
        } finally {
            Files.delete(file);
        }
        print("claim", claims);
        print("round trip", trips);
        print("sync", syncs);
        double sum = trips.getValueAtPercentile(50) * 2 + syncs.getValueAtPercentile(50);
        System.out.printf(
                "claim p50 / (sync + round trips of client and quorum) p50: %.2f%n",
                claims.getValueAtPercentile(50) / sum);
    }

    /**
     * Makes many claims at the same time and prints the rate.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    private void claimInParallel() throws InterruptedException {
        Semaphore free = new Semaphore(settings.parallel());
        CountDownLatch left = new CountDownLatch(settings.claims());
        long start = System.nanoTime();
        for (int number = 0; number < settings.claims(); number++) {
            free.acquire();
            client.call(claim(), TIMEOUT).whenComplete((reply, problem) -> {
                free.release();
                left.countDown();
            });
        }
        left.await();
        double seconds = millisSince(start) / 1000;
        System.out.printf(
                "claims a second with %d under way: %.0f%n", settings.parallel(), settings.claims() / seconds);
    }

    /**
     * Waits until a process has applied what the leader has.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    private void awaitCatchUp() throws InterruptedException {
        long goal = 0;
        for (String address : settings.control()) {
            if (!address.equals(settings.follow())) {
                goal = Math.max(goal, appliedIndex(address));
            }
        }
        long first = 0;
        long start = System.nanoTime();
        while (true) {
            long applied = appliedIndex(settings.follow());
            if (applied >= 0 && first == 0) {
                first = System.nanoTime();
            }
            if (applied >= goal) {
                break;
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        System.out.printf(
                "caught up to index %d in %.0f ms, %.0f ms after the first answer%n",
                goal, millisSince(start), millisSince(first));
    }

    /**
     * Asks a process how far it is.
     *
     * @param address its address
     * @return the applied index, or -1 if it does not answer
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

    /**
     * Makes a claim of a new key.
     *
     * @return the claim
     */
    private static BeginRun claim() {
        String key = UUID.randomUUID().toString();
        return new BeginRun(
                new RunKey(new AccountName("measured"), key), new AttemptId(key), key, "hash", Long.MAX_VALUE / 2);
    }

    /**
     * Asks the leader.
     *
     * @param request the question
     * @return the answer
     */
    private ControlReply ask(ControlRequest request) {
        return client.call(request, TIMEOUT).join();
    }

    /**
     * Prints a histogram.
     *
     * @param name what was measured
     * @param histogram the times in milliseconds
     */
    private static void print(String name, DoubleHistogram histogram) {
        System.out.printf(
                "%s: p50 %.2f ms, p99 %.2f ms, max %.2f ms%n",
                name, histogram.getValueAtPercentile(50), histogram.getValueAtPercentile(99), histogram.getMaxValue());
    }

    /**
     * Returns the time since a moment.
     *
     * @param nanos the moment
     * @return the time in milliseconds
     */
    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MS;
    }
}
