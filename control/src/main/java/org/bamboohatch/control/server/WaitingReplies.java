package org.bamboohatch.control.server;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Replies that wait for a change or for their time to run out; used on the replica's thread. */
final class WaitingReplies {

    /** The waiting replies. */
    private final List<Waiting> waiting = new ArrayList<>();

    /** Creates an empty list. */
    WaitingReplies() {}

    /**
     * A waiting reply.
     *
     * @param until time at which it is sent in any case
     * @param due whether it is worth sending before
     * @param send sends it
     */
    private record Waiting(long until, BooleanSupplier due, Runnable send) {}

    /**
     * Adds a reply.
     *
     * @param until time at which it is sent in any case
     * @param due whether it is worth sending before
     * @param send sends it
     */
    void add(long until, BooleanSupplier due, Runnable send) {
        if (due.getAsBoolean()) {
            send.run();
        } else {
            waiting.add(new Waiting(until, due, send));
        }
    }

    /**
     * Sends what is due.
     *
     * @param now the present time
     * @param changed whether anything may have become worth sending
     */
    void release(long now, boolean changed) {
        List<Waiting> due = new ArrayList<>();
        waiting.removeIf(reply -> {
            boolean ready = now >= reply.until() || changed && reply.due().getAsBoolean();
            if (ready) {
                due.add(reply);
            }
            return ready;
        });
        due.forEach(reply -> reply.send().run());
    }
}
