package org.bamboohatch.standin.engine;

import org.bamboohatch.http.HttpServerService;
import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.settings.SettingsCommandLine;

/** The program {@code bamboohatch-standin engine}. */
public final class EngineMain {

    /** Name of the program. */
    private static final String PROGRAM = "bamboohatch-standin-engine";

    /** HTTP threads at most. */
    private static final int THREADS = 32;

    /** Not instantiated. */
    private EngineMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        EngineSettings settings = SettingsCommandLine.read(PROGRAM, arguments, EngineSettings.class);
        Program.run(PROGRAM, new HttpServerService(settings.listen(), THREADS, new EngineServer(settings)));
    }
}
