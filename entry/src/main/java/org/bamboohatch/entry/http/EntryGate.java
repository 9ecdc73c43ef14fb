package org.bamboohatch.entry.http;

import javax.inject.Inject;
import javax.inject.Singleton;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.entry.configuration.ConfigurationStore;
import org.bamboohatch.entry.dispatch.Dispatcher;
import org.bamboohatch.kernel.service.Service;

/**
 * Controls whether the entry accepts requests. On {@link #stop()} it rejects new requests and waits until all admitted
 * requests have ended, so that a shutdown loses none of them.
 */
@Singleton
public final class EntryGate implements Service {

    private static final Logger LOGGER = LogManager.getLogger(EntryGate.class);

    private static final long DRAIN_POLL_INTERVAL_MS = 10;

    /** Time for which a load balancer may still send requests after the entry stopped being ready. */
    private static final long UNREADY_NOTICE_MS = 200;

    private final ConfigurationStore configuration;

    private final Dispatcher dispatcher;

    private volatile boolean acceptsRequests;

    /**
     * Creates a gate that accepts requests after {@link #start()}.
     *
     * @param configuration the configuration, whose freshness decides on readiness
     * @param dispatcher counts the requests that have not ended
     */
    @Inject
    public EntryGate(ConfigurationStore configuration, Dispatcher dispatcher) {
        this.configuration = configuration;
        this.dispatcher = dispatcher;
    }

    @Override
    public void start() {
        acceptsRequests = true;
    }

    @Override
    public void stop() {
        acceptsRequests = false;
        sleep(UNREADY_NOTICE_MS);
        while (dispatcher.openRequests() > 0) {
            sleep(DRAIN_POLL_INTERVAL_MS);
        }
        LOGGER.info("entry: all admitted requests have ended");
    }

    /**
     * Indicates whether new requests are accepted.
     *
     * @return {@code true} between the start and the stop of the entry
     */
    public boolean acceptsRequests() {
        return acceptsRequests;
    }

    /**
     * Indicates whether a load balancer should send requests to the entry.
     *
     * @return {@code true} if the entry accepts requests and its configuration is fresh
     */
    public boolean isReady() {
        return acceptsRequests && configuration.snapshot().isFresh(ConfigurationStore.now());
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
