package org.bamboohatch.kernel.service;

import java.util.concurrent.CountDownLatch;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import sun.misc.Signal;

/** Runs the services of a program until it is told to stop. */
public final class Program {

    /** Logger of this part. */
    private static final Logger LOGGER = LogManager.getLogger(Program.class);

    /** Not instantiated. */
    private Program() {}

    /**
     * Starts a service, waits for SIGTERM or SIGINT, and stops it gracefully.
     *
     * @param name name of the program, for the log
     * @param service the service
     */
    public static void run(String name, Service service) {
        run(name, service, () -> LOGGER.info("program: {} has nothing to reload", name));
    }

    /**
     * Runs a program whose settings can be read again.
     *
     * @param name name of the program
     * @param service the parts
     * @param reload reads the settings again; called on SIGHUP, which would end the process otherwise
     */
    public static void run(String name, Service service, Runnable reload) {
        Signal.handle(new Signal("HUP"), signal -> {
            LOGGER.info("program: {} is told to reload", name);
            reload.run();
        });
        Invariant.escalateTo(Invariant::halt);
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
     * Stops the service in the shutdown hook.
     *
     * @param name name of the program
     * @param service the service
     * @param stopped released when the service has stopped
     */
    private static void shutDown(String name, Service service, CountDownLatch stopped) {
        LOGGER.info("program: {} stops", name);
        service.stop();
        LOGGER.info("program: {} has stopped", name);
        LogManager.shutdown();
        stopped.countDown();
    }
}
