package org.bamboohatch.agent;

import javax.inject.Singleton;

import dagger.Module;
import dagger.Provides;
import org.bamboohatch.agent.driver.TargetDriver;
import org.bamboohatch.agent.driver.TargetHttpClient;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.plugin.Plugins;
import org.bamboohatch.protocol.client.ControlCalls;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.transport.Network;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Dagger module that provides the shared objects of an agent process. */
@Module
final class AgentModule {

    private static final int NETWORK_THREADS = 1;

    private static final int HTTP_CLIENT_THREADS = 8;

    /** Maximum number of concurrent HTTP connections to the target. */
    private static final int MAX_TARGET_CONNECTIONS = 512;

    /** Number of timeline events that an agent retains. */
    private static final int TIMELINE_CAPACITY = 1024;

    private AgentModule() {}

    @Provides
    @Singleton
    static Timeline timeline(AgentSettings settings) {
        return new Timeline(settings.target().value(), TIMELINE_CAPACITY);
    }

    @Provides
    @Singleton
    static Network network(Timeline timeline) {
        return new Network(NETWORK_THREADS, timeline);
    }

    @Provides
    @Singleton
    static ControlCalls control(AgentSettings settings, Network network) {
        return new ControlClient(network, settings.control());
    }

    @Provides
    @Singleton
    static HttpClient httpClient() {
        HttpClient client = new TargetHttpClient();
        QueuedThreadPool threads = new QueuedThreadPool(HTTP_CLIENT_THREADS, 1);
        threads.setReservedThreads(0);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(MAX_TARGET_CONNECTIONS);
        try {
            client.start();
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
        return client;
    }

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
