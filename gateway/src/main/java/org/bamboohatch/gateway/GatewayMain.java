package org.bamboohatch.gateway;

import java.util.List;
import java.util.function.Supplier;

import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsCommandLine;

/** Starts a gateway. */
public final class GatewayMain {

    /** Name of the program. */
    private static final String PROGRAM = "bamboohatch-gateway";

    /** Not instantiated. */
    private GatewayMain() {}

    /**
     * Starts the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        GatewaySettings settings = SettingsCommandLine.read(PROGRAM, arguments, GatewaySettings.class);
        run(settings, Dialect.DEFAULT, settings::control);
    }

    /**
     * Runs a gateway until the process is told to stop.
     *
     * @param settings the settings
     * @param dialect names of the header fields
     * @param seeds reads the addresses of control processes that the settings name by now
     */
    public static void run(GatewaySettings settings, Dialect dialect, Supplier<List<String>> seeds) {
        Program.run(PROGRAM, create(settings, dialect, seeds));
    }

    /**
     * Makes a gateway.
     *
     * @param settings the settings
     * @param dialect names of the header fields
     * @param seeds reads the addresses of control processes that the settings name by now
     * @return the gateway
     */
    public static Service create(GatewaySettings settings, Dialect dialect, Supplier<List<String>> seeds) {
        return DaggerGatewayComponent.factory().create(settings, dialect, seeds).program();
    }
}
