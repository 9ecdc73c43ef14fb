package org.bamboohatch.gateway;

import javax.inject.Singleton;

import java.util.List;
import java.util.function.Supplier;

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
         * @param seeds reads the addresses of control processes that the settings name by now
         * @return the parts
         */
        GatewayComponent create(
                @BindsInstance GatewaySettings settings,
                @BindsInstance Dialect dialect,
                @BindsInstance Supplier<List<String>> seeds);
    }
}
