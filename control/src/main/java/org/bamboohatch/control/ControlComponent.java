package org.bamboohatch.control;

import javax.inject.Singleton;

import dagger.BindsInstance;
import dagger.Component;
import org.bamboohatch.control.server.ControlServer;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.driver.ReplicaService;

/** The parts of a control process. */
@Singleton
@Component(modules = ControlModule.class)
interface ControlComponent {

    /**
     * Returns the network threads.
     *
     * @return the network
     */
    Network network();

    /**
     * Returns the replica.
     *
     * @return the replica
     */
    ReplicaService replica();

    /**
     * Returns the server.
     *
     * @return the server
     */
    ControlServer server();

    /** Makes the parts of a process. */
    @Component.Factory
    interface Factory {

        /**
         * Makes the parts.
         *
         * @param settings the settings
         * @return the parts
         */
        ControlComponent create(@BindsInstance ControlSettings settings);
    }
}
