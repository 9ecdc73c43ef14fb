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

/** The parts of an entry. */
@Singleton
@Component(modules = EntryModule.class)
interface EntryComponent {

    /**
     * Returns the network threads.
     *
     * @return the network
     */
    Network network();

    /**
     * Returns the configuration.
     *
     * @return the store
     */
    ConfigurationStore configuration();

    /**
     * Returns the dispatcher.
     *
     * @return the dispatcher
     */
    Dispatcher dispatcher();

    /**
     * Returns the callers' handler.
     *
     * @return the handler
     */
    CallerHandler callers();

    /**
     * Returns the gate.
     *
     * @return the gate
     */
    EntryGate gate();

    /**
     * Returns the server for operators' tools.
     *
     * @return the server
     */
    EntryServer server();

    /**
     * Returns the metrics.
     *
     * @return the registry
     */
    PrometheusMeterRegistry metrics();

    /** Makes the parts of a process. */
    @Component.Factory
    interface Factory {

        /**
         * Makes the parts.
         *
         * @param settings the settings
         * @return the parts
         */
        EntryComponent create(@BindsInstance EntrySettings settings);
    }
}
