package org.bamboohatch.gateway.load;

import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.bamboohatch.gateway.target.ColdTargets;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetRamps;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCatalog;
import org.bamboohatch.routing.fleet.Workload;
import org.bamboohatch.routing.quarantine.TargetCrash;
import org.bamboohatch.routing.retry.ColdPeriod;
import org.bamboohatch.routing.retry.ConcurrencyRamp;
import org.bamboohatch.routing.wait.WaitingElsewhere;

/**
 * Load report that a gateway sends to another gateway. Reports may be lost or overtake each other.
 *
 * @param gateway host name of the reporting gateway
 * @param zone availability zone of the reporting gateway
 * @param start random number of the start of the reporting process; numbers of different starts are not comparable
 * @param number number of the report, increasing from one report to the next
 * @param targets the gateway's load by target; targets that are not named are unchanged
 * @param leaving targets that are about to end
 * @param crashes targets that have presumably crashed
 * @param generated suspected traits on which responses were generated
 * @param limits limits that targets have named
 * @param pauses pauses that targets have asked for
 * @param cold cold times of targets
 * @param ramps limits on the concurrent requests of targets that have started
 * @param waiting requests that wait at the gateway, or null if they are unchanged or the gateway holds none back
 */
public record GatewayLoad(
        String gateway,
        ZoneName zone,
        long start,
        long number,
        List<TargetWork> targets,
        List<LeavingTarget> leaving,
        List<Crash> crashes,
        List<GeneratedTrait> generated,
        List<Limit> limits,
        List<Pause> pauses,
        List<ColdTime> cold,
        List<Ramp> ramps,
        WaitingState waiting)
        implements Message {

    /** Suspects in one piece of a crash, so that several pieces fit into a datagram. */
    private static final int SUSPECTS_PER_PIECE = 16;

    /** Copies the lists; those that the build of the sender does not know yet are empty. */
    public GatewayLoad {
        targets = List.copyOf(targets);
        leaving = List.copyOf(leaving);
        crashes = crashes == null ? List.of() : List.copyOf(crashes);
        generated = generated == null ? List.of() : List.copyOf(generated);
        limits = limits == null ? List.of() : List.copyOf(limits);
        pauses = pauses == null ? List.of() : List.copyOf(pauses);
        cold = cold == null ? List.of() : List.copyOf(cold);
        ramps = ramps == null ? List.of() : List.copyOf(ramps);
    }

    /**
     * A target that has reported that it is about to end.
     *
     * @param target name of the target
     * @param incarnation number of the incarnation that ends
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"target", "incarnation"})
    public record LeavingTarget(TargetName target, long incarnation) {

        static LeavingTarget of(TargetIncarnation incarnation) {
            return new LeavingTarget(incarnation.target(), incarnation.number());
        }

        TargetIncarnation toIncarnation() {
            return new TargetIncarnation(target, incarnation);
        }
    }

    /**
     * Presumed crash of a target. Clocks of hosts differ, so reports carry ages instead of times.
     *
     * @param target name of the target
     * @param incarnation number of the incarnation that ended
     * @param ageMillis time since the crash, in milliseconds
     * @param suspects traits of requests that may have caused it; a crash with many is reported in several pieces
     * @param state certainty about the cause
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"target", "incarnation", "ageMillis", "suspects", "state"})
    public record Crash(
            TargetName target, long incarnation, long ageMillis, List<RequestTrait> suspects, TargetCrash.State state) {

        /** Copies the list. */
        public Crash {
            suspects = List.copyOf(suspects);
        }

        /**
         * Converts a crash for a report.
         *
         * @param crash the crash
         * @param now current time, in milliseconds
         * @return pieces with at most {@value #SUSPECTS_PER_PIECE} suspects each
         */
        static Stream<Crash> of(TargetCrash crash, long now) {
            TargetIncarnation incarnation = crash.incarnation();
            int size = crash.suspects().size();
            return IntStream.iterate(0, start -> start == 0 || start < size, start -> start + SUSPECTS_PER_PIECE)
                    .mapToObj(start -> new Crash(
                            incarnation.target(),
                            incarnation.number(),
                            now - crash.at(),
                            crash.suspects().subList(start, Math.min(size, start + SUSPECTS_PER_PIECE)),
                            crash.state()));
        }

        TargetCrash toTargetCrash(long now) {
            return new TargetCrash(new TargetIncarnation(target, incarnation), now - ageMillis, suspects, state);
        }
    }

    /**
     * A trait of requests on which a response was generated.
     *
     * @param trait the trait
     * @param ageMillis time since the last response, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"trait", "ageMillis"})
    public record GeneratedTrait(RequestTrait trait, long ageMillis) {}

    /**
     * Limit of a target on the requests that it takes from all gateways together.
     *
     * @param target name of the target
     * @param incarnation number of the incarnation
     * @param perSecond requests per second, or null if the target has no limit any more
     * @param ageMillis time since the target said so, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"target", "incarnation", "perSecond", "ageMillis"})
    public record Limit(TargetName target, long incarnation, Double perSecond, long ageMillis) {

        static Limit of(TargetLimits.Statement statement, long now) {
            TargetIncarnation incarnation = statement.target();
            Double perSecond =
                    statement.perSecond().isPresent() ? statement.perSecond().getAsDouble() : null;
            return new Limit(incarnation.target(), incarnation.number(), perSecond, now - statement.at());
        }

        TargetLimits.Statement toStatement(long now) {
            return new TargetLimits.Statement(
                    new TargetIncarnation(target, incarnation),
                    perSecond == null ? OptionalDouble.empty() : OptionalDouble.of(perSecond),
                    now - ageMillis);
        }
    }

    /**
     * Pause that a target has asked for.
     *
     * @param target name of the target
     * @param incarnation number of the incarnation
     * @param leftMillis time until the end of the pause, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"target", "incarnation", "leftMillis"})
    public record Pause(TargetName target, long incarnation, long leftMillis) {

        static Pause of(TargetIncarnation target, long until, long now) {
            return new Pause(target.target(), target.number(), until - now);
        }

        TargetIncarnation toIncarnation() {
            return new TargetIncarnation(target, incarnation);
        }
    }

    /**
     * Cold time of a target.
     *
     * @param target name of the target
     * @param incarnation number of the incarnation
     * @param leftMillis time for which the target is still cold, in milliseconds; negative if its cold time is over
     * @param ageMillis time since the target said so, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"target", "incarnation", "leftMillis", "ageMillis"})
    public record ColdTime(TargetName target, long incarnation, long leftMillis, long ageMillis) {

        static ColdTime of(ColdTargets.Statement statement, long now) {
            return new ColdTime(
                    statement.target().target(),
                    statement.target().number(),
                    statement.period().endsAt() - now,
                    now - statement.period().statedAt());
        }

        ColdTargets.Statement toStatement(long now) {
            return new ColdTargets.Statement(
                    new TargetIncarnation(target, incarnation), new ColdPeriod(now + leftMillis, now - ageMillis));
        }
    }

    /**
     * What waits at the gateway, and what it has served to client accounts.
     *
     * @param requests the waiting requests by service and priority
     * @param served tokens by client account, or null if they are unchanged
     */
    public record WaitingState(List<WaitingRequests> requests, List<ServedTokens> served) {

        /** Copies the lists. */
        public WaitingState {
            requests = requests == null ? List.of() : List.copyOf(requests);
            served = served == null ? null : List.copyOf(served);
        }
    }

    /**
     * Limit on the concurrent requests of a target that has started. An age is negative if what it refers to has not
     * happened.
     *
     * @param target name of the target
     * @param incarnation number of the incarnation
     * @param limit number of requests that the target may run for all gateways together
     * @param neededAgeMillis time since the limit was last reached, in milliseconds
     * @param increasedAgeMillis time since the last response in time, in milliseconds
     * @param decreasedAgeMillis time since the last decrease, in milliseconds
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"target", "incarnation", "limit", "neededAgeMillis", "increasedAgeMillis", "decreasedAgeMillis"
    })
    public record Ramp(
            TargetName target,
            long incarnation,
            int limit,
            long neededAgeMillis,
            long increasedAgeMillis,
            long decreasedAgeMillis) {

        static Ramp of(TargetRamps.Statement statement, long now) {
            ConcurrencyRamp ramp = statement.ramp();
            return new Ramp(
                    statement.target().target(),
                    statement.target().number(),
                    ramp.limit(),
                    now - ramp.neededAt(),
                    ramp.increasedAt() == Long.MIN_VALUE ? -1 : now - ramp.increasedAt(),
                    ramp.decreasedAt() == Long.MIN_VALUE ? -1 : now - ramp.decreasedAt());
        }

        TargetRamps.Statement toStatement(long now) {
            return new TargetRamps.Statement(
                    new TargetIncarnation(target, incarnation),
                    new ConcurrencyRamp(
                            limit,
                            now - neededAgeMillis,
                            increasedAgeMillis < 0 ? Long.MIN_VALUE : now - increasedAgeMillis,
                            decreasedAgeMillis < 0 ? Long.MIN_VALUE : now - decreasedAgeMillis));
        }
    }

    /**
     * Waiting requests of one service and priority.
     *
     * @param service name of the service
     * @param priority their priority
     * @param prefillMillis time that one engine would need for the prompts of the relaxed ones, in milliseconds
     * @param strictRequests number of strict requests
     * @param latestStartMillis time until the next relaxed one has to be sent to be in time, in milliseconds; negative if
     *     it is late, null if there is none
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"service", "priority", "prefillMillis", "strictRequests", "latestStartMillis"})
    public record WaitingRequests(
            ServiceName service, int priority, long prefillMillis, int strictRequests, Long latestStartMillis) {

        static WaitingRequests of(ServiceName service, WaitingElsewhere.Report report, long now) {
            double latestStart = report.relaxedLatestStart();
            return new WaitingRequests(
                    service,
                    report.priority(),
                    Math.round(report.prefillMillis()),
                    report.strictRequests(),
                    Double.isInfinite(latestStart) ? null : Math.round(latestStart) - now);
        }

        WaitingElsewhere.Report toReport(long now) {
            return new WaitingElsewhere.Report(
                    priority,
                    prefillMillis,
                    strictRequests,
                    latestStartMillis == null ? Double.POSITIVE_INFINITY : now + latestStartMillis);
        }
    }

    /**
     * Tokens that the gateway has served to a client account recently.
     *
     * @param account name of the account
     * @param tokens prompt and output tokens; older ones count less
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"account", "tokens"})
    public record ServedTokens(AccountName account, long tokens) {}

    /**
     * Load at one target. Numbers are rounded and encoded as an array to keep reports small.
     *
     * @param target name of the target
     * @param runs number of requests that the target answers and that have not ended
     * @param writers number of these requests that are decoding
     * @param shortWriters number of these requests that have a strict inter-token latency target
     * @param contextTokens prompt tokens that the target has prefilled for decoding requests
     * @param readMillis prefill time added since the previous report, in milliseconds
     * @param heldTokens memory that the requests occupy, in tokens
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"target", "runs", "writers", "shortWriters", "contextTokens", "readMillis", "heldTokens"})
    public record TargetWork(
            TargetName target,
            int runs,
            int writers,
            int shortWriters,
            long contextTokens,
            long readMillis,
            long heldTokens) {

        /**
         * Converts a workload for a report.
         *
         * @param target name of the target
         * @param workload the load at the target
         * @return the rounded load
         */
        static TargetWork of(TargetName target, Workload workload) {
            return new TargetWork(
                    target,
                    workload.runs(),
                    workload.decodingSequences(),
                    workload.strictRuns(),
                    Math.round(workload.contextTokens()),
                    Math.round(workload.prefillMillis()),
                    Math.round(workload.reservedTokens()));
        }

        Workload toWorkload() {
            return new Workload(runs, writers, shortWriters, contextTokens, readMillis, heldTokens);
        }
    }

    /** Registers the messages of the gateway module. */
    public static final class Catalog implements MessageCatalog {

        @Override
        public String name() {
            return "gateway";
        }

        @Override
        public List<Class<? extends Message>> types() {
            return List.of(GatewayLoad.class);
        }
    }
}
