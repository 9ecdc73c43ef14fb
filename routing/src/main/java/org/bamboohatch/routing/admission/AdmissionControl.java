package org.bamboohatch.routing.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.routing.WaitingRequest;

/** Strategy that decides whether an arriving request is admitted to the queue. */
public interface AdmissionControl {

    /**
     * Decides whether to admit a request.
     *
     * @param request the arriving request
     * @param pool targets and queue of the service
     * @param random source of the jitter of retry delays
     * @param now current time, in milliseconds
     * @return admission or refusal
     */
    AdmissionDecision decide(WaitingRequest request, PoolView pool, RandomGenerator random, long now);

    /**
     * Indicates whether a waiting request can no longer finish before its deadline, so that it is refused immediately.
     *
     * @param request the waiting request
     * @param pool targets and queue of the service
     * @param now current time, in milliseconds
     * @return {@code true} if the deadline is predicted to be missed
     */
    boolean willMissDeadline(WaitingRequest request, PoolView pool, long now);

    /** Admits every request. */
    enum Disabled implements AdmissionControl {
        /** The singleton instance. */
        INSTANCE;

        @Override
        public AdmissionDecision decide(WaitingRequest request, PoolView pool, RandomGenerator random, long now) {
            return AdmissionDecision.Admit.WITHOUT_DISPLACEMENT;
        }

        @Override
        public boolean willMissDeadline(WaitingRequest request, PoolView pool, long now) {
            return false;
        }
    }

    /**
     * Admits requests that are predicted to finish before their deadline. Under overload, a request displaces the
     * latest waiting requests of accounts that still have at least as many weighted tokens in the queue afterwards as
     * its own account.
     */
    enum ForPredictedFinish implements AdmissionControl {
        /** The singleton instance. */
        INSTANCE;

        /** Minimum retry delay of a refused request, in milliseconds. */
        private static final long MIN_RETRY_MS = 1_000;

        /** Maximum retry delay of a refused request, in milliseconds. */
        private static final long MAX_RETRY_MS = 30_000;

        /** Share of the remaining time that a prediction may use; the rest allows for prediction errors. */
        private static final double USABLE_TIME_SHARE = 0.9;

        @Override
        public AdmissionDecision decide(WaitingRequest request, PoolView pool, RandomGenerator random, long now) {
            double allowedMillis = (request.deadline() - now) * USABLE_TIME_SHARE;
            double runMillis = runMillis(request, pool);
            double waitMillis = waitMillis(request, pool, other -> true);
            if (waitMillis + runMillis <= allowedMillis) {
                return AdmissionDecision.Admit.WITHOUT_DISPLACEMENT;
            }
            Duration retryAfter = retryAfter(waitMillis + runMillis - allowedMillis, random);
            Map<AccountName, Double> queued = queuedByAccount(pool);
            double accountTokens = queued.getOrDefault(request.account(), 0.0) + request.weightedTokens();
            double mostQueued = queued.values().stream()
                    .mapToDouble(Double::doubleValue)
                    .max()
                    .orElse(0);
            if (runMillis > allowedMillis || accountTokens > mostQueued) {
                return new AdmissionDecision.Refuse(
                        retryAfter, accountTokens > mostQueued && runMillis <= allowedMillis);
            }
            return displace(request, pool, queued, allowedMillis - runMillis, retryAfter);
        }

        @Override
        public boolean willMissDeadline(WaitingRequest request, PoolView pool, long now) {
            double neededMillis = runMillis(request, pool)
                    + pool.shortestWaitMillis(request.lengthClass().priority());
            return neededMillis > (request.deadline() - now) * USABLE_TIME_SHARE;
        }

        /**
         * Selects waiting requests to refuse until the arriving one is predicted to start in time.
         *
         * @param request the arriving request
         * @param pool targets and queue of the service
         * @param queued weighted tokens in the queue by account; reduced by the displaced requests
         * @param allowedMillis time that the request may wait, in milliseconds
         * @param retryAfter retry delay of refused requests
         * @return admission, or refusal if displacing requests does not free enough capacity
         */
        private static AdmissionDecision displace(
                WaitingRequest request,
                PoolView pool,
                Map<AccountName, Double> queued,
                double allowedMillis,
                Duration retryAfter) {
            double accountTokens = queued.getOrDefault(request.account(), 0.0) + request.weightedTokens();
            List<WaitingRequest> latestFirst = new ArrayList<>(pool.waiting());
            latestFirst.sort(Comparator.comparingLong(WaitingRequest::arrivedAt).reversed());
            List<RequestId> displaced = new ArrayList<>();
            for (WaitingRequest candidate : latestFirst) {
                double candidateQueued = queued.getOrDefault(candidate.account(), 0.0);
                boolean ahead = candidate.lengthClass().compareTo(request.lengthClass()) <= 0;
                if (!ahead || candidateQueued - candidate.weightedTokens() < accountTokens) {
                    continue;
                }
                displaced.add(candidate.id());
                queued.put(candidate.account(), candidateQueued - candidate.weightedTokens());
                if (waitMillis(request, pool, other -> !displaced.contains(other.id())) <= allowedMillis) {
                    return new AdmissionDecision.Admit(displaced, retryAfter);
                }
            }
            return new AdmissionDecision.Refuse(retryAfter, false);
        }

        /**
         * Predicts the prefill and decode time of a request at one target, in milliseconds.
         *
         * @param request the request
         * @param pool targets and queue of the service
         */
        private static double runMillis(WaitingRequest request, PoolView pool) {
            double perToken = pool.millisPerPromptToken() * pool.availableTargets() * pool.capacityShare();
            return request.promptTokens() * perToken + request.outputTokens() * pool.millisPerOutputToken();
        }

        /**
         * Predicts the time until a request starts. Waiting requests of the same or a shorter length class go first.
         *
         * @param request the arriving request
         * @param pool targets and queue of the service
         * @param counted selects the waiting requests to take into account
         * @return the wait, in milliseconds
         */
        private static double waitMillis(WaitingRequest request, PoolView pool, Predicate<WaitingRequest> counted) {
            long ahead = pool.waiting().stream()
                    .filter(counted)
                    .filter(other -> other.lengthClass().compareTo(request.lengthClass()) <= 0)
                    .mapToLong(WaitingRequest::promptTokens)
                    .sum();
            return pool.shortestWaitMillis(request.lengthClass().priority()) + ahead * pool.millisPerPromptToken();
        }

        /**
         * Sums the weighted tokens of the waiting requests by account.
         *
         * @param pool targets and queue of the service
         */
        private static Map<AccountName, Double> queuedByAccount(PoolView pool) {
            Map<AccountName, Double> queued = new HashMap<>();
            pool.waiting().forEach(waiting -> queued.merge(waiting.account(), waiting.weightedTokens(), Double::sum));
            return queued;
        }

        /**
         * Returns the retry delay: the time in which the excess load is processed, extended by up to a half so that
         * refused callers do not return at the same time.
         *
         * @param excessMillis time by which the request would exceed its allowed time, in milliseconds
         * @param random source of the jitter
         * @return the delay within the bounds
         */
        private static Duration retryAfter(double excessMillis, RandomGenerator random) {
            double jittered = excessMillis * (1 + random.nextDouble() / 2);
            return Duration.ofMillis((long) Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, jittered)));
        }
    }
}
