package org.bamboohatch.kernel.service;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** A part of a program that owns threads, sockets or files between its start and its stop. */
public interface Service {

    /** Acquires what the part needs and begins its work. */
    void start();

    /** Ends the work and releases everything; a second call does nothing. */
    void stop();

    /** Starts services in order and stops the started ones in reverse order. */
    final class Compound implements Service {

        /** The services in the order of their start. */
        private final List<Service> services;

        /** The services that have been started, the last one first. */
        private final Deque<Service> started = new ArrayDeque<>();

        /**
         * Creates a compound.
         *
         * @param services the services in the order of their start
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
