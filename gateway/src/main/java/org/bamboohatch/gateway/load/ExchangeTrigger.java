package org.bamboohatch.gateway.load;

/**
 * Lets those that decide by the exchanged state, and those that change it, trigger the load exchange. Without an exchange
 * it does nothing. Confined to the callers' event loop.
 */
public final class ExchangeTrigger {

    private Runnable receiver = () -> {};

    private Runnable reporter = () -> {};

    ExchangeTrigger() {}

    /**
     * Connects the load exchange.
     *
     * @param applyArrived applies the reports that have arrived
     * @param reportSoon schedules a report
     */
    public void connect(Runnable applyArrived, Runnable reportSoon) {
        this.receiver = applyArrived;
        this.reporter = reportSoon;
    }

    /**
     * Applies the reports of other gateways that have arrived. To be called before each decision that depends on the
     * exchanged state: between decisions, arrived reports are only read at intervals.
     */
    public void applyArrivedReports() {
        receiver.run();
    }

    /** Schedules a report of what has changed. To be called after each change of the exchanged state. */
    public void reportSoon() {
        reporter.run();
    }
}
