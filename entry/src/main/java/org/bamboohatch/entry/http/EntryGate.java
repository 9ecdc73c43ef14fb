package org.bamboohatch.entry.http;

import javax.inject.Inject;
import javax.inject.Singleton;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.entry.configuration.ConfigurationStore;
import org.bamboohatch.entry.dispatch.Dispatcher;
import org.bamboohatch.kernel.service.Service;

/** Lets requests in until the entry is told to stop, then waits for the admitted ones to end. */
@Singleton
public final class EntryGate implements Service {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(EntryGate.class);

    /** Pause between two looks at the open requests, in milliseconds. */
    private static final long PAUSE_MS = 10;

    /** Time for which the balancer may still send requests after the entry stopped being ready, in milliseconds. */
    private static final long NOTICE_MS = 200;

    /** The configuration. */
    private final ConfigurationStore configuration;

    /** Holds the open requests. */
    private final Dispatcher dispatcher;

    /** Whether requests are let in. */
    private volatile boolean letsIn;

    /**
     * Creates a gate.
     *
     * @param configuration the configuration
     * @param dispatcher holds the open requests
     */
    @Inject
    public EntryGate(ConfigurationStore configuration, Dispatcher dispatcher) {
        this.configuration = configuration;
        this.dispatcher = dispatcher;
    }

    @Override
    public void start() {
        letsIn = true;
    }

    @Override
    public void stop() {
        letsIn = false;
        pause(NOTICE_MS);
        while (dispatcher.open() > 0) {
            pause(PAUSE_MS);
        }
        LOGGER.info("entry: every admitted request has ended");
    }

    /**
     * Tells whether requests are let in.
     *
     * @return whether the entry is not stopping
     */
    public boolean letsIn() {
        return letsIn;
    }

    /**
     * Tells whether the entry is ready.
     *
     * @return whether it lets requests in and its configuration is fresh
     */
    public boolean isReady() {
        return letsIn && configuration.snapshot().isFresh(ConfigurationStore.now());
    }

    /**
     * Waits.
     *
     * @param millis the time in milliseconds
     */
    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
