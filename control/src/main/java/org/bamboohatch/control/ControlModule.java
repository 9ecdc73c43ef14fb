package org.bamboohatch.control;

import javax.inject.Singleton;

import java.nio.file.Path;

import dagger.Module;
import dagger.Provides;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.consensus.ConsensusTiming;
import org.bamboohatch.replication.driver.ReplicaService;
import org.bamboohatch.replication.driver.ReplicaSettings;

/** Provides what a control process is made of. */
@Module
final class ControlModule {

    /** Network threads of a control process. */
    private static final int NETWORK_THREADS = 2;

    /** Not instantiated. */
    private ControlModule() {}

    /**
     * Provides the network threads.
     *
     * @param settings the settings
     * @return the network
     */
    @Provides
    @Singleton
    static Network network(ControlSettings settings) {
        return new Network(NETWORK_THREADS, new Timeline(settings.host().value(), Timeline.DEFAULT_CAPACITY));
    }

    /**
     * Provides the state machine.
     *
     * @return the machine
     */
    @Provides
    @Singleton
    static ControlStateMachine stateMachine() {
        return new ControlStateMachine();
    }

    /**
     * Provides the replica.
     *
     * @param settings the settings
     * @param machine the state machine
     * @param network the network threads
     * @return the replica
     */
    @Provides
    @Singleton
    static ReplicaService replica(ControlSettings settings, ControlStateMachine machine, Network network) {
        HostName replaces = settings.replaces().isEmpty() ? settings.host() : new HostName(settings.replaces());
        ReplicaSettings replica = new ReplicaSettings(
                settings.host(),
                settings.advertisedAddress(),
                Path.of(settings.dataFolder()),
                settings.peers(),
                replaces,
                settings.snapshotEntries(),
                settings.mayFound(),
                settings.voters(),
                ConsensusTiming.DEFAULT);
        return new ReplicaService(replica, machine, network);
    }
}
