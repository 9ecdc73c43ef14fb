package org.bamboohatch.gateway.load;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCatalog;
import org.bamboohatch.routing.fleet.Workload;

/**
 * Load report that a gateway sends to another gateway. Reports may be lost or overtake each other.
 *
 * @param gateway host name of the reporting gateway
 * @param zone availability zone of the reporting gateway
 * @param start random number of the start of the reporting process; numbers of different starts are not comparable
 * @param number number of the report, increasing from one report to the next
 * @param targets the gateway's load by target; targets that are not named are unchanged
 * @param leaving targets that are about to end
 */
public record GatewayLoad(
        String gateway, ZoneName zone, long start, long number, List<TargetWork> targets, List<LeavingTarget> leaving)
        implements Message {

    /** Copies the lists. */
    public GatewayLoad {
        targets = List.copyOf(targets);
        leaving = List.copyOf(leaving);
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
