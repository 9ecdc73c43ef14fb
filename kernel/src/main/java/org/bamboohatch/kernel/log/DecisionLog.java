package org.bamboohatch.kernel.log;

import java.util.EnumMap;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Structured log of decisions: one line per decision, with the inputs it was based on. Each category of lines has its
 * own rate limit. The field {@code omittedBefore} of a line counts the lines of its category that were dropped since
 * the previous one.
 */
public final class DecisionLog {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Logger logger;

    private final String part;

    private final Map<Category, RateLimit> rateLimits = new EnumMap<>(Category.class);

    /** Category of a line, which determines its rate limit. The more significant a category, the higher its limit. */
    public enum Category {
        /** A request that was handled without incident. */
        ROUTINE(40),
        /** A request that was rejected, retried or failed, or may have failed. Lines of this category have level WARN. */
        FAILURE(150),
        /** A change of the configuration or of the view of the cluster. */
        STATE_CHANGE(1_000);

        private final double linesPerSecond;

        Category(double linesPerSecond) {
            this.linesPerSecond = linesPerSecond;
        }
    }

    /** Token bucket that holds at most the lines of one second. */
    private static final class RateLimit {

        private double availableLines;

        private long refilledAtNanos = System.nanoTime();

        /** Number of lines dropped since the last one written. */
        private long droppedLines;
    }

    /** Builder of a line. */
    public static final class Line {

        private final DecisionLog log;

        /** Content of the line, or null if the line is dropped. */
        private final StringMapMessage message;

        private final Category category;

        private Line(DecisionLog log, Category category, StringMapMessage message) {
            this.log = log;
            this.category = category;
            this.message = message;
        }

        /**
         * Adds an input or the outcome of the decision.
         *
         * @param name field name
         * @param value field value, which is converted to a string
         * @return this line
         */
        public Line with(String name, Object value) {
            if (message != null) {
                message.put(name, String.valueOf(value));
            }
            return this;
        }

        /** Writes the line unless it exceeds the rate limit. */
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
     * Creates the decision log of a component.
     *
     * @param part name of the component, written to the field {@code part} and appended to the logger name
     */
    public DecisionLog(String part) {
        this.part = part;
        this.logger = LogManager.getLogger("decision." + part);
        for (Category category : Category.values()) {
            RateLimit rateLimit = new RateLimit();
            rateLimit.availableLines = category.linesPerSecond;
            rateLimits.put(category, rateLimit);
        }
    }

    /**
     * Starts a line and counts it against the rate limit of its category.
     *
     * @param category category of the line
     * @param event name of the decision, written to the field {@code event}
     * @return the line, which writes nothing if the rate limit is exceeded
     */
    public synchronized Line line(Category category, String event) {
        RateLimit rateLimit = rateLimits.get(category);
        long nowNanos = System.nanoTime();
        double refilled = rateLimit.availableLines
                + (nowNanos - rateLimit.refilledAtNanos) / NANOS_PER_SECOND * category.linesPerSecond;
        rateLimit.availableLines = Math.min(category.linesPerSecond, refilled);
        rateLimit.refilledAtNanos = nowNanos;
        if (rateLimit.availableLines < 1) {
            rateLimit.droppedLines++;
            return new Line(this, category, null);
        }
        rateLimit.availableLines--;
        StringMapMessage message = new StringMapMessage();
        message.put("part", part);
        message.put("event", event);
        if (rateLimit.droppedLines > 0) {
            message.put("omittedBefore", String.valueOf(rateLimit.droppedLines));
            rateLimit.droppedLines = 0;
        }
        return new Line(this, category, message);
    }
}
