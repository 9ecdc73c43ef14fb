package org.bamboohatch.kernel.service;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Component of a program that owns threads, sockets or files while it is started. */
public interface Service {

    /** Acquires the resources of the component and starts its work. */
    void start();

    /** Stops the work and releases all resources. Further calls have no effect. */
    void stop();

    /** Service that starts several services in order and stops them in reverse order. */
    final class Compound implements Service {

        private final List<Service> services;

        /** The started services, last one first. */
        private final Deque<Service> started = new ArrayDeque<>();

        /**
         * Creates a compound service.
         *
         * @param services services in the order in which they are started
         */
        public Compound(List<Service> services) {
            this.services = List.copyOf(services);
        }

        @Override
        public synchronized void start() {
            for (Service service : services) {
                service.start();
                started.push(service);
            }
        }

        @Override
        public synchronized void stop() {
            while (!started.isEmpty()) {
                started.pop().stop();
            }
        }
    }
}
