package org.bamboohatch.kernel.service;

import java.util.concurrent.CountDownLatch;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import sun.misc.Signal;

/** Runs the service of a program until the process receives a termination signal. */
public final class Program {

    private static final Logger LOGGER = LogManager.getLogger(Program.class);

    private Program() {}

    /**
     * Starts a service, waits for SIGTERM or SIGINT, and stops it gracefully. SIGHUP is only logged.
     *
     * @param name program name for the log
     * @param service service to run
     */
    public static void run(String name, Service service) {
        run(name, service, () -> LOGGER.info("program: {} has no settings to reload", name));
    }

    /**
     * Starts a service, waits for SIGTERM or SIGINT, and stops it gracefully. SIGHUP reloads the settings.
     *
     * @param name program name for the log
     * @param service service to run
     * @param reload reads the settings again; called on SIGHUP, which would terminate the process if it was not handled
     */
    public static void run(String name, Service service, Runnable reload) {
        Signal.handle(new Signal("HUP"), signal -> {
            LOGGER.info("program: {} received SIGHUP", name);
            reload.run();
        });
        Invariant.onViolation(Invariant::halt);
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(name, service, stopped), "shutdown"));
        service.start();
        LOGGER.info("program: {} is running", name);
        try {
            stopped.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Stops the service; called by the shutdown hook.
     *
     * @param name program name for the log
     * @param service service to stop
     * @param stopped released when the service has stopped
     */
    private static void shutDown(String name, Service service, CountDownLatch stopped) {
        LOGGER.info("program: {} is stopping", name);
        service.stop();
        LOGGER.info("program: {} has stopped", name);
        LogManager.shutdown();
        stopped.countDown();
    }
}
