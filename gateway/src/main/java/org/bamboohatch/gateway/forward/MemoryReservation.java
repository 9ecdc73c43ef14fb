package org.bamboohatch.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Placement.Allocation;

/**
 * Memory reserved at several engines for one prompt, either at all of them or at none. No memory command waits at an
 * engine, so prompts cannot deadlock each other. Each engine grants the memory under a lease that is renewed while the
 * prompt is in use; memory reserved by a failed gateway is free once the lease has expired.
 */
final class MemoryReservation {

    /** Renewal interval as a fraction of the lease: the lease survives one lost renewal. */
    private static final double RENEWAL_FRACTION = 0.35;

    /** Interval at which a release is repeated after a memory command without a reply, in milliseconds. */
    private static final long RELEASE_RETRY_INTERVAL_MS = 1_000;

    /** Repeated releases after a memory command without a reply: an engine may still execute it seconds later. */
    private static final int MAX_RELEASE_RETRIES = 8;

    private final CommandSender commands;

    private final Scheduler scheduler;

    /** Name under which every engine knows the reservation. */
    private final String name;

    /** Lease that engines grant, in milliseconds. */
    private final long leaseMillis;

    private final List<EngineMemory> engines;

    /** Number of engines that have not confirmed their first reservation yet. */
    private int unconfirmed;

    private boolean released;

    /** Result of a memory command. */
    enum Reply {
        /** The engine executed the command. */
        DONE,
        /** The engine refused the command, or is no longer a member. */
        REFUSED,
        /** No reply arrived: the command may have been executed, or may be executed later. */
        UNANSWERED
    }

    /** Sends memory commands to engines. */
    interface CommandSender {

        /**
         * Reserves memory at an engine.
         *
         * @param allocation the engine and the size of the memory
         * @param name name of the reservation
         * @param leaseMillis lease, in milliseconds
         * @param onReply invoked with the reply
         */
        void reserve(Allocation allocation, String name, long leaseMillis, Consumer<Reply> onReply);

        /**
         * Renews the lease of memory that is reserved.
         *
         * @param allocation the engine and the size of the memory
         * @param name name of the reservation
         * @param leaseMillis lease, in milliseconds
         * @param onReply invoked with the reply
         */
        default void renew(Allocation allocation, String name, long leaseMillis, Consumer<Reply> onReply) {
            reserve(allocation, name, leaseMillis, onReply);
        }

        /**
         * Releases memory at an engine.
         *
         * @param allocation the engine and the size of the memory
         * @param name name of the reservation
         * @param onReply invoked with the reply
         */
        void release(Allocation allocation, String name, Consumer<Reply> onReply);
    }

    /** Schedules actions. */
    interface Scheduler {

        /**
         * Runs an action after a delay.
         *
         * @param millis delay in milliseconds
         * @param action the action to run
         */
        void schedule(long millis, Runnable action);
    }

    /** Memory reserved at one engine. */
    private static final class EngineMemory {

        private final Allocation allocation;

        /** Whether a command remained without a reply, so that the engine may execute it at any later time. */
        private boolean uncertain;

        /** Whether the engine refused the last reservation or renewal. */
        private boolean refused;

        EngineMemory(Allocation allocation) {
            this.allocation = allocation;
        }

        void update(Reply reply) {
            uncertain |= reply == Reply.UNANSWERED;
            refused = reply == Reply.REFUSED;
        }
    }

    /**
     * Creates a reservation that is not acquired yet.
     *
     * @param commands sends the memory commands
     * @param scheduler schedules renewals and repeated releases
     * @param name name of the reservation at every engine, never reused
     * @param leaseMillis lease that engines grant, in milliseconds
     * @param allocations the engines and the memory to reserve at each, empty if the prompt fits the responding engine
     */
    MemoryReservation(
            CommandSender commands, Scheduler scheduler, String name, long leaseMillis, List<Allocation> allocations) {
        this.commands = commands;
        this.scheduler = scheduler;
        this.name = name;
        this.leaseMillis = leaseMillis;
        this.engines = allocations.stream().map(EngineMemory::new).toList();
    }

    String name() {
        return name;
    }

    /**
     * Reserves the memory at all engines. If one of them does not confirm, the memory at the others is released.
     *
     * @param onResult invoked with the engine that did not confirm, or empty once all engines have confirmed
     */
    void acquire(Consumer<Optional<TargetName>> onResult) {
        unconfirmed = engines.size();
        if (engines.isEmpty()) {
            onResult.accept(Optional.empty());
        }
        for (EngineMemory engine : engines) {
            commands.reserve(engine.allocation, name, leaseMillis, reply -> onReserved(engine, reply, onResult));
        }
    }

    private void onReserved(EngineMemory engine, Reply reply, Consumer<Optional<TargetName>> onResult) {
        engine.update(reply);
        if (released) {
            releaseAfterLateReply(engine);
            return;
        }
        if (reply != Reply.DONE) {
            release();
            onResult.accept(Optional.of(engine.allocation.engine()));
            return;
        }
        unconfirmed--;
        if (unconfirmed == 0) {
            scheduler.schedule(renewalIntervalMillis(), this::renew);
            onResult.accept(Optional.empty());
        }
    }

    private long renewalIntervalMillis() {
        return (long) (leaseMillis * RENEWAL_FRACTION);
    }

    /** Renews the lease at every engine and schedules the next renewal. */
    private void renew() {
        if (released) {
            return;
        }
        for (EngineMemory engine : engines) {
            commands.renew(engine.allocation, name, leaseMillis, reply -> onRenewed(engine, reply));
        }
        scheduler.schedule(renewalIntervalMillis(), this::renew);
    }

    private void onRenewed(EngineMemory engine, Reply reply) {
        engine.update(reply);
        if (released) {
            releaseAfterLateReply(engine);
        }
    }

    /** Releases the memory at every engine that has not refused it. */
    void release() {
        if (released) {
            return;
        }
        released = true;
        engines.stream().filter(engine -> !engine.refused).forEach(engine -> release(engine, MAX_RELEASE_RETRIES));
    }

    /**
     * Releases memory again after a reply that arrived later than the release: the engine may have executed the
     * reservation after the release as well.
     *
     * @param engine the memory at the engine that replied
     */
    private void releaseAfterLateReply(EngineMemory engine) {
        if (!engine.refused) {
            release(engine, MAX_RELEASE_RETRIES);
        }
    }

    /**
     * Releases the memory at one engine.
     *
     * @param engine the memory at the engine
     * @param retries number of times that the release is repeated if any command to the engine remained without a reply
     */
    private void release(EngineMemory engine, int retries) {
        commands.release(engine.allocation, name, reply -> {
            engine.uncertain |= reply == Reply.UNANSWERED;
            if (engine.uncertain && retries > 0) {
                scheduler.schedule(RELEASE_RETRY_INTERVAL_MS, () -> release(engine, retries - 1));
            }
        });
    }
}
