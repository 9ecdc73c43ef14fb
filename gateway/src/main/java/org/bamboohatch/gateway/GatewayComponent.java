package org.bamboohatch.gateway;

import javax.inject.Singleton;

import dagger.BindsInstance;
import dagger.Component;

/** The parts of a gateway. */
@Singleton
@Component(modules = GatewayModule.class)
interface GatewayComponent {

    /**
     * Returns the program.
     *
     * @return the program
     */
    GatewayProgram program();

    /** Makes the parts of a process. */
    @Component.Factory
    interface Factory {

        /**
         * Makes the parts.
         *
         * @param settings the settings
         * @param dialect names of the header fields
         * @return the parts
         */
        GatewayComponent create(@BindsInstance GatewaySettings settings, @BindsInstance Dialect dialect);
    }
}
