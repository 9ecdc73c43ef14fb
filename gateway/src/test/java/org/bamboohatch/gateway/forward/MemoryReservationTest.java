package org.bamboohatch.gateway.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.bamboohatch.gateway.forward.MemoryReservation.Reply;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Placement.Allocation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Memory reservations at engines that lose commands or execute them late, in simulated time. */
class MemoryReservationTest {

    private static final long LEASE_MS = 3_400;

    /** Longest time for which memory may remain reserved after its release, in milliseconds. */
    private static final long MAX_RETURN_MS = 4_000;

    private static final TargetName FIRST = new TargetName("engine-a");

    private static final TargetName SECOND = new TargetName("engine-b");

    private final List<Event> events = new ArrayList<>();

    private final Map<TargetName, Engine> engines = new HashMap<>();

    private long now;

    private long sequence;

    /** An action that is due at a time; the sequence number orders actions due at the same time. */
    private record Event(long at, long sequence, Runnable action) {}

    /** An engine that grants memory. */
    private final class Engine {

        private final long capacity;

        private long reservedUntil = -1;

        private int commands;

        /** Delays in milliseconds of commands that are executed late and without a reply, by number of the command. */
        private final Map<Integer, Long> lateCommands = new HashMap<>();

        Engine(long capacity) {
            this.capacity = capacity;
        }

        private void handle(Runnable command, Reply reply, Consumer<Reply> onReply) {
            commands++;
            Long delay = lateCommands.get(commands);
            if (delay == null) {
                schedule(3, command);
                schedule(6, () -> onReply.accept(reply));
            } else {
                schedule(delay, command);
                schedule(600, () -> onReply.accept(Reply.UNANSWERED));
            }
        }

        boolean isReserved() {
            return reservedUntil > now;
        }
    }

    private final MemoryReservation.CommandSender commands = new MemoryReservation.CommandSender() {
        @Override
        public void reserve(Allocation allocation, String name, long leaseMillis, Consumer<Reply> onReply) {
            Engine engine = engines.get(allocation.engine());
            boolean fits = allocation.tokens() <= engine.capacity;
            engine.handle(
                    () -> engine.reservedUntil = fits ? now + leaseMillis : engine.reservedUntil,
                    fits ? Reply.DONE : Reply.REFUSED,
                    onReply);
        }

        @Override
        public void release(Allocation allocation, String name, Consumer<Reply> onReply) {
            Engine engine = engines.get(allocation.engine());
            engine.handle(() -> engine.reservedUntil = now, Reply.DONE, onReply);
        }
    };

    @BeforeEach
    void createEngines() {
        engines.put(FIRST, new Engine(200_000));
        engines.put(SECOND, new Engine(200_000));
    }

    private void schedule(long millis, Runnable action) {
        sequence++;
        events.add(new Event(now + millis, sequence, action));
    }

    private void run(long until) {
        while (true) {
            Optional<Event> next = events.stream()
                    .filter(event -> event.at() <= until)
                    .min(Comparator.comparingLong(Event::at).thenComparing(Event::sequence));
            if (next.isEmpty()) {
                now = until;
                return;
            }
            events.remove(next.get());
            now = next.get().at();
            next.get().action().run();
        }
    }

    private MemoryReservation reservation(long tokens) {
        List<Allocation> allocations = List.of(new Allocation(FIRST, tokens), new Allocation(SECOND, tokens));
        return new MemoryReservation(commands, this::schedule, "r-1", LEASE_MS, allocations);
    }

    @Test
    void memoryIsReservedUntilItIsReleased() {
        List<Optional<TargetName>> results = new ArrayList<>();
        MemoryReservation reservation = reservation(150_000);
        reservation.acquire(results::add);
        run(100);
        assertThat(results).containsExactly(Optional.empty());
        for (long at = 200; at < 20_000; at += 100) {
            run(at);
            assertThat(engines.values()).allMatch(Engine::isReserved);
        }
        reservation.release();
        run(now + 10);
        assertThat(engines.values()).noneMatch(Engine::isReserved);
        assertThat(events)
                .as("at most one renewal, which finds the reservation released, is still scheduled")
                .hasSizeLessThan(2);
    }

    @Test
    void allEnginesReserveMemoryOrNone() {
        engines.put(SECOND, new Engine(100_000));
        List<Optional<TargetName>> results = new ArrayList<>();
        reservation(150_000).acquire(results::add);
        run(1_000);
        assertThat(results).containsExactly(Optional.of(SECOND));
        assertThat(engines.values()).noneMatch(Engine::isReserved);
    }

    @Test
    void aRenewalExecutedAfterTheReleaseIsUndone() {
        engines.get(FIRST).lateCommands.put(2, 2_500L);
        MemoryReservation reservation = reservation(150_000);
        reservation.acquire(results -> {});
        run(1_300);
        reservation.release();
        long releasedAt = now;
        run(releasedAt + MAX_RETURN_MS);
        assertThat(engines.values()).noneMatch(Engine::isReserved);
    }

    @Test
    void aFirstReservationWithoutReplyIsUndone() {
        engines.get(SECOND).lateCommands.put(1, 4_000L);
        List<Optional<TargetName>> results = new ArrayList<>();
        reservation(150_000).acquire(results::add);
        run(1_000);
        assertThat(results).containsExactly(Optional.of(SECOND));
        run(4_000 + MAX_RETURN_MS / 2);
        assertThat(engines.values()).noneMatch(Engine::isReserved);
    }

    @Test
    void memoryIsReturnedInTimeWhicheverCommandsAreLate() {
        for (int seed = 0; seed < 500; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            events.clear();
            createEngines();
            for (Engine engine : engines.values()) {
                for (int command = 1; command < 6; command++) {
                    if (random.nextInt(4) == 0) {
                        engine.lateCommands.put(command, random.nextLong(7_000));
                    }
                }
            }
            MemoryReservation reservation = reservation(150_000);
            reservation.acquire(results -> {});
            run(now + random.nextLong(5_000));
            reservation.release();
            long releasedAt = now;
            for (long reservedFor = 0; now < releasedAt + 20_000; ) {
                run(now + 50);
                reservedFor = engines.values().stream().anyMatch(Engine::isReserved) ? reservedFor + 50 : 0;
                assertThat(reservedFor).as("seed %d", seed).isLessThan(MAX_RETURN_MS);
            }
        }
    }
}
