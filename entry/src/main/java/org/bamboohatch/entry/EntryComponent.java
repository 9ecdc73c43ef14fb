package org.bamboohatch.entry;

import javax.inject.Singleton;

import dagger.BindsInstance;
import dagger.Component;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.bamboohatch.entry.configuration.ConfigurationStore;
import org.bamboohatch.entry.dispatch.Dispatcher;
import org.bamboohatch.entry.http.CallerHandler;
import org.bamboohatch.entry.http.EntryGate;
import org.bamboohatch.protocol.transport.Network;

/** Dagger component that creates the objects of an entry process. */
@Singleton
@Component(modules = EntryModule.class)
interface EntryComponent {

    Network network();

    ConfigurationStore configuration();

    Dispatcher dispatcher();

    CallerHandler callerHandler();

    EntryGate gate();

    OperatorRequestHandler operatorRequestHandler();

    PrometheusMeterRegistry metrics();

    /** Creates the component from the settings of the process. */
    @Component.Factory
    interface Factory {

        EntryComponent create(@BindsInstance EntrySettings settings);
    }
}
