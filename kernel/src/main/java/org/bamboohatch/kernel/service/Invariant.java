package org.bamboohatch.kernel.service;

import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Checks invariants at runtime. A violation stops the process. */
public final class Invariant {

    /** Exit status of a process that was stopped by {@link #halt}. */
    public static final int EXIT_STATUS = 70;

    private static final Logger LOGGER = LogManager.getLogger(Invariant.class);

    /** Invoked before a violation is thrown, on whichever thread detects it. A program halts itself there. */
    private static volatile Consumer<String> violationListener = description -> {};

    private Invariant() {}

    /**
     * Invokes the violation listener and throws an exception if a condition does not hold.
     *
     * @param holds whether the invariant holds
     * @param description supplies a description of the violation, called only if the invariant does not hold
     * @throws Violation if the invariant does not hold
     */
    public static void check(boolean holds, Supplier<String> description) {
        if (!holds) {
            String violation = description.get();
            violationListener.accept(violation);
            throw new Violation(violation);
        }
    }

    /**
     * Sets the listener that is invoked before a {@link Violation} is thrown. The exception alone might not stop the
     * process because threads of libraries swallow it.
     *
     * @param listener receives the description of the violation
     */
    public static void onViolation(Consumer<String> listener) {
        violationListener = listener;
    }

    /**
     * Logs a violation and halts the process without running its shutdown hooks.
     *
     * @param description description of the violation
     */
    public static void halt(String description) {
        halt("invariant: violated, the process halts: " + description, new Violation(description));
    }

    private static void halt(String message, Throwable cause) {
        try {
            LOGGER.fatal(message, cause);
            LogManager.shutdown();
        } finally {
            // After an error such as a lack of memory, writing the log may fail as well.
            Runtime.getRuntime().halt(EXIT_STATUS);
        }
    }

    /**
     * Wraps the main loop of a thread that makes the process's decisions. Any runtime exception or error, such as a lack
     * of memory, halts the process because it would otherwise continue without these decisions.
     *
     * @param task main loop of the thread
     * @return the wrapped loop
     */
    public static Runnable guard(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error unexpected) {
                halt("invariant: a main loop failed, the process halts", unexpected);
            }
        };
    }

    /** Thrown if an invariant does not hold. */
    public static final class Violation extends AssertionError {

        /**
         * Creates a violation to be thrown.
         *
         * @param description description of the violation
         */
        public Violation(String description) {
            super(description);
        }
    }
}
