package org.bamboohatch.entry;

import java.util.List;

import org.bamboohatch.http.HealthHandler;
import org.bamboohatch.http.HttpServerService;
import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.bamboohatch.protocol.transport.FrameServer;
import org.eclipse.jetty.server.Handler;

/** Main class of the program {@code bamboohatch-entry}. */
public final class EntryMain {

    private static final String PROGRAM = "bamboohatch-entry";

    private static final int MAX_HTTP_THREADS = 24;

    private EntryMain() {}

    /**
     * Runs an entry until the process is asked to stop.
     *
     * @param arguments the command line, which names the settings file
     */
    public static void main(String[] arguments) {
        EntrySettings settings = SettingsCommandLine.read(PROGRAM, arguments, EntrySettings.class);
        EntryComponent component = DaggerEntryComponent.factory().create(settings);
        Handler handler = new Handler.Sequence(
                new HealthHandler(component.gate()::isReady, component.metrics()), component.callerHandler());
        Program.run(
                PROGRAM,
                new Service.Compound(List.of(
                        component.network(),
                        component.dispatcher(),
                        component.configuration(),
                        new FrameServer(component.network(), settings.listen(), component.operatorRequestHandler()),
                        new HttpServerService(settings.http(), MAX_HTTP_THREADS, handler),
                        component.gate())));
    }
}
