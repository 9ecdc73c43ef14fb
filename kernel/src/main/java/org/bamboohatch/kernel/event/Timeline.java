package org.bamboohatch.kernel.event;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.AtomicReferenceArray;

/** Bounded record of the latest events of one process, stamped by a hybrid clock that messages carry. */
public final class Timeline {

    /** Events kept by default. */
    public static final int DEFAULT_CAPACITY = 4096;

    /** Name of the process. */
    private final String process;

    /** The latest events, overwritten in turn. */
    private final AtomicReferenceArray<Event> ring;

    /** Events recorded since the start. */
    private final AtomicLong recorded = new AtomicLong();

    /** The latest time given out or heard of. */
    private final AtomicReference<HybridTime> clock = new AtomicReference<>(HybridTime.ZERO);

    /**
     * Creates an empty time line.
     *
     * @param process name of the process
     * @param capacity events kept
     */
    public Timeline(String process, int capacity) {
        this.process = process;
        this.ring = new AtomicReferenceArray<>(capacity);
    }

    /**
     * Returns a time after every earlier one.
     *
     * @param wallMillis the wall time in milliseconds
     * @return the packed time, to be carried on a message
     */
    public long stamp(long wallMillis) {
        return clock.updateAndGet(current -> current.next(wallMillis)).pack();
    }

    /**
     * Takes note of the time carried on a message.
     *
     * @param packed the packed time
     */
    public void observe(long packed) {
        HybridTime heard = HybridTime.unpack(packed);
        clock.updateAndGet(current -> current.compareTo(heard) < 0 ? heard : current);
    }

    /**
     * Records an event.
     *
     * @param subject the request, service or target that the event is about
     * @param kind short name of what happened
     * @param detail further text
     * @param wallMillis the wall time in milliseconds
     */
    public void record(String subject, String kind, String detail, long wallMillis) {
        Event event = new Event(stamp(wallMillis), process, subject, kind, detail);
        long position = recorded.getAndIncrement();
        ring.set((int) (position % ring.length()), event);
    }

    /**
     * Lists the kept events.
     *
     * @param subject the subject to list, or an empty text for every subject
     * @return the events in causal order
     */
    public List<Event> events(String subject) {
        List<Event> found = new ArrayList<>();
        for (int index = 0; index < ring.length(); index++) {
            Event event = ring.get(index);
            if (event != null && (subject.isEmpty() || event.subject().equals(subject))) {
                found.add(event);
            }
        }
        found.sort(Comparator.comparingLong(Event::time));
        return found;
    }

    /**
     * Counts the events that were overwritten.
     *
     * @return the number of lost events
     */
    public long lost() {
        return Math.max(0, recorded.get() - ring.length());
    }
}
