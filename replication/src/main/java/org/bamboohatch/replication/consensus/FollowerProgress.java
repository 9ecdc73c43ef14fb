package org.bamboohatch.replication.consensus;

/** A leader's view of the replication progress of one follower. */
final class FollowerProgress {

    /** Limit of unanswered appends to a follower whose log is known to match. */
    static final int MAX_IN_FLIGHT_APPENDS = 8;

    private static final long SNAPSHOT_RETRY_TIMEOUT_MS = 5_000;

    /**
     * Time after a snapshot was sent from which on an acknowledged message shows that the snapshot is lost, in milliseconds.
     * Messages to a follower keep their order unless its connection is replaced.
     */
    static final long SNAPSHOT_LOSS_MS = 500;

    private long nextIndex;

    /** Index of the last entry that is known to be durable at the follower. */
    private long matchIndex;

    private int inFlightAppends;

    /**
     * Whether the follower's log is known to match up to {@link #matchIndex}. Only then are appends pipelined;
     * otherwise each one waits for its reply.
     */
    private boolean logMatches;

    /** Latest send time of an acknowledged message, on the leader's clock. */
    private long lastAcknowledgedSend;

    /** Index of a snapshot that was sent, or zero. */
    private long pendingSnapshotIndex;

    private long snapshotSendTime;

    /** Whether the follower has announced that it is about to stop. */
    private boolean leaving;

    /** Send time of the last message. Initially a heartbeat is due; half the minimum value avoids an overflow. */
    private long lastSendTime = Long.MIN_VALUE / 2;

    /**
     * Creates the progress of a follower that has not replied yet.
     *
     * @param nextIndex the index of the next entry to send
     * @param now the current time in milliseconds, from which the time without an acknowledgement counts
     */
    FollowerProgress(long nextIndex, long now) {
        this.nextIndex = nextIndex;
        this.lastAcknowledgedSend = now;
    }

    long nextIndex() {
        return nextIndex;
    }

    long matchIndex() {
        return matchIndex;
    }

    long lastAcknowledgedSend() {
        return lastAcknowledgedSend;
    }

    boolean isLeaving() {
        return leaving;
    }

    void setLeaving(boolean leaving) {
        this.leaving = leaving;
    }

    boolean canSendEntries() {
        return logMatches ? inFlightAppends < MAX_IN_FLIGHT_APPENDS : inFlightAppends == 0;
    }

    boolean isHeartbeatDue(long now, long interval) {
        return now - lastSendTime >= interval;
    }

    /**
     * Invoked when an append was sent.
     *
     * @param lastEntryIndex the index of the last entry that the append carries
     * @param now the current time in milliseconds
     */
    void onSent(long lastEntryIndex, long now) {
        if (logMatches) {
            nextIndex = lastEntryIndex + 1;
        }
        inFlightAppends++;
        lastSendTime = now;
    }

    void onSnapshotSent(long index, long now) {
        pendingSnapshotIndex = index;
        snapshotSendTime = now;
        lastSendTime = now;
    }

    /**
     * Indicates whether a sent snapshot is still unacknowledged and not due to be sent again.
     *
     * @param now the current time in milliseconds
     * @return {@code true} if the follower may still acknowledge the snapshot
     */
    boolean isAwaitingSnapshot(long now) {
        boolean lost = lastAcknowledgedSend - snapshotSendTime >= SNAPSHOT_LOSS_MS;
        return pendingSnapshotIndex > matchIndex && !lost && now - snapshotSendTime < SNAPSHOT_RETRY_TIMEOUT_MS;
    }

    /**
     * Invoked when the follower acknowledged an append or a snapshot.
     *
     * @param match the last index that is durable at the follower
     * @param sentAt the time at which the acknowledged message was sent
     */
    void onSuccess(long match, long sentAt) {
        matchIndex = Math.max(matchIndex, match);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        logMatches = true;
        inFlightAppends = matchIndex + 1 == nextIndex ? 0 : Math.max(0, inFlightAppends - 1);
        lastAcknowledgedSend = Math.max(lastAcknowledgedSend, sentAt);
    }

    /**
     * Invoked when the follower's log does not match an append.
     *
     * @param backtrackIndex the index at which the logs may match
     * @param sentAt the time at which the rejected message was sent
     */
    void onMismatch(long backtrackIndex, long sentAt) {
        nextIndex = Math.max(matchIndex, backtrackIndex) + 1;
        logMatches = false;
        inFlightAppends = 0;
        lastAcknowledgedSend = Math.max(lastAcknowledgedSend, sentAt);
    }

    /** Resumes sending after the last acknowledged entry, because later messages may have been lost. */
    void resetToMatch() {
        nextIndex = Math.min(nextIndex, matchIndex + 1);
        if (matchIndex == 0) {
            nextIndex = Math.max(1, nextIndex);
        }
        inFlightAppends = 0;
    }
}
