package org.bamboohatch.kernel.log;

import java.util.EnumMap;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Structured log of decisions: one line for each, with the inputs that decided. Each category of line has its own bound,
 * and a line tells how many of its category were left out before it.
 */
public final class DecisionLog {

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Logger of the decisions. */
    private final Logger logger;

    /** Fixed prefix of the part. */
    private final String part;

    /** What is left of each weight's bound. */
    private final Map<Category, Allowance> allowances = new EnumMap<>(Category.class);

    /** How much a line matters; the higher a category, the more of its lines are kept. */
    public enum Category {
        /** A request that took the usual course. */
        ROUTINE(40),
        /** A request that was refused, repeated or failed. */
        FAILURE(150),
        /** A change of what the process believes. */
        STATE_CHANGE(1_000);

        /** Lines a second that are kept. */
        private final double linesPerSecond;

        /**
         * Creates a category.
         *
         * @param linesPerSecond lines a second that are kept
         */
        Category(double linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }
    }

    /** What is left of a bound. */
    private static final class Allowance {

        /** Lines that may be written now. */
        private double lines;

        /** Time of the last refill, in nanoseconds. */
        private long filledAt = System.nanoTime();

        /** Lines that were left out since the last one written. */
        private long omitted;
    }

    /** A line under construction. */
    public static final class Line {

        /** The log. */
        private final DecisionLog log;

        /** The message, or null if the line is left out. */
        private final StringMapMessage message;

        /** Weight of the line. */
        private final Category category;

        /**
         * Creates a line.
         *
         * @param log the log
         * @param category category of the line
         * @param message the message, or null if the line is left out
         */
        private Line(DecisionLog log, Category category, StringMapMessage message) {
            this.log = log;
            this.category = category;
            this.message = message;
        }

        /**
         * Adds an input or outcome.
         *
         * @param name its name
         * @param value its value
         * @return the line
         */
        public Line with(String name, Object value) {
            if (message != null) {
                message.put(name, String.valueOf(value));
            }
            return this;
        }

        /** Writes the line. */
        public void write() {
            if (message == null) {
                return;
            }
            if (category == Category.FAILURE) {
                log.logger.warn(message);
            } else {
                log.logger.info(message);
            }
        }
    }

    /**
     * Creates a log.
     *
     * @param part fixed prefix of the part
     */
    public DecisionLog(String part) {
        this.part = part;
        this.logger = LogManager.getLogger("decision." + part);
        for (Category category : Category.values()) {
            Allowance allowance = new Allowance();
            allowance.lines = category.linesPerSecond;
            allowances.put(category, allowance);
        }
    }

    /**
     * Begins a line.
     *
     * @param category how much it matters
     * @param event what was decided
     * @return the line
     */
    public synchronized Line line(Category category, String event) {
        Allowance allowance = allowances.get(category);
        long now = System.nanoTime();
        double filled = allowance.lines + (now - allowance.filledAt) / NANOS_PER_SECOND * category.linesPerSecond;
        allowance.lines = Math.min(category.linesPerSecond, filled);
        allowance.filledAt = now;
        if (allowance.lines < 1) {
            allowance.omitted++;
            return new Line(this, category, null);
        }
        allowance.lines--;
        StringMapMessage message = new StringMapMessage();
        message.put("part", part);
        message.put("event", event);
        if (allowance.omitted > 0) {
            message.put("omittedBefore", String.valueOf(allowance.omitted));
            allowance.omitted = 0;
        }
        return new Line(this, category, message);
    }
}
