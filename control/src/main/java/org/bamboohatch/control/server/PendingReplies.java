package org.bamboohatch.control.server;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * Replies that wait for a change or for their time to run out; used on the replica's thread. Only a change looks at
 * all of them.
 */
final class PendingReplies {

    /** The waiting replies, the one whose time runs out first in front. */
    private final PriorityQueue<Waiting> waiting = new PriorityQueue<>(Comparator.comparingLong(Waiting::until));

    /** Creates an empty list. */
    PendingReplies() {}

    /**
     * A waiting reply.
     *
     * @param until time at which it is sent in any case
     * @param due whether it is worth sending before
     * @param send sends it
     */
    private record Waiting(long until, BooleanSupplier due, Runnable send) {}

    /**
     * Adds a reply, or sends it at once if it is worth sending.
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
     * Sends the replies whose time has run out.
     *
     * @param now the present time
     */
    void releaseExpired(long now) {
        while (!waiting.isEmpty() && waiting.peek().until() <= now) {
            waiting.poll().send().run();
        }
    }

    /** Sends the replies that a change has made worth sending. */
    void releaseDue() {
        List<Waiting> due = new ArrayList<>();
        waiting.removeIf(reply -> {
            boolean ready = reply.due().getAsBoolean();
            if (ready) {
                due.add(reply);
            }
            return ready;
        });
        due.forEach(reply -> reply.send().run());
    }
}
