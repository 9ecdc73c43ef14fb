package org.bamboohatch.gateway;

import java.util.List;
import java.util.function.Supplier;

import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsCommandLine;

/** Command line entry point of a gateway. */
public final class GatewayMain {

    private static final String PROGRAM = "bamboohatch-gateway";

    private GatewayMain() {}

    /**
     * Runs a gateway with the default dialect.
     *
     * @param arguments command line arguments, which select the settings
     */
    public static void main(String[] arguments) {
        GatewaySettings settings = SettingsCommandLine.read(PROGRAM, arguments, GatewaySettings.class);
        run(settings, Dialect.DEFAULT, settings::control);
    }

    /**
     * Runs a gateway until the process receives a signal to stop.
     *
     * @param settings settings of the gateway
     * @param dialect names of the header fields
     * @param seeds returns the addresses of control processes in the current settings, which may have changed
     */
    public static void run(GatewaySettings settings, Dialect dialect, Supplier<List<String>> seeds) {
        Program.run(PROGRAM, create(settings, dialect, seeds));
    }

    /**
     * Creates a gateway without starting it.
     *
     * @param settings settings of the gateway
     * @param dialect names of the header fields
     * @param seeds returns the addresses of control processes in the current settings, which may have changed
     * @return the gateway
     */
    public static Service create(GatewaySettings settings, Dialect dialect, Supplier<List<String>> seeds) {
        return DaggerGatewayComponent.factory().create(settings, dialect, seeds).program();
    }
}
