package org.bamboohatch.kernel.service;

import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Checks of what must always hold; a broken one stops the process. */
public final class Invariant {

    /** Exit status of a process whose invariant broke. */
    public static final int EXIT_STATUS = 70;

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(Invariant.class);

    /** Hears of a broken invariant before it is thrown; a program stops itself here, whichever thread it is. */
    private static volatile Consumer<String> escalation = sentence -> {};

    /** Not instantiated. */
    private Invariant() {}

    /**
     * Escalates and throws when a condition does not hold.
     *
     * @param holds the condition
     * @param sentence describes what is broken
     * @throws Violation if the condition does not hold
     */
    public static void check(boolean holds, Supplier<String> sentence) {
        if (!holds) {
            String broken = sentence.get();
            escalation.accept(broken);
            throw new Violation(broken);
        }
    }

    /**
     * Sets what hears of a broken invariant before it is thrown. Exceptions alone would be swallowed by the
     * libraries' threads.
     *
     * @param listener hears the sentence
     */
    public static void escalateTo(Consumer<String> listener) {
        escalation = listener;
    }

    /**
     * Stops the process at once.
     *
     * @param sentence describes what is broken
     */
    public static void halt(String sentence) {
        LOGGER.fatal("invariant: broken, the process stops: {}", sentence, new Violation(sentence));
        LogManager.shutdown();
        Runtime.getRuntime().halt(EXIT_STATUS);
    }

    /**
     * Guards the main loop of a thread that decides: whatever it throws stops the process, because the process would
     * go on without its decisions.
     *
     * @param task the loop
     * @return the guarded loop
     */
    public static Runnable guard(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (Violation | RuntimeException unexpected) {
                LOGGER.fatal("invariant: a deciding thread failed, the process stops", unexpected);
                halt(unexpected.toString());
            }
        };
    }

    /** Thrown when an invariant is broken. */
    public static final class Violation extends AssertionError {

        /**
         * Creates the error.
         *
         * @param sentence describes what is broken
         */
        public Violation(String sentence) {
            super(sentence);
        }
    }
}
