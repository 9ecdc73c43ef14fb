package org.bamboohatch.gateway.load;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.MessageCatalog;
import org.bamboohatch.routing.fleet.Workload;

/**
 * What a gateway tells the others about its work at targets.
 *
 * @param gateway name of the gateway's host
 * @param whole whether the gateway has no work at targets that are not named
 * @param targets its work, where it changed
 */
public record GatewayLoad(String gateway, boolean whole, List<TargetWork> targets) implements Message {

    /** Makes the list immutable. */
    public GatewayLoad {
        targets = List.copyOf(targets);
    }

    /**
     * Work at one target, in whole numbers to keep reports small.
     *
     * @param target the target
     * @param runs requests that were sent and have not ended
     * @param writers requests among them that write their answer
     * @param shortWriters requests among them whose pauses must be short
     * @param contextTokens prompt tokens of the writers
     * @param readMillis time that the target needs for the reading given to it since the last report, in milliseconds
     * @param heldTokens memory that the requests need, in tokens
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
         * Describes work.
         *
         * @param target the target
         * @param work its work
         * @return the description
         */
        static TargetWork of(TargetName target, Workload work) {
            return new TargetWork(
                    target,
                    work.runs(),
                    work.decodingSequences(),
                    work.strictRuns(),
                    Math.round(work.contextTokens()),
                    Math.round(work.prefillMillis()),
                    Math.round(work.reservedTokens()));
        }

        /**
         * Reads the description.
         *
         * @return the work
         */
        Workload work() {
            return new Workload(runs, writers, shortWriters, contextTokens, readMillis, heldTokens);
        }
    }

    /** Registers the messages of this module. */
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
