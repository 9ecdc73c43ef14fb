package org.bamboohatch.agent;

import javax.inject.Singleton;

import dagger.BindsInstance;
import dagger.Component;
import org.bamboohatch.protocol.transport.Network;

/** The parts of an agent. */
@Singleton
@Component(modules = AgentModule.class)
interface AgentComponent {

    /**
     * Returns the network threads.
     *
     * @return the network
     */
    Network network();

    /**
     * Returns the server.
     *
     * @return the server
     */
    AgentServer server();

    /**
     * Returns the announcer.
     *
     * @return the announcer
     */
    Announcer announcer();

    /** Makes the parts of a process. */
    @Component.Factory
    interface Factory {

        /**
         * Makes the parts.
         *
         * @param settings the settings
         * @return the parts
         */
        AgentComponent create(@BindsInstance AgentSettings settings);
    }
}
