package org.bamboohatch.routing.retry;

import java.util.function.LongPredicate;

/**
 * Times at which a cold target may get a request from one process or another. The cold time is divided into slots, counted
 * from its end, which all processes know almost equally from what the target states. Each slot belongs to one process, which
 * may send one request in it. Made for a zone of targets that comes back cold while its service is busy: dozens of processes
 * that know only of their own requests keep to a few requests per second together.
 *
 * <p>{@link RateShare} cannot bound each second, as the processes begin their intervals independently of each other and
 * several may fall together.
 *
 * @param perSecond requests per second that the target takes from all processes together
 * @param endsAt end of the cold time, in milliseconds
 * @param notBefore earliest time of the next request, in milliseconds
 * @param usedSlot number of the last slot in which this process has sent a request
 */
public record ColdSchedule(double perSecond, long endsAt, long notBefore, long usedSlot) {

    /** Time from the beginning of a slot in which the request may be sent, in milliseconds. */
    static final long USABLE_MS = 400;

    /** Difference in the time of arrival at the target that is allowed for, in milliseconds. */
    static final long SKEW_MS = 100;

    /** Lowest rate, in requests per second; bounds the length of a slot. */
    private static final double MIN_RATE = 0.001;

    /** Highest rate, in requests per second; more than a target that is warm takes. */
    private static final double MAX_RATE = 100_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Creates a schedule of which no slot has been used.
     *
     * @param perSecond requests per second that the target takes from all processes together
     * @param endsAt end of the cold time, in milliseconds
     * @return the schedule
     */
    public static ColdSchedule of(double perSecond, long endsAt) {
        return new ColdSchedule(perSecond, endsAt, Long.MIN_VALUE, Long.MIN_VALUE);
    }

    /**
     * Returns the length of a slot. Requests in one more slot than the rate allows in a second lie at least a second apart,
     * although each may be late in its slot and on its way. A fraction of a request in a second is left unused.
     *
     * @return the length in milliseconds
     */
    double slotMillis() {
        double wholeRate = perSecond >= 1 ? Math.floor(Math.min(MAX_RATE, perSecond)) : Math.max(MIN_RATE, perSecond);
        return (double) (MILLIS_PER_SECOND + USABLE_MS + SKEW_MS) / wholeRate;
    }

    /**
     * Returns the slot in which this process may send its next request.
     *
     * @param owned indicates whether a slot with a given number belongs to this process
     * @param now current time, in milliseconds
     * @return number of the slot, which may have begun; the first one after the cold time if no earlier one is left
     */
    public long nextSlot(LongPredicate owned, long now) {
        long afterEnd = (long) Math.ceil(ColdPeriod.TOLERANCE_MS / slotMillis());
        long from = Math.max(now - USABLE_MS, notBefore);
        long slot = (long) Math.ceil((from - endsAt) / slotMillis());
        if (usedSlot != Long.MIN_VALUE) {
            slot = Math.max(slot, usedSlot + 1);
        }
        while (slot < afterEnd && !owned.test(slot)) {
            slot++;
        }
        return slot;
    }

    /**
     * Returns the beginning of a slot.
     *
     * @param slot number of the slot
     * @return the time in milliseconds
     */
    public long beginOf(long slot) {
        return (long) Math.ceil(endsAt + slot * slotMillis());
    }

    /**
     * Indicates whether a slot can't be used any more.
     *
     * @param slot number of the slot
     * @param now current time, in milliseconds
     * @return whether its usable time is over
     */
    public boolean isPast(long slot, long now) {
        return now > beginOf(slot) + USABLE_MS;
    }

    /**
     * Returns the schedule after a request was sent.
     *
     * @param slot number of the slot that was used
     * @return the updated schedule
     */
    public ColdSchedule afterSend(long slot) {
        return new ColdSchedule(perSecond, endsAt, notBefore, slot);
    }

    /**
     * Returns the schedule for another end of the cold time. A slightly different end is a better estimate of the same one,
     * so that used slots remain used. The slots of another cold time are not related to the previous ones; none is used
     * until the requests that were sent in those are a second ago.
     *
     * @param nextEndsAt end of the cold time, in milliseconds
     * @param now current time, in milliseconds
     * @return the updated schedule
     */
    public ColdSchedule withEnd(long nextEndsAt, long now) {
        if (Math.abs(nextEndsAt - endsAt) <= ColdPeriod.TOLERANCE_MS) {
            return new ColdSchedule(perSecond, nextEndsAt, notBefore, usedSlot);
        }
        return new ColdSchedule(perSecond, nextEndsAt, now + MILLIS_PER_SECOND + SKEW_MS, Long.MIN_VALUE);
    }
}
