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

/** Memory at several engines, some of which lose orders or carry them out late; time is the test's own. */
class MemoryReservationTest {

    private static final long LEASE_MS = 3_400;

    /** Time in which memory must be free after its use, in milliseconds. */
    private static final long RETURN_MS = 4_000;

    private static final TargetName FIRST = new TargetName("engine-a");

    private static final TargetName SECOND = new TargetName("engine-b");

    private final List<Event> events = new ArrayList<>();

    private final Map<TargetName, Engine> engines = new HashMap<>();

    private long now;

    private long sequence;

    /** Something that is due at a time. */
    private record Event(long at, long order, Runnable action) {}

    /** An engine that lends memory. */
    private final class Engine {

        private final long kept;

        private long heldUntil = -1;

        private int orders;

        /** Orders that are carried out late without an answer, by their number. */
        private final Map<Integer, Long> late = new HashMap<>();

        Engine(long kept) {
            this.kept = kept;
        }

        private void take(Runnable order, Reply reply, Consumer<Reply> answered) {
            orders++;
            Long delay = late.get(orders);
            if (delay == null) {
                after(3, order);
                after(6, () -> answered.accept(reply));
            } else {
                after(delay, order);
                after(600, () -> answered.accept(Reply.UNANSWERED));
            }
        }

        boolean isHeld() {
            return heldUntil > now;
        }
    }

    private final MemoryReservation.Orders orders = new MemoryReservation.Orders() {
        @Override
        public void reserve(Allocation allocation, String reservation, long leaseMillis, Consumer<Reply> answered) {
            Engine engine = engines.get(allocation.engine());
            boolean fits = allocation.tokens() <= engine.kept;
            engine.take(
                    () -> engine.heldUntil = fits ? now + leaseMillis : engine.heldUntil,
                    fits ? Reply.DONE : Reply.REFUSED,
                    answered);
        }

        @Override
        public void release(Allocation allocation, String reservation, Consumer<Reply> answered) {
            Engine engine = engines.get(allocation.engine());
            engine.take(() -> engine.heldUntil = now, Reply.DONE, answered);
        }
    };

    @BeforeEach
    void createEngines() {
        engines.put(FIRST, new Engine(200_000));
        engines.put(SECOND, new Engine(200_000));
    }

    private void after(long millis, Runnable action) {
        sequence++;
        events.add(new Event(now + millis, sequence, action));
    }

    private void run(long until) {
        while (true) {
            Optional<Event> next = events.stream()
                    .filter(event -> event.at() <= until)
                    .min(Comparator.comparingLong(Event::at).thenComparing(Event::order));
            if (next.isEmpty()) {
                now = until;
                return;
            }
            events.remove(next.get());
            now = next.get().at();
            next.get().action().run();
        }
    }

    private MemoryReservation hold(long tokens) {
        List<Allocation> allocations = List.of(new Allocation(FIRST, tokens), new Allocation(SECOND, tokens));
        return new MemoryReservation(orders, this::after, "r-1", LEASE_MS, allocations);
    }

    @Test
    void memoryIsHeldForAsLongAsItIsUsed() {
        List<Optional<TargetName>> taken = new ArrayList<>();
        MemoryReservation hold = hold(150_000);
        hold.take(taken::add);
        run(100);
        assertThat(taken).containsExactly(Optional.empty());
        for (long at = 200; at < 20_000; at += 100) {
            run(at);
            assertThat(engines.values()).allMatch(Engine::isHeld);
        }
        hold.end();
        run(now + 10);
        assertThat(engines.values()).noneMatch(Engine::isHeld);
        assertThat(events)
                .as("nothing is left to do but a renewal that finds the end")
                .hasSizeLessThan(2);
    }

    @Test
    void allEnginesSetMemoryAsideOrNone() {
        engines.put(SECOND, new Engine(100_000));
        List<Optional<TargetName>> taken = new ArrayList<>();
        hold(150_000).take(taken::add);
        run(1_000);
        assertThat(taken).containsExactly(Optional.of(SECOND));
        assertThat(engines.values()).noneMatch(Engine::isHeld);
    }

    @Test
    void anOrderCarriedOutAfterTheEndIsTakenBack() {
        engines.get(FIRST).late.put(2, 2_500L);
        MemoryReservation hold = hold(150_000);
        hold.take(taken -> {});
        run(1_300);
        hold.end();
        long ended = now;
        run(ended + RETURN_MS);
        assertThat(engines.values()).noneMatch(Engine::isHeld);
    }

    @Test
    void aFirstOrderWithoutAnswerIsTakenBack() {
        engines.get(SECOND).late.put(1, 4_000L);
        List<Optional<TargetName>> taken = new ArrayList<>();
        hold(150_000).take(taken::add);
        run(1_000);
        assertThat(taken).containsExactly(Optional.of(SECOND));
        run(4_000 + RETURN_MS / 2);
        assertThat(engines.values()).noneMatch(Engine::isHeld);
    }

    @Test
    void noMemoryStaysSetAsideWhateverOrdersAreLate() {
        for (int seed = 0; seed < 500; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            events.clear();
            createEngines();
            for (Engine engine : engines.values()) {
                for (int order = 1; order < 6; order++) {
                    if (random.nextInt(4) == 0) {
                        engine.late.put(order, random.nextLong(7_000));
                    }
                }
            }
            MemoryReservation hold = hold(150_000);
            hold.take(taken -> {});
            run(now + random.nextLong(5_000));
            hold.end();
            long ended = now;
            for (long held = 0; now < ended + 20_000; ) {
                run(now + 50);
                held = engines.values().stream().anyMatch(Engine::isHeld) ? held + 50 : 0;
                assertThat(held).as("seed %d", seed).isLessThan(RETURN_MS);
            }
        }
    }
}
