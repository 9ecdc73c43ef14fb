package org.bamboohatch.control.server;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * Holds replies until their condition is met or their deadline has passed; used on the replica's thread only.
 * Conditions are evaluated when a reply is added and by {@link #sendDue()}, which evaluates those of all held
 * replies; {@link #sendExpired(long)} evaluates none.
 */
final class PendingReplies {

    /** The held replies, ordered by deadline. */
    private final PriorityQueue<PendingReply> replies =
            new PriorityQueue<>(Comparator.comparingLong(PendingReply::deadline));

    PendingReplies() {}

    /**
     * A held reply.
     *
     * @param deadline time at which the reply is sent even if its condition is not met, in milliseconds
     * @param condition whether the reply can be sent before the deadline
     * @param send sends the reply
     */
    private record PendingReply(long deadline, BooleanSupplier condition, Runnable send) {}

    /**
     * Adds a reply, or sends it immediately if its condition is already met.
     *
     * @param deadline time at which the reply is sent even if its condition is not met, in milliseconds
     * @param condition whether the reply can be sent before the deadline
     * @param send sends the reply
     */
    void add(long deadline, BooleanSupplier condition, Runnable send) {
        if (condition.getAsBoolean()) {
            send.run();
        } else {
            replies.add(new PendingReply(deadline, condition, send));
        }
    }

    /**
     * Sends the replies whose deadline has passed.
     *
     * @param now current monotonic time, in milliseconds
     */
    void sendExpired(long now) {
        while (!replies.isEmpty() && replies.peek().deadline() <= now) {
            replies.poll().send().run();
        }
    }

    /** Sends the replies whose condition is met. */
    void sendDue() {
        List<PendingReply> due = new ArrayList<>();
        replies.removeIf(reply -> {
            boolean ready = reply.condition().getAsBoolean();
            if (ready) {
                due.add(reply);
            }
            return ready;
        });
        due.forEach(reply -> reply.send().run());
    }
}
