package org.bamboohatch.standin.plain;

import org.bamboohatch.http.HttpServerService;
import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.settings.SettingsCommandLine;

/** Main class of the program {@code bamboohatch-standin plain}, a stand-in for a plain service. */
public final class PlainMain {

    private static final String PROGRAM = "bamboohatch-standin-plain";

    private static final int MAX_HTTP_THREADS = 32;

    private PlainMain() {}

    /**
     * Runs the program.
     *
     * @param arguments command line arguments
     */
    public static void main(String[] arguments) {
        PlainSettings settings = SettingsCommandLine.read(PROGRAM, arguments, PlainSettings.class);
        Program.run(
                PROGRAM,
                new HttpServerService(settings.listen(), MAX_HTTP_THREADS, new PlainServer(settings.delayMillis())));
    }
}
