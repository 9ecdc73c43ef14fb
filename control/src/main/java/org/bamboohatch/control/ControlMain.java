package org.bamboohatch.control;

import java.util.List;
import java.util.function.BooleanSupplier;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.bamboohatch.http.HealthHandler;
import org.bamboohatch.http.HttpServerService;
import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.bamboohatch.protocol.transport.FrameServer;
import org.bamboohatch.protocol.transport.Network;

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
        run(SettingsCommandLine.read(PROGRAM, arguments, ControlSettings.class), ControlMain::health);
    }

    /** Makes a service that runs in a control process beside its own parts. */
    @FunctionalInterface
    public interface Extension {

        /**
         * Makes the service.
         *
         * @param settings the settings
         * @param network the network threads
         * @param ready tells whether the process belongs to a group with a leader
         * @return the service
         */
        Service create(ControlSettings settings, Network network, BooleanSupplier ready);
    }

    /**
     * Runs a control process until it is told to stop.
     *
     * @param settings the settings
     * @param extension makes a service that runs beside
     */
    public static void run(ControlSettings settings, Extension extension) {
        Program.run(PROGRAM, create(settings, extension));
    }

    /**
     * Makes a control process.
     *
     * @param settings the settings
     * @param extension makes a service that runs beside
     * @return the process
     */
    public static Service create(ControlSettings settings, Extension extension) {
        ControlComponent parts = DaggerControlComponent.factory().create(settings);
        FrameServer server = new FrameServer(parts.network(), settings.listen(), parts.server());
        Service beside = extension.create(settings, parts.network(), parts.server()::isReady);
        return new Service.Compound(List.of(parts.network(), parts.replica(), server, parts.server(), beside));
    }

    /**
     * Makes the server for health and metrics.
     *
     * @param settings the settings
     * @param network the network threads
     * @param ready tells whether the process is ready
     * @return the server, or nothing if the settings name no address
     */
    private static Service health(ControlSettings settings, Network network, BooleanSupplier ready) {
        if (settings.http().isEmpty()) {
            return new Service.Compound(List.of());
        }
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        return new HttpServerService(settings.http(), HTTP_THREADS, new HealthHandler(ready, metrics));
    }
}
