package org.bamboohatch.control.redirect;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;

import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.consensus.Role;
import org.bamboohatch.replication.driver.ReplicaService;

/**
 * Introduces the leader to the control processes that the settings name and that hold no replica. All processes that the
 * settings of a starting process name may be such ones, and then only the leader can tell them where the group is.
 */
public final class LeaderAnnouncer implements Service {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final Network network;

    private final ReplicaService replica;

    private final Supplier<List<String>> seeds;

    private volatile boolean running;

    /** Whether the replica led at the latest check; written on the replica's thread. */
    private volatile boolean leads;

    /**
     * Creates an announcer that announces nothing before its start.
     *
     * @param network network threads of the control process
     * @param replica replica of the control process
     * @param seeds returns the addresses of control processes in the current settings, which may have changed
     */
    public LeaderAnnouncer(Network network, ReplicaService replica, Supplier<List<String>> seeds) {
        this.network = network;
        this.replica = replica;
        this.seeds = seeds;
    }

    @Override
    public void start() {
        running = true;
        network.every(INTERVAL, this::announce);
    }

    @Override
    public void stop() {
        running = false;
    }

    private void announce() {
        if (!running) {
            return;
        }
        List<String> processes = leads ? seeds.get() : List.of();
        replica.execute(() -> {
            leads = replica.core().role() == Role.LEADER;
            replica.introduceLeader(processes);
        });
    }
}
