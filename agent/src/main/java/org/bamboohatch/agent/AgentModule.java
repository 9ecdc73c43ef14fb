package org.bamboohatch.agent;

import javax.inject.Singleton;

import dagger.Module;
import dagger.Provides;
import org.bamboohatch.agent.driver.TargetDriver;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.plugin.Plugins;
import org.bamboohatch.protocol.client.ControlCalls;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.transport.Network;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Provides what an agent is made of. */
@Module
final class AgentModule {

    /** Network threads of an agent. */
    private static final int NETWORK_THREADS = 1;

    /** Threads of the HTTP client. */
    private static final int CLIENT_THREADS = 8;

    /** Connections to the target at most. */
    private static final int MAX_CONNECTIONS = 512;

    /** Events kept by an agent. */
    private static final int TIMELINE_CAPACITY = 1024;

    /** Not instantiated. */
    private AgentModule() {}

    /**
     * Provides the time line.
     *
     * @param settings the settings
     * @return the time line
     */
    @Provides
    @Singleton
    static Timeline timeline(AgentSettings settings) {
        return new Timeline(settings.target().value(), TIMELINE_CAPACITY);
    }

    /**
     * Provides the network threads.
     *
     * @param timeline the time line
     * @return the network
     */
    @Provides
    @Singleton
    static Network network(Timeline timeline) {
        return new Network(NETWORK_THREADS, timeline);
    }

    /**
     * Provides the client of the control processes.
     *
     * @param settings the settings
     * @param network the network threads
     * @return the client
     */
    @Provides
    @Singleton
    static ControlCalls control(AgentSettings settings, Network network) {
        return new ControlClient(network, settings.control());
    }

    /**
     * Provides the HTTP client, started.
     *
     * @return the client
     */
    @Provides
    @Singleton
    static HttpClient client() {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS, 1);
        threads.setReservedThreads(0);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        try {
            client.start();
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
        return client;
    }

    /**
     * Provides the target.
     *
     * @param settings the settings
     * @param client the HTTP client
     * @return the target
     */
    @Provides
    @Singleton
    static TargetDriver.Target target(AgentSettings settings, HttpClient client) {
        Plugins<TargetDriver> drivers = Plugins.load(TargetDriver.class);
        return drivers.find(settings.driver())
                .orElseThrow(() -> new IllegalArgumentException(
                        "driver " + settings.driver() + " is not one of " + drivers.names()))
                .connect(client, settings.targetUrl());
    }
}
