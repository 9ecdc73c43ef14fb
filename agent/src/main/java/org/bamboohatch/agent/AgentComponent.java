package org.bamboohatch.agent;

import javax.inject.Singleton;

import dagger.BindsInstance;
import dagger.Component;
import org.bamboohatch.protocol.transport.Network;

/** Dagger component that creates the objects of an agent process. */
@Singleton
@Component(modules = AgentModule.class)
interface AgentComponent {

    Network network();

    AgentRequestHandler requestHandler();

    Announcer announcer();

    /** Creates the component from the settings of the process. */
    @Component.Factory
    interface Factory {

        AgentComponent create(@BindsInstance AgentSettings settings);
    }
}
