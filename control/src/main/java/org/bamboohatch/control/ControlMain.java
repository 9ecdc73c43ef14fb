package org.bamboohatch.control;

import java.util.List;
import java.util.function.Supplier;

import org.bamboohatch.control.redirect.LeaderAnnouncer;
import org.bamboohatch.control.redirect.LeaderRedirect;
import org.bamboohatch.http.HealthHandler;
import org.bamboohatch.http.HttpServerService;
import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.bamboohatch.protocol.transport.FrameServer;
import org.bamboohatch.protocol.transport.Network;

/** Main class of the program {@code bamboohatch-control}. */
public final class ControlMain {

    private static final String PROGRAM = "bamboohatch-control";

    private static final int MAX_HTTP_THREADS = 8;

    private ControlMain() {}

    /**
     * Runs the program with an HTTP server for health and metrics.
     *
     * @param arguments command line arguments
     */
    public static void main(String[] arguments) {
        run(SettingsCommandLine.read(PROGRAM, arguments, ControlSettings.class), ControlMain::createHealthServer);
    }

    /** Creates an additional service that runs in a control process. */
    @FunctionalInterface
    public interface Extension {

        /**
         * Creates the service, which is started after the other services of the process.
         *
         * @param settings settings of the control process
         * @param network network of the control process
         * @param health readiness and metrics of the process
         * @return the service
         */
        Service create(ControlSettings settings, Network network, ControlHealth health);
    }

    /**
     * Runs a control process until it is stopped.
     *
     * @param settings settings of the control process
     * @param extension creates an additional service
     */
    public static void run(ControlSettings settings, Extension extension) {
        Program.run(PROGRAM, create(settings, settings::peers, extension));
    }

    /**
     * Creates a control process. On a host without a disk it redirects requests to the leader.
     *
     * @param settings settings of the control process
     * @param seeds returns the addresses of control processes in the current settings, which may have changed
     * @param extension creates an additional service
     * @return a service that runs the whole process
     */
    public static Service create(ControlSettings settings, Supplier<List<String>> seeds, Extension extension) {
        return settings.dataFolder().isEmpty()
                ? createRedirect(settings, seeds, extension)
                : createReplica(settings, seeds, extension);
    }

    private static Service createRedirect(ControlSettings settings, Supplier<List<String>> seeds, Extension extension) {
        Network network = new Network(
                ControlModule.NETWORK_THREADS, new Timeline(settings.host().value(), Timeline.DEFAULT_CAPACITY));
        LeaderRedirect redirect = new LeaderRedirect(settings, network, seeds);
        FrameServer server = new FrameServer(network, settings.listen(), redirect);
        ControlHealth health = new ControlHealth(redirect::isReady, redirect::voters, settings.voters(), () -> 0);
        return new Service.Compound(List.of(network, server, redirect, extension.create(settings, network, health)));
    }

    private static Service createReplica(ControlSettings settings, Supplier<List<String>> seeds, Extension extension) {
        ControlComponent component = DaggerControlComponent.factory().create(settings);
        FrameServer server = new FrameServer(component.network(), settings.listen(), component.server());
        ControlHealth health = new ControlHealth(
                component.server()::isReady,
                component.server()::voters,
                settings.voters(),
                component.replica()::missingBootstrapAnswers);
        Service additional = extension.create(settings, component.network(), health);
        // Services stop in reverse order: leadership is handed over while all others still answer.
        return new Service.Compound(List.of(
                component.network(),
                component.replica(),
                server,
                new LeaderAnnouncer(component.network(), component.replica(), seeds),
                additional,
                component.server()));
    }

    /**
     * Creates the HTTP server for health and metrics.
     *
     * @param settings settings of the control process
     * @param network network of the control process
     * @param health readiness and metrics of the process
     * @return the server, or an empty service if the settings have no address for it
     */
    private static Service createHealthServer(ControlSettings settings, Network network, ControlHealth health) {
        if (settings.http().isEmpty()) {
            return new Service.Compound(List.of());
        }
        return new HttpServerService(
                settings.http(), MAX_HTTP_THREADS, new HealthHandler(health::isReady, health.metrics()));
    }
}
