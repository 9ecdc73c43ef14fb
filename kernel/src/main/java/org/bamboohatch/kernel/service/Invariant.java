package org.bamboohatch.kernel.service;

import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Checks of what must always hold; a broken one stops the process. */
public final class Invariant {

    /** Exit status of a process whose invariant broke. */
    public static final int EXIT_STATUS = 70;

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(Invariant.class);

    /** Not instantiated. */
    private Invariant() {}

    /**
     * Throws when a condition does not hold.
     *
     * @param holds the condition
     * @param sentence describes what is broken
     * @throws Broken if the condition does not hold
     */
    public static void check(boolean holds, Supplier<String> sentence) {
        if (!holds) {
            throw new Broken(sentence.get());
        }
    }

    /**
     * Runs a task and stops the process at once if an invariant breaks in it.
     *
     * @param task the task
     * @return the guarded task
     */
    public static Runnable guard(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (Broken broken) {
                LOGGER.fatal("invariant: broken, the process stops: {}", broken.getMessage(), broken);
                Runtime.getRuntime().halt(EXIT_STATUS);
            } catch (RuntimeException unexpected) {
                LOGGER.error("invariant: unexpected error in a task", unexpected);
            }
        };
    }

    /** Thrown when an invariant is broken. */
    public static final class Broken extends AssertionError {

        /**
         * Creates the error.
         *
         * @param sentence describes what is broken
         */
        public Broken(String sentence) {
            super(sentence);
        }
    }
}
