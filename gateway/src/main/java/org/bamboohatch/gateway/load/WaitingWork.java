package org.bamboohatch.gateway.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.routing.wait.AccountTokens;
import org.bamboohatch.routing.wait.SlotShare;
import org.bamboohatch.routing.wait.WaitingElsewhere;
import org.bamboohatch.routing.wait.WaitingElsewhere.Report;

/**
 * The requests that wait at this gateway and, as reported, at the others, and the tokens that were served to client
 * accounts. Confined to the callers' event loop.
 */
public final class WaitingWork {

    /** Age from which a report of another gateway is ignored, in milliseconds. */
    private static final long REPORT_EXPIRY_MS = 3_000;

    /** Accounts in one report, those that were served the most; keeps the report within a packet. */
    private static final int MAXIMUM_ACCOUNTS = 12;

    private final String gateway;

    /** The waiting requests of this gateway, by service. */
    private final Map<ServiceName, List<Report>> own = new HashMap<>();

    private final AccountTokens ownTokens = new AccountTokens();

    /** What other gateways have reported, by gateway. */
    private final Map<String, Received> received = new HashMap<>();

    private final List<PendingReport> pendingReports = new ArrayList<>();

    /** Whether a request of this gateway has waited or been counted; others hear nothing before. */
    private boolean used;

    /** Requests and tokens that another gateway has reported. */
    private static final class Received {

        private final Map<ServiceName, List<Report>> waiting = new HashMap<>();

        private final AccountTokens tokens = new AccountTokens();

        private long receivedAt;
    }

    /** Changes that are still to be reported to some of the other gateways. */
    public final class PendingReport {

        private boolean changed;

        private PendingReport() {}

        /**
         * Returns what is to be reported.
         *
         * @param complete whether everything is reported, also if it has not changed
         * @param now current time, in milliseconds
         * @return the report, empty if there is nothing to report
         */
        Optional<GatewayLoad.WaitingState> take(boolean complete, long now) {
            if (!used || !complete && !changed) {
                return Optional.empty();
            }
            changed = false;
            List<GatewayLoad.WaitingRequests> requests = own.entrySet().stream()
                    .flatMap(service -> service.getValue().stream()
                            .map(report -> GatewayLoad.WaitingRequests.of(service.getKey(), report, now)))
                    .toList();
            return Optional.of(new GatewayLoad.WaitingState(requests, complete ? servedTokens(now) : null));
        }
    }

    /**
     * Creates a state without requests.
     *
     * @param gateway name of this gateway, as in its reports
     */
    public WaitingWork(String gateway) {
        this.gateway = gateway;
    }

    /**
     * Creates a report of the changes from now on.
     *
     * @return the report, empty at first
     */
    public PendingReport newReport() {
        PendingReport report = new PendingReport();
        pendingReports.add(report);
        return report;
    }

    /**
     * Replaces the waiting requests of this gateway.
     *
     * @param service the service
     * @param reports the requests by priority, empty if none waits
     */
    public void setOwn(ServiceName service, List<Report> reports) {
        List<Report> previous = reports.isEmpty() ? own.remove(service) : own.put(service, reports);
        if (!reports.equals(previous == null ? List.of() : previous)) {
            used = true;
            pendingReports.forEach(report -> report.changed = true);
        }
    }

    /**
     * Counts the tokens of a request that this gateway sends.
     *
     * @param account the client account
     * @param tokens prompt and output tokens
     * @param now current time, in milliseconds
     */
    public void recordServed(AccountName account, long tokens, long now) {
        used = true;
        ownTokens.add(account, tokens, now);
    }

    private List<GatewayLoad.ServedTokens> servedTokens(long now) {
        return ownTokens.all(now).entrySet().stream()
                .sorted(Map.Entry.<AccountName, Double>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(MAXIMUM_ACCOUNTS)
                .map(served -> new GatewayLoad.ServedTokens(served.getKey(), Math.round(served.getValue())))
                .toList();
    }

    /**
     * Applies the report of another gateway.
     *
     * @param gateway name of the reporting gateway
     * @param state what it reports, or null if nothing
     * @param now current time, in milliseconds
     */
    public void apply(String gateway, GatewayLoad.WaitingState state, long now) {
        if (state == null) {
            return;
        }
        Received report = received.computeIfAbsent(gateway, added -> new Received());
        report.receivedAt = now;
        report.waiting.clear();
        for (GatewayLoad.WaitingRequests waiting : state.requests()) {
            report.waiting
                    .computeIfAbsent(waiting.service(), added -> new ArrayList<>())
                    .add(waiting.toReport(now));
        }
        if (state.served() != null) {
            Map<AccountName, Double> tokens = new HashMap<>();
            state.served().forEach(served -> tokens.put(served.account(), (double) served.tokens()));
            report.tokens.replace(tokens, now);
        }
    }

    /**
     * Returns what waits at other gateways.
     *
     * @param service the service
     * @param withTokens whether the tokens of the accounts are needed, as when requests of this gateway wait
     * @param now current time, in milliseconds
     * @return the waiting requests; nothing of gateways that have not reported for three seconds
     */
    public WaitingElsewhere elsewhere(ServiceName service, boolean withTokens, long now) {
        if (received.isEmpty() && !withTokens) {
            return WaitingElsewhere.NONE;
        }
        List<Report> reports = new ArrayList<>();
        Map<AccountName, Double> tokens = withTokens ? new HashMap<>(ownTokens.all(now)) : Map.of();
        received.values().removeIf(report -> now - report.receivedAt >= REPORT_EXPIRY_MS);
        List<String> strictElsewhere = new ArrayList<>();
        received.forEach((other, report) -> {
            List<Report> waiting = report.waiting.getOrDefault(service, List.of());
            reports.addAll(waiting);
            if (waiting.stream().anyMatch(each -> each.strictRequests() > 0)) {
                strictElsewhere.add(other);
            }
            if (withTokens) {
                report.tokens.all(now).forEach((account, served) -> tokens.merge(account, served, Double::sum));
            }
        });
        return reports.isEmpty() && tokens.isEmpty()
                ? WaitingElsewhere.NONE
                : new WaitingElsewhere(reports, tokens, new SlotShare(gateway, strictElsewhere));
    }
}
