package org.bamboohatch.standin.plain;

import org.bamboohatch.http.HttpServerService;
import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.settings.SettingsCommandLine;

/** The program {@code bamboohatch-standin plain}. */
public final class PlainMain {

    /** Name of the program. */
    private static final String PROGRAM = "bamboohatch-standin-plain";

    /** HTTP threads at most. */
    private static final int THREADS = 32;

    /** Not instantiated. */
    private PlainMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        PlainSettings settings = SettingsCommandLine.read(PROGRAM, arguments, PlainSettings.class);
        Program.run(
                PROGRAM, new HttpServerService(settings.listen(), THREADS, new PlainServer(settings.delayMillis())));
    }
}
