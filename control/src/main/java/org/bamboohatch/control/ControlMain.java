package org.bamboohatch.control;

import java.util.List;

import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.bamboohatch.protocol.transport.FrameServer;

/** The program {@code bamboohatch-control}. */
public final class ControlMain {

    /** Name of the program. */
    private static final String PROGRAM = "bamboohatch-control";

    /** HTTP threads at most. */
    private static final int HTTP_THREADS = 8;

    /** Not instantiated. */
    private ControlMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        ControlSettings settings = SettingsCommandLine.read(PROGRAM, arguments, ControlSettings.class);
        ControlComponent parts = DaggerControlComponent.factory().create(settings);
        FrameServer server = new FrameServer(parts.network(), settings.listen(), parts.server());
        Program.run(PROGRAM, new Service.Compound(List.of(parts.network(), parts.replica(), server, parts.server())));
    }
}
