package org.bamboohatch.gateway;

import org.bamboohatch.kernel.service.Program;
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
        run(SettingsCommandLine.read(PROGRAM, arguments, GatewaySettings.class), Dialect.DEFAULT);
    }

    /**
     * Runs a gateway until the process is told to stop.
     *
     * @param settings the settings
     * @param dialect names of the header fields
     */
    public static void run(GatewaySettings settings, Dialect dialect) {
        Program.run(
                PROGRAM,
                DaggerGatewayComponent.factory().create(settings, dialect).program());
    }
}
