package org.bamboohatch.standin.relay;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.bamboohatch.http.HttpServerService;
import org.bamboohatch.http.JsonResponse;
import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** The program {@code bamboohatch-standin relay}; {@code POST /mode/NAME} changes what it does. */
public final class RelayMain {

    /** Name of the program. */
    private static final String PROGRAM = "bamboohatch-standin-relay";

    /** HTTP threads at most. */
    private static final int THREADS = 8;

    /** Path that takes orders. */
    private static final String MODE_PATH = "/mode/";

    /** Not instantiated. */
    private RelayMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        RelaySettings settings = SettingsCommandLine.read(PROGRAM, arguments, RelaySettings.class);
        Relay relay = new Relay(settings);
        Handler handler = new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                String path = Request.getPathInContext(request);
                if (!path.startsWith(MODE_PATH)) {
                    return false;
                }
                RelayMode mode = RelayMode.valueOf(path.substring(MODE_PATH.length())
                        .toUpperCase(Locale.ROOT)
                        .replace('-', '_'));
                relay.mode(mode);
                JsonResponse.write(response, callback, 200, Map.of("mode", mode.name()));
                return true;
            }
        };
        Program.run(
                PROGRAM,
                new Service.Compound(List.of(relay, new HttpServerService(settings.control(), THREADS, handler))));
    }
}
