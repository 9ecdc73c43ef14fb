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

/** Strategy that determines the order in which waiting requests are dispatched. */
public interface QueueOrder {

    /**
     * Returns the requests that may be dispatched next, in order of preference.
     *
     * @param waiting the waiting requests in order of arrival
     * @param served tokens served to each account; a strategy may raise its floor
     * @param now current time, in milliseconds
     * @return the candidates, empty if no request is waiting
     */
    List<WaitingRequest> candidates(Collection<WaitingRequest> waiting, ServedTokens served, long now);

    /** First come, first served. A request without a suitable target blocks all later ones. */
    enum ForArrival implements QueueOrder {
        /** The singleton instance. */
        INSTANCE;

        @Override
        public List<WaitingRequest> candidates(Collection<WaitingRequest> waiting, ServedTokens served, long now) {
            return waiting.stream().limit(1).toList();
        }
    }

    /**
     * Weighted fair queueing between accounts: the account with the fewest served tokens comes first. Within an
     * account, shorter prompts come first, but waiting promotes a request and one that is close to its deadline
     * precedes all others.
     */
    enum ForFairShares implements QueueOrder {
        /** The singleton instance. */
        INSTANCE;

        /** Waiting time that promotes a request by one length class, in milliseconds. */
        private static final long AGEING_INTERVAL_MS = 2_000;

        /** Share of a request's total time before its deadline during which it precedes the account's others. */
        private static final double URGENT_SHARE = 0.25;

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
         * Returns the earliest request of each account and length class.
         *
         * @param waiting the waiting requests in order of arrival
         */
        private static List<WaitingRequest> heads(Collection<WaitingRequest> waiting) {
            Map<AccountName, Map<LengthClass, WaitingRequest>> headsByAccount = new HashMap<>();
            List<WaitingRequest> heads = new ArrayList<>();
            for (WaitingRequest request : waiting) {
                Map<LengthClass, WaitingRequest> headsOfAccount =
                        headsByAccount.computeIfAbsent(request.account(), added -> new EnumMap<>(LengthClass.class));
                if (headsOfAccount.putIfAbsent(request.lengthClass(), request) == null) {
                    heads.add(request);
                }
            }
            return heads;
        }

        /**
         * Returns the rank of a request within its account; the lowest rank comes first.
         *
         * @param request the waiting request
         * @param now current time, in milliseconds
         */
        private static int rank(WaitingRequest request, long now) {
            long totalMillis = request.deadline() - request.arrivedAt();
            if (request.deadline() - now < totalMillis * URGENT_SHARE) {
                return -1;
            }
            long promotions = (now - request.arrivedAt()) / AGEING_INTERVAL_MS;
            return (int) Math.max(0, request.lengthClass().ordinal() - promotions);
        }
    }
}
