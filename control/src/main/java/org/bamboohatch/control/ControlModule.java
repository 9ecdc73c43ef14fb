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

/** Provides the network, the state machine and the replica of a control process. */
@Module
final class ControlModule {

    static final int NETWORK_THREADS = 2;

    private ControlModule() {}

    @Provides
    @Singleton
    static Network network(ControlSettings settings) {
        return new Network(NETWORK_THREADS, new Timeline(settings.host().value(), Timeline.DEFAULT_CAPACITY));
    }

    /** Provides the replicated state in its initial state; the replica restores it from its snapshot and log. */
    @Provides
    @Singleton
    static ControlStateMachine stateMachine() {
        return new ControlStateMachine();
    }

    @Provides
    @Singleton
    static ReplicaService replica(ControlSettings settings, ControlStateMachine stateMachine, Network network) {
        HostName replaces = settings.replaces().isEmpty() ? settings.host() : new HostName(settings.replaces());
        ReplicaSettings replica = new ReplicaSettings(
                settings.host(),
                settings.zone(),
                settings.advertisedAddress(),
                Path.of(settings.dataFolder()),
                settings.peers(),
                replaces,
                settings.snapshotEntries(),
                settings.mayFound(),
                settings.voters(),
                ConsensusTiming.DEFAULT);
        return new ReplicaService(replica, stateMachine, network);
    }
}
