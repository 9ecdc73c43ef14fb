package org.bamboohatch.entry.dispatch;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.bamboohatch.entry.EntrySettings;
import org.bamboohatch.entry.configuration.ConfigurationStore;
import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.routing.admission.AdmissionDecision;
import org.bamboohatch.routing.admission.PoolView;

/**
 * Applies the admission rules of the routing policy to arriving and waiting requests. Confined to the dispatcher's
 * thread.
 */
@Singleton
public final class RequestAdmitter {

    private final EntrySettings settings;

    private final ConfigurationStore configuration;

    /** Spreads the retry times of rejected callers. */
    private final RandomGenerator random;

    /**
     * Creates an admitter with the policy and the random seed of the settings.
     *
     * @param settings the settings of the entry
     * @param configuration provides the number of entries that share the targets
     */
    @Inject
    public RequestAdmitter(EntrySettings settings, ConfigurationStore configuration) {
        this.settings = settings;
        this.configuration = configuration;
        this.random = settings.seed() == 0 ? new SplittableRandom() : new SplittableRandom(settings.seed());
    }

    /**
     * Decides whether a request is admitted. Rejects it otherwise, and also rejects the waiting requests that an
     * admitted one displaces.
     *
     * @param request the arriving request
     * @param pool queue and targets of the requested service
     * @param dispatcher ends the rejected requests
     * @param now current monotonic time, in milliseconds
     * @return {@code true} if the request is admitted, {@code false} if it has been rejected
     */
    boolean admitOrRefuse(CallerRequest request, ServicePool pool, Dispatcher dispatcher, long now) {
        long queued = pool.queue().values().stream()
                .filter(other -> other.routingView()
                        .account()
                        .equals(request.routingView().account()))
                .count();
        if (queued >= request.description().maximumQueued()) {
            dispatcher.refuse(
                    request,
                    Refusal.notRun(ErrorCode.OVER_LIMIT, "Too many requests of the account are waiting.")
                            .withRetryAfter(Duration.ofSeconds(1)));
            return false;
        }
        PoolView view = view(pool, request, now);
        if (view.availableTargets() == 0) {
            dispatcher.refuse(
                    request,
                    Refusal.notRun(ErrorCode.NO_TARGET, "No target of the service is available.")
                            .withRetryAfter(Duration.ofSeconds(1)));
            return false;
        }
        AdmissionDecision decision =
                settings.policy().admissionControl().decide(request.routingView(), view, random, now);
        if (decision instanceof AdmissionDecision.Refuse refuse) {
            ErrorCode code = refuse.overShare() ? ErrorCode.OVER_LIMIT : ErrorCode.OVERLOADED;
            dispatcher.refuse(
                    request,
                    Refusal.notRun(code, "The request cannot be finished in time at the present load.")
                            .withRetryAfter(refuse.retryAfter()));
            return false;
        }
        AdmissionDecision.Admit admit = (AdmissionDecision.Admit) decision;
        for (RequestId displaced : admit.displaced()) {
            CallerRequest other = pool.queue().remove(displaced);
            dispatcher.refuse(
                    other,
                    Refusal.notRun(ErrorCode.OVER_LIMIT, "The account is over its share at the present load.")
                            .withRetryAfter(admit.retryAfter()));
        }
        return true;
    }

    /**
     * Rejects waiting requests that will miss their deadline. Requests that have been attempted before are
     * kept.
     *
     * @param pool queue and targets of one service
     * @param dispatcher ends the rejected requests
     * @param now current monotonic time, in milliseconds
     */
    void refuseDeadlineMisses(ServicePool pool, Dispatcher dispatcher, long now) {
        Map<Optional<ModelName>, PoolView> views = new HashMap<>();
        for (CallerRequest request : List.copyOf(pool.queue().values())) {
            PoolView view = views.computeIfAbsent(
                    Optional.ofNullable(request.description().model()), model -> view(pool, request, now));
            if (request.attemptCount() == 0
                    && settings.policy().admissionControl().willMissDeadline(request.routingView(), view, now)) {
                pool.queue().remove(request.id());
                dispatcher.refuse(
                        request,
                        Refusal.notRun(ErrorCode.OVERLOADED, "The request cannot be finished in time any more.")
                                .withRetryAfter(Duration.ofSeconds(1)));
            }
        }
    }

    private PoolView view(ServicePool pool, CallerRequest request, long now) {
        int entryCount = configuration.snapshot().entryCount();
        return pool.view(request.description().model(), settings.zone(), entryCount, now);
    }
}
