package org.bamboohatch.kernel.event;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.AtomicReferenceArray;

/**
 * Ring buffer of the latest events of one process. Events are stamped by a hybrid logical clock, whose timestamps are
 * also sent with messages.
 */
public final class Timeline {

    /** Default number of events that are kept. */
    public static final int DEFAULT_CAPACITY = 4096;

    private final String process;

    private final AtomicReferenceArray<Event> buffer;

    private final AtomicLong recorded = new AtomicLong();

    /** Latest timestamp that was issued or observed. */
    private final AtomicReference<HybridTime> clock = new AtomicReference<>(HybridTime.ZERO);

    /**
     * Creates an empty timeline.
     *
     * @param process name of the process, which is recorded with each event
     * @param capacity maximum number of events that are kept
     */
    public Timeline(String process, int capacity) {
        this.process = process;
        this.buffer = new AtomicReferenceArray<>(capacity);
    }

    /**
     * Issues a timestamp that is after every timestamp issued or observed before.
     *
     * @param wallMillis current wall time, in milliseconds since the epoch
     * @return timestamp in packed form, to be sent with a message
     */
    public long stamp(long wallMillis) {
        return clock.updateAndGet(current -> current.next(wallMillis)).pack();
    }

    /**
     * Advances the clock to the timestamp of a received message, so that later events sort after their cause.
     *
     * @param packed timestamp in packed form
     */
    public void observe(long packed) {
        HybridTime received = HybridTime.unpack(packed);
        clock.updateAndGet(current -> current.compareTo(received) < 0 ? received : current);
    }

    /**
     * Records an event, which overwrites the oldest one if the buffer is full.
     *
     * @param subject request, service or target that the event is about
     * @param kind short name of what happened
     * @param detail further text, may be empty
     * @param wallMillis current wall time, in milliseconds since the epoch
     */
    public void record(String subject, String kind, String detail, long wallMillis) {
        Event event = new Event(stamp(wallMillis), process, subject, kind, detail);
        long position = recorded.getAndIncrement();
        buffer.set((int) (position % buffer.length()), event);
    }

    /**
     * Returns the recorded events that have not been overwritten.
     *
     * @param subject subject whose events are returned, or an empty string for all subjects
     * @return the events in causal order
     */
    public List<Event> events(String subject) {
        List<Event> matching = new ArrayList<>();
        for (int index = 0; index < buffer.length(); index++) {
            Event event = buffer.get(index);
            if (event != null && (subject.isEmpty() || event.subject().equals(subject))) {
                matching.add(event);
            }
        }
        matching.sort(Comparator.comparingLong(Event::time));
        return matching;
    }

    /** Returns the number of events that have been overwritten. */
    public long lost() {
        return Math.max(0, recorded.get() - buffer.length());
    }
}
