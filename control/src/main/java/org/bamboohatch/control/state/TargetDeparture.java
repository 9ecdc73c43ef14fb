package org.bamboohatch.control.state;

import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.TargetAnnouncement;

/**
 * A target that has announced that it leaves, or was deregistered. What it announced before must not bring it back.
 *
 * @param target name of the target
 * @param incarnation number of the start that leaves; later ones are other targets
 * @param sequence number of the announcement with which it leaves; {@link #DEREGISTERED} if no later one counts
 */
public record TargetDeparture(TargetName target, long incarnation, long sequence) {

    /** Sequence number of a target that was deregistered, after which nothing of its incarnation counts. */
    public static final long DEREGISTERED = Long.MAX_VALUE;

    /**
     * Creates the departure of a target that announces that it leaves.
     *
     * @param announcement the announcement
     * @return the departure
     */
    public static TargetDeparture of(TargetAnnouncement announcement) {
        return new TargetDeparture(announcement.target(), announcement.incarnation(), announcement.sequence());
    }

    /**
     * Creates the departure of a target that was deregistered.
     *
     * @param target name of the target
     * @param incarnation number of its latest start
     * @return the departure
     */
    public static TargetDeparture deregistered(TargetName target, long incarnation) {
        return new TargetDeparture(target, incarnation, DEREGISTERED);
    }

    /**
     * Indicates whether an announcement of the target was made before it left. Announcements without a sequence number are
     * compared by their incarnation only, unless the target was deregistered.
     *
     * @param announcement an announcement of the target
     * @return whether the announcement no longer counts
     */
    public boolean precludes(TargetAnnouncement announcement) {
        if (announcement.incarnation() != incarnation) {
            return announcement.incarnation() < incarnation;
        }
        boolean numbered = announcement.sequence() > 0;
        return sequence == DEREGISTERED || numbered && announcement.sequence() < sequence;
    }

    /**
     * Indicates whether whoever knows this departure need not know another one of the same target.
     *
     * @param other the other departure
     * @return whether this one is of a later incarnation, or of the same one and as late
     */
    public boolean includes(TargetDeparture other) {
        return incarnation > other.incarnation || incarnation == other.incarnation && sequence >= other.sequence;
    }
}
