package org.bamboohatch.gateway;

import javax.inject.Singleton;

import java.util.List;
import java.util.function.Supplier;

import dagger.BindsInstance;
import dagger.Component;

/** Dependency graph of a gateway process. */
@Singleton
@Component(modules = GatewayModule.class)
interface GatewayComponent {

    /**
     * Returns the program with all of its parts.
     *
     * @return the program, not started
     */
    GatewayProgram program();

    /** Creates the dependency graph. */
    @Component.Factory
    interface Factory {

        /**
         * Creates the dependency graph of one gateway.
         *
         * @param settings settings of the gateway
         * @param dialect names of the header fields
         * @param seeds returns the addresses of control processes in the current settings, which may have changed
         * @return the dependency graph
         */
        GatewayComponent create(
                @BindsInstance GatewaySettings settings,
                @BindsInstance Dialect dialect,
                @BindsInstance Supplier<List<String>> seeds);
    }
}
