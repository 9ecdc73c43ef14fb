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

/** Main class of the program {@code bamboohatch-standin relay}; {@code POST /mode/NAME} sets the mode of the relay. */
public final class RelayMain {

    private static final String PROGRAM = "bamboohatch-standin-relay";

    private static final int MAX_HTTP_THREADS = 8;

    /** Prefix of the paths that set the mode. */
    private static final String MODE_PATH_PREFIX = "/mode/";

    private RelayMain() {}

    /**
     * Runs the program.
     *
     * @param arguments command line arguments
     */
    public static void main(String[] arguments) {
        RelaySettings settings = SettingsCommandLine.read(PROGRAM, arguments, RelaySettings.class);
        Relay relay = new Relay(settings);
        Handler handler = new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                String path = Request.getPathInContext(request);
                if (!path.startsWith(MODE_PATH_PREFIX)) {
                    return false;
                }
                RelayMode mode = RelayMode.valueOf(path.substring(MODE_PATH_PREFIX.length())
                        .toUpperCase(Locale.ROOT)
                        .replace('-', '_'));
                relay.setMode(mode);
                JsonResponse.write(response, callback, 200, Map.of("mode", mode.name()));
                return true;
            }
        };
        Program.run(
                PROGRAM,
                new Service.Compound(
                        List.of(relay, new HttpServerService(settings.control(), MAX_HTTP_THREADS, handler))));
    }
}
