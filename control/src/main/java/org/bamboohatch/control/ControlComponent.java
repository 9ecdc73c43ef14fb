package org.bamboohatch.control;

import javax.inject.Singleton;

import dagger.BindsInstance;
import dagger.Component;
import org.bamboohatch.control.server.ControlServer;
import org.bamboohatch.protocol.transport.Network;
import org.bamboohatch.replication.driver.ReplicaService;

/** Dagger component that creates the objects of a control process. */
@Singleton
@Component(modules = ControlModule.class)
interface ControlComponent {

    Network network();

    ReplicaService replica();

    ControlServer server();

    /** Creates the component from the settings of the process. */
    @Component.Factory
    interface Factory {

        ControlComponent create(@BindsInstance ControlSettings settings);
    }
}
