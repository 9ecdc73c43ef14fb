package org.bamboohatch.control.server;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Logs when a replication group has fewer voters than its tolerance needs for longer than a repair takes. */
final class VoterShortage {

    private static final Logger LOGGER = LogManager.getLogger(VoterShortage.class);

    /** Time for the growth of a new group or the replacement of a lost voter, in milliseconds. */
    static final long REPAIR_TIME_MS = 8_000;

    private static final long NONE = Long.MAX_VALUE;

    /** Voters that the tolerance needs, zero if it is not configured. */
    private final int desired;

    private long shortSince = NONE;

    private boolean reported;

    /**
     * Creates a check that has seen no shortage.
     *
     * @param desired voters that the tolerance needs, zero if it is not configured
     */
    VoterShortage(int desired) {
        this.desired = desired;
    }

    /**
     * Notes the current number of voters, and logs when a shortage becomes lasting and when it ends.
     *
     * @param voters number of voters
     * @param now current monotonic time, in milliseconds
     */
    void update(int voters, long now) {
        if (voters >= desired) {
            if (reported) {
                LOGGER.info("control: the group has {} voters again, {} are needed", voters, desired);
            }
            reported = false;
            shortSince = NONE;
        } else if (shortSince == NONE) {
            shortSince = now;
        } else if (!reported && now - shortSince >= REPAIR_TIME_MS) {
            reported = true;
            LOGGER.error(
                    "control: the group has {} voters, but {} are needed to survive the loss of {} disks; run control on more"
                            + " hosts with a disk",
                    voters,
                    desired,
                    desired / 2);
        }
    }

    /**
     * Indicates whether the shortage has lasted longer than a repair takes.
     *
     * @return whether it was logged
     */
    boolean isLasting() {
        return reported;
    }
}
