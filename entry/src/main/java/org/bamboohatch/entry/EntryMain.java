package org.bamboohatch.entry;

import java.util.List;

import org.bamboohatch.http.HealthHandler;
import org.bamboohatch.http.HttpServerService;
import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.bamboohatch.protocol.transport.FrameServer;
import org.eclipse.jetty.server.Handler;

/** The program {@code bamboohatch-entry}. */
public final class EntryMain {

    /** Name of the program. */
    private static final String PROGRAM = "bamboohatch-entry";

    /** HTTP threads at most. */
    private static final int HTTP_THREADS = 24;

    /** Not instantiated. */
    private EntryMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        EntrySettings settings = SettingsCommandLine.read(PROGRAM, arguments, EntrySettings.class);
        EntryComponent parts = DaggerEntryComponent.factory().create(settings);
        Handler handler =
                new Handler.Sequence(new HealthHandler(parts.gate()::isReady, parts.metrics()), parts.callers());
        Program.run(
                PROGRAM,
                new Service.Compound(List.of(
                        parts.network(),
                        parts.dispatcher(),
                        parts.configuration(),
                        new FrameServer(parts.network(), settings.listen(), parts.server()),
                        new HttpServerService(settings.http(), HTTP_THREADS, handler),
                        parts.gate())));
    }
}
