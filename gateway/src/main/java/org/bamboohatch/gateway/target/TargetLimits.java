package org.bamboohatch.gateway.target;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.routing.retry.RateShare;

/**
 * Limits on the requests that targets take from all gateways together: those that targets have named, to this gateway or to
 * another one, and the rates of cold targets. The latest word of a target holds, and the lower one of both limits applies.
 * Confined to the callers' event loop.
 */
public final class TargetLimits {

    /** Time for which the last word of a target is remembered, in milliseconds. */
    private static final long RETENTION_MS = 600_000;

    /** Time for which the end of a limit is reported again, as reports may be lost, in milliseconds. */
    private static final long LIFTED_REPEAT_MS = 10_000;

    private final HostName host;

    /** Number of gateways that share the limits. */
    private int gateways = 1;

    private final Map<TargetIncarnation, Entry> entries = new LinkedHashMap<>();

    private final ColdShares coldShares = new ColdShares();

    private final List<PendingReport> pendingReports = new ArrayList<>();

    /**
     * What a target has last said.
     *
     * @param share this gateway's share in the limit, or null if the target has no limit any more
     * @param at time at which it said so, in milliseconds
     */
    private record Entry(RateShare share, long at) {

        OptionalDouble perSecond() {
            return share == null ? OptionalDouble.empty() : OptionalDouble.of(share.perSecond());
        }
    }

    /**
     * The last word of a target, as gateways report it to each other.
     *
     * @param target the target
     * @param perSecond requests per second that it takes from all gateways together, empty if it has no limit any more
     * @param at time at which it said so, in milliseconds
     */
    public record Statement(TargetIncarnation target, OptionalDouble perSecond, long at) {}

    /** Limits that changed and are still to be reported to some of the other gateways. */
    public final class PendingReport {

        private final Set<TargetIncarnation> changed = new LinkedHashSet<>();

        private PendingReport() {}

        /**
         * Returns the limits that changed since the previous call.
         *
         * @return the last words of the targets concerned
         */
        public List<Statement> takeChanges() {
            if (changed.isEmpty()) {
                return List.of();
            }
            List<Statement> taken = changed.stream()
                    .filter(entries::containsKey)
                    .map(TargetLimits.this::statement)
                    .toList();
            changed.clear();
            return taken;
        }

        /**
         * Returns all limits, and those that have ended lately.
         *
         * @param now current time, in milliseconds
         * @return the last words of the targets concerned
         */
        public List<Statement> takeAll(long now) {
            changed.clear();
            entries.values().removeIf(entry -> entry.at() <= now - RETENTION_MS);
            return entries.keySet().stream()
                    .map(TargetLimits.this::statement)
                    .filter(statement -> statement.perSecond().isPresent() || statement.at() > now - LIFTED_REPEAT_MS)
                    .toList();
        }
    }

    /**
     * Creates an empty set.
     *
     * @param host host of this gateway
     */
    public TargetLimits(HostName host) {
        this.host = host;
    }

    /**
     * Sets the number of gateways that share the limits.
     *
     * @param count number of gateways, including this one
     */
    public void setGateways(int count) {
        gateways = Math.max(1, count);
    }

    /**
     * Sets the gateways that share the limits.
     *
     * @param addresses addresses for load reports of all gateways
     * @param own address of this gateway
     * @param now current time, in milliseconds
     */
    public void setGateways(List<String> addresses, String own, long now) {
        setGateways(addresses.size());
        coldShares.setGateways(addresses, own, now);
    }

    /**
     * Sets the rate of a cold target until the end of its cold time.
     *
     * @param target the target
     * @param perSecond requests per second that it takes from all gateways together
     * @param endsAt end of the cold time, in milliseconds
     * @param now current time, in milliseconds
     */
    public void setColdRate(TargetIncarnation target, double perSecond, long endsAt, long now) {
        coldShares.put(target, perSecond, endsAt, now);
    }

    /**
     * Removes the rate of a target that is cold no longer.
     *
     * @param target the target
     */
    public void removeColdRate(TargetIncarnation target) {
        coldShares.remove(target);
    }

    /**
     * Returns the place of this gateway among all that send requests to a target.
     *
     * @param target the target
     * @return a number from zero to one, spread over the gateways
     */
    private double phase(TargetIncarnation target) {
        long hash = Hashing.wyhashFinal4()
                .hashCharsToLong(host.value() + '/' + target.target().value());
        return (hash >>> 1) / (double) Long.MAX_VALUE;
    }

    private Statement statement(TargetIncarnation target) {
        Entry entry = entries.get(target);
        return new Statement(target, entry.perSecond(), entry.at());
    }

    /**
     * Creates a report of what changes from now on.
     *
     * @return the report, empty at first
     */
    public PendingReport newReport() {
        PendingReport report = new PendingReport();
        pendingReports.add(report);
        return report;
    }

    /**
     * Records the limit that a target names in a response.
     *
     * @param target the target
     * @param perSecond requests per second that it takes from all gateways together
     * @param now current time, in milliseconds
     * @return whether the limit is new or has changed
     */
    public boolean recordLimit(TargetIncarnation target, double perSecond, long now) {
        boolean changed = apply(new Statement(target, OptionalDouble.of(perSecond), now), now);
        if (changed) {
            pendingReports.forEach(report -> report.changed.add(target));
        }
        return changed;
    }

    /**
     * Records that a target names no limit in a response.
     *
     * @param target the target
     * @param requestSentAt time at which the request was sent, in milliseconds; if the limit was named later, the response
     *     may be older than the limit
     * @param now current time, in milliseconds
     * @return whether a limit has ended
     */
    public boolean recordNoLimit(TargetIncarnation target, long requestSentAt, long now) {
        Entry entry = entries.get(target);
        if (entry == null || entry.share() == null || requestSentAt <= entry.at()) {
            return false;
        }
        entries.put(target, new Entry(null, now));
        pendingReports.forEach(report -> report.changed.add(target));
        return true;
    }

    /**
     * Applies the last word of a target as another gateway has heard it, unless this one has heard a later one.
     *
     * @param statement the last word of the target, with times of this gateway's clock
     * @param now current time, in milliseconds
     * @return whether the limit has changed
     */
    public boolean apply(Statement statement, long now) {
        Entry known = entries.get(statement.target());
        if (known != null && known.at() >= statement.at()) {
            return false;
        }
        RateShare share = null;
        if (statement.perSecond().isPresent()) {
            double perSecond = statement.perSecond().getAsDouble();
            share = known == null || known.share() == null
                    ? RateShare.first(perSecond, gateways, phase(statement.target()), now)
                    : known.share().withRate(perSecond, gateways, now);
        }
        entries.put(statement.target(), new Entry(share, statement.at()));
        return known == null ? share != null : !Objects.equals(known.perSecond(), statement.perSecond());
    }

    /**
     * Returns the time from which a target may be sent a request.
     *
     * @param target the target
     * @param now current time, in milliseconds
     * @return the time in milliseconds, zero if it has no limit
     */
    public long nextSendAt(TargetIncarnation target, long now) {
        Entry entry = entries.isEmpty() ? null : entries.get(target);
        long named = entry == null || entry.share() == null ? 0 : entry.share().nextSendAt(now);
        return Math.max(named, coldSendAt(target, now));
    }

    /**
     * Returns the time from which a target may be sent a request as far as its cold time is concerned.
     *
     * @param target the target
     * @param now current time, in milliseconds
     * @return the time in milliseconds, zero if the target is not cold
     */
    public long coldSendAt(TargetIncarnation target, long now) {
        return coldShares.nextSendAt(target, now);
    }

    /**
     * Records that a memory command was sent to a target. It counts for the rate of a cold target.
     *
     * @param target the target
     * @param now current time, in milliseconds
     */
    public void recordCommand(TargetIncarnation target, long now) {
        coldShares.recordSend(target, now);
    }

    /**
     * Records that a request was sent to a target.
     *
     * @param target the target
     * @param now current time, in milliseconds
     */
    public void recordSend(TargetIncarnation target, long now) {
        coldShares.recordSend(target, now);
        entries.computeIfPresent(
                target,
                (limited, entry) ->
                        entry.share() == null ? entry : new Entry(entry.share().afterSend(gateways, now), entry.at()));
    }
}
