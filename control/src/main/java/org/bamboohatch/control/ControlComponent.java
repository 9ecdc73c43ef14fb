package org.bamboohatch.control;

import javax.inject.Singleton;

import dagger.BindsInstance;
import dagger.Component;
import org.bamboohatch.control.server.ControlServer;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.driver.ReplicaService;

/** Object graph of a control process. */
@Singleton
@Component(modules = ControlModule.class)
interface ControlComponent {

    /**
     * Returns the network that all connections of the process use.
     *
     * @return the network
     */
    Network network();

    /**
     * Returns the replica of the replicated log.
     *
     * @return the replica
     */
    ReplicaService replica();

    /**
     * Returns the handler of all requests to the process.
     *
     * @return the server
     */
    ControlServer server();

    /** Creates the object graph of a process. */
    @Component.Factory
    interface Factory {

        /**
         * Creates the object graph.
         *
         * @param settings settings of the control process
         * @return the object graph
         */
        ControlComponent create(@BindsInstance ControlSettings settings);
    }
}
