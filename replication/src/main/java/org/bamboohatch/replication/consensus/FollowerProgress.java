package org.bamboohatch.replication.consensus;

/** What a leader knows of one follower. */
final class FollowerProgress {

    /** Appends that may be under way to one follower. */
    static final int MAX_IN_FLIGHT = 8;

    /** Time after which an unanswered snapshot is sent again, in milliseconds. */
    private static final long SNAPSHOT_TIMEOUT_MS = 5_000;

    /** Index of the next entry to send. */
    private long nextIndex;

    /** Index of the last entry known to be durable at the follower. */
    private long matchIndex;

    /** Appends under way. */
    private int inFlight;

    /** Whether the follower's log is known to match, so that appends may be sent ahead of replies. */
    private boolean matching;

    /** The leader's time at which the latest acknowledged message was sent. */
    private long acknowledgedSend;

    /** Index of a snapshot under way, or zero. */
    private long pendingSnapshot;

    /** Time at which that snapshot was sent. */
    private long snapshotSentAt;

    /** Time of the last message to the follower. */
    private long lastSend = Long.MIN_VALUE / 2;

    /**
     * Creates the knowledge about a follower that has not replied.
     *
     * @param nextIndex index of the next entry to send
     * @param now the present time, from which the follower's silence is counted
     */
    FollowerProgress(long nextIndex, long now) {
        this.nextIndex = nextIndex;
        this.acknowledgedSend = now;
    }

    /**
     * Returns the index of the next entry to send.
     *
     * @return the index
     */
    long nextIndex() {
        return nextIndex;
    }

    /**
     * Returns the index of the last entry known to be durable at the follower.
     *
     * @return the index
     */
    long matchIndex() {
        return matchIndex;
    }

    /**
     * Returns the leader's time at which the latest acknowledged message was sent.
     *
     * @return the time
     */
    long acknowledgedSend() {
        return acknowledgedSend;
    }

    /**
     * Tells whether entries may be sent now.
     *
     * @return whether there is room under way
     */
    boolean hasRoom() {
        return matching ? inFlight < MAX_IN_FLIGHT : inFlight == 0;
    }

    /**
     * Tells whether a sign of life is due.
     *
     * @param now the present time
     * @param interval the time between two signs of life
     * @return whether it is due
     */
    boolean isHeartbeatDue(long now, long interval) {
        return now - lastSend >= interval;
    }

    /**
     * Takes note of a sent message.
     *
     * @param through index of the last entry that it carries
     * @param now the present time
     */
    void sent(long through, long now) {
        if (matching) {
            nextIndex = through + 1;
        }
        inFlight++;
        lastSend = now;
    }

    /**
     * Takes note of a sent snapshot.
     *
     * @param index index of the snapshot
     * @param now the present time
     */
    void snapshotSent(long index, long now) {
        pendingSnapshot = index;
        snapshotSentAt = now;
        lastSend = now;
    }

    /**
     * Tells whether a snapshot is under way.
     *
     * @param now the present time
     * @return whether its answer may still come
     */
    boolean isAwaitingSnapshot(long now) {
        return pendingSnapshot > matchIndex && now - snapshotSentAt < SNAPSHOT_TIMEOUT_MS;
    }

    /**
     * Takes note of a success.
     *
     * @param match the last durable index
     * @param sentAt the time at which the answered message was sent
     */
    void succeeded(long match, long sentAt) {
        matchIndex = Math.max(matchIndex, match);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        matching = true;
        inFlight = matchIndex + 1 == nextIndex ? 0 : Math.max(0, inFlight - 1);
        acknowledgedSend = Math.max(acknowledgedSend, sentAt);
    }

    /**
     * Takes note of a mismatch.
     *
     * @param back the index to go back to
     * @param sentAt the time at which the answered message was sent
     */
    void mismatched(long back, long sentAt) {
        nextIndex = Math.max(matchIndex, back) + 1;
        matching = false;
        inFlight = 0;
        acknowledgedSend = Math.max(acknowledgedSend, sentAt);
    }

    /** Begins again after messages may have been lost. */
    void restart() {
        nextIndex = Math.min(nextIndex, matchIndex + 1);
        if (matchIndex == 0) {
            nextIndex = Math.max(1, nextIndex);
        }
        inFlight = 0;
    }
}
