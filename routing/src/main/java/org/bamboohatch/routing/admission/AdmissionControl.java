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

/** Decides whether an arriving request is admitted. */
public interface AdmissionControl {

    /**
     * Decides.
     *
     * @param request the request
     * @param pool the targets and the queue
     * @param random spreads the times at which refused callers come back
     * @param now the present time, in milliseconds
     * @return the decision
     */
    AdmissionDecision decide(WaitingRequest request, PoolView pool, RandomGenerator random, long now);

    /**
     * Tells whether a waiting request cannot finish in time any more, so that it is refused at once.
     *
     * @param request the request
     * @param pool the targets and the queue
     * @param now the present time, in milliseconds
     * @return whether it is given up
     */
    boolean willMissDeadline(WaitingRequest request, PoolView pool, long now);

    /** Admits everything. */
    enum Disabled implements AdmissionControl {
        /** The only instance. */
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
     * Admits what is predicted to finish in time. Under overload an account below its share displaces waiting
     * requests of the account that is furthest over its share.
     */
    enum ForPredictedFinish implements AdmissionControl {
        /** The only instance. */
        INSTANCE;

        /** The shortest time after which a refused caller is told to come back, in milliseconds. */
        private static final long MIN_RETRY_MS = 1_000;

        /** The longest such time, in milliseconds. */
        private static final long MAX_RETRY_MS = 30_000;

        /** Part of the time to the deadline that a prediction may use, which leaves room for its error. */
        private static final double SAFE_PART = 0.9;

        @Override
        public AdmissionDecision decide(WaitingRequest request, PoolView pool, RandomGenerator random, long now) {
            double allowed = (request.deadline() - now) * SAFE_PART;
            double alone = ownMillis(request, pool);
            double wait = waitMillis(request, pool, other -> true);
            if (wait + alone <= allowed) {
                return AdmissionDecision.Admit.WITHOUT_DISPLACEMENT;
            }
            Duration retryAfter = retryAfter(wait + alone - allowed, random);
            Map<AccountName, Double> queued = queuedByAccount(pool);
            double own = queued.getOrDefault(request.account(), 0.0) + request.weightedTokens();
            double mostQueued = queued.values().stream()
                    .mapToDouble(Double::doubleValue)
                    .max()
                    .orElse(0);
            if (alone > allowed || own > mostQueued) {
                return new AdmissionDecision.Refuse(retryAfter, own > mostQueued && alone <= allowed);
            }
            return displace(request, pool, queued, allowed - alone, retryAfter);
        }

        @Override
        public boolean willMissDeadline(WaitingRequest request, PoolView pool, long now) {
            double needed = ownMillis(request, pool)
                    + pool.shortestWaitMillis(request.lengthClass().priority());
            return needed > (request.deadline() - now) * SAFE_PART;
        }

        /**
         * Finds waiting requests whose refusal makes room.
         *
         * @param request the arriving request
         * @param pool the targets and the queue
         * @param queued weighted tokens that wait, by account
         * @param allowed time that the request may wait, in milliseconds
         * @param retryAfter when refused callers should come back
         * @return admission, or refusal if there is no room to be made
         */
        private static AdmissionDecision displace(
                WaitingRequest request,
                PoolView pool,
                Map<AccountName, Double> queued,
                double allowed,
                Duration retryAfter) {
            double own = queued.getOrDefault(request.account(), 0.0) + request.weightedTokens();
            List<WaitingRequest> latestFirst = new ArrayList<>(pool.waiting());
            latestFirst.sort(Comparator.comparingLong(WaitingRequest::arrivedAt).reversed());
            List<RequestId> displaced = new ArrayList<>();
            for (WaitingRequest victim : latestFirst) {
                double level = queued.getOrDefault(victim.account(), 0.0);
                boolean relevant = victim.lengthClass().compareTo(request.lengthClass()) <= 0;
                if (!relevant || level - victim.weightedTokens() < own) {
                    continue;
                }
                displaced.add(victim.id());
                queued.put(victim.account(), level - victim.weightedTokens());
                if (waitMillis(request, pool, other -> !displaced.contains(other.id())) <= allowed) {
                    return new AdmissionDecision.Admit(displaced, retryAfter);
                }
            }
            return new AdmissionDecision.Refuse(retryAfter, false);
        }

        /**
         * Predicts the time that a request needs once it is its turn.
         *
         * @param request the request
         * @param pool the targets and the queue
         * @return the time in milliseconds
         */
        private static double ownMillis(WaitingRequest request, PoolView pool) {
            double perToken = pool.millisPerPromptToken() * pool.availableTargets() * pool.capacityShare();
            return request.promptTokens() * perToken + request.outputTokens() * pool.millisPerOutputToken();
        }

        /**
         * Predicts the time until it is a request's turn: shorter and equal classes go first.
         *
         * @param request the request
         * @param pool the targets and the queue
         * @param counted which waiting requests count
         * @return the time in milliseconds
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
         * Sums what waits, by account.
         *
         * @param pool the targets and the queue
         * @return weighted tokens by account
         */
        private static Map<AccountName, Double> queuedByAccount(PoolView pool) {
            Map<AccountName, Double> queued = new HashMap<>();
            pool.waiting().forEach(waiting -> queued.merge(waiting.account(), waiting.weightedTokens(), Double::sum));
            return queued;
        }

        /**
         * Returns when to come back: after the excess has been worked off, spread by up to a half.
         *
         * @param excessMillis time by which the request would be late
         * @param random spreads the times
         * @return the delay
         */
        private static Duration retryAfter(double excessMillis, RandomGenerator random) {
            double spread = excessMillis * (1 + random.nextDouble() / 2);
            return Duration.ofMillis((long) Math.max(MIN_RETRY_MS, Math.min(MAX_RETRY_MS, spread)));
        }
    }
}
