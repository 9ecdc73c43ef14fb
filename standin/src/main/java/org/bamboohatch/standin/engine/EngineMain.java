package org.bamboohatch.standin.engine;

import org.bamboohatch.http.HttpServerService;
import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.settings.SettingsCommandLine;

/** Main class of the program {@code bamboohatch-standin engine}, a stand-in for a model engine. */
public final class EngineMain {

    private static final String PROGRAM = "bamboohatch-standin-engine";

    private static final int MAX_HTTP_THREADS = 32;

    private EngineMain() {}

    /**
     * Runs the program.
     *
     * @param arguments command line arguments
     */
    public static void main(String[] arguments) {
        EngineSettings settings = SettingsCommandLine.read(PROGRAM, arguments, EngineSettings.class);
        Program.run(PROGRAM, new HttpServerService(settings.listen(), MAX_HTTP_THREADS, new EngineServer(settings)));
    }
}
