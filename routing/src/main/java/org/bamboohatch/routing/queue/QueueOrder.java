package org.bamboohatch.routing.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.routing.LengthClass;
import org.bamboohatch.routing.WaitingRequest;

/** Order in which waiting requests are tried. */
public interface QueueOrder {

    /**
     * Returns the requests that may be served next, the first one first.
     *
     * @param waiting the waiting requests in order of arrival
     * @param served tokens served to the accounts
     * @param now the present time, in milliseconds
     * @return the candidates
     */
    List<WaitingRequest> candidates(Collection<WaitingRequest> waiting, ServedTokens served, long now);

    /** First come, first served; a request that cannot be placed holds up the others. */
    enum ForArrival implements QueueOrder {
        /** The only instance. */
        INSTANCE;

        @Override
        public List<WaitingRequest> candidates(Collection<WaitingRequest> waiting, ServedTokens served, long now) {
            return waiting.stream().limit(1).toList();
        }
    }

    /**
     * The least served account first; within an account shorter prompts first, though each second of waiting makes
     * a request more urgent and one that is about to miss its deadline comes first.
     */
    enum ForFairShares implements QueueOrder {
        /** The only instance. */
        INSTANCE;

        /** Waiting time that makes a request one class more urgent, in milliseconds. */
        private static final long AGEING_MS = 2_000;

        /** Time before the deadline at which a request comes first, as a part of its whole time. */
        private static final double URGENT_PART = 0.25;

        @Override
        public List<WaitingRequest> candidates(Collection<WaitingRequest> waiting, ServedTokens served, long now) {
            List<WaitingRequest> heads = heads(waiting);
            heads.stream()
                    .mapToDouble(head -> served.weightedTokens(head.account()))
                    .min()
                    .ifPresent(served::raiseFloor);
            heads.sort(Comparator.comparingDouble((WaitingRequest head) -> served.weightedTokens(head.account()))
                    .thenComparingInt(head -> rank(head, now))
                    .thenComparingLong(WaitingRequest::arrivedAt));
            return heads;
        }

        /**
         * Returns the first request of each account and class.
         *
         * @param waiting the waiting requests in order of arrival
         * @return the first ones
         */
        private static List<WaitingRequest> heads(Collection<WaitingRequest> waiting) {
            Map<AccountName, Map<LengthClass, WaitingRequest>> first = new HashMap<>();
            List<WaitingRequest> heads = new ArrayList<>();
            for (WaitingRequest request : waiting) {
                Map<LengthClass, WaitingRequest> ofAccount =
                        first.computeIfAbsent(request.account(), added -> new EnumMap<>(LengthClass.class));
                if (ofAccount.putIfAbsent(request.lengthClass(), request) == null) {
                    heads.add(request);
                }
            }
            return heads;
        }

        /**
         * Ranks a request within its account.
         *
         * @param request the request
         * @param now the present time, in milliseconds
         * @return the rank, the smallest first
         */
        private static int rank(WaitingRequest request, long now) {
            long whole = request.deadline() - request.arrivedAt();
            if (request.deadline() - now < whole * URGENT_PART) {
                return -1;
            }
            long aged = (now - request.arrivedAt()) / AGEING_MS;
            return (int) Math.max(0, request.lengthClass().ordinal() - aged);
        }
    }
}
