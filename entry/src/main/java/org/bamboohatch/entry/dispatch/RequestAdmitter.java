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

/** Admits arriving requests and gives up on waiting ones by the routing policy; used on the dispatcher's thread only. */
@Singleton
public final class RequestAdmitter {

    /** The settings. */
    private final EntrySettings settings;

    /** The configuration. */
    private final ConfigurationStore configuration;

    /** Spreads the times at which refused callers come back. */
    private final RandomGenerator random;

    /**
     * Creates an admitter.
     *
     * @param settings the settings
     * @param configuration the configuration
     */
    @Inject
    public RequestAdmitter(EntrySettings settings, ConfigurationStore configuration) {
        this.settings = settings;
        this.configuration = configuration;
        this.random = settings.seed() == 0 ? new SplittableRandom() : new SplittableRandom(settings.seed());
    }

    /**
     * Decides whether a request is admitted; it and those that it displaces are refused at once.
     *
     * @param request the request
     * @param pool the pool
     * @param dispatcher ends the requests
     * @param now the present time, in milliseconds
     * @return whether the request is admitted
     */
    boolean admits(CallerRequest request, ServicePool pool, Dispatcher dispatcher, long now) {
        long queued = pool.waiting().values().stream()
                .filter(other ->
                        other.waiting().account().equals(request.waiting().account()))
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
        AdmissionDecision decision = settings.policy().admissionControl().decide(request.waiting(), view, random, now);
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
            CallerRequest other = pool.waiting().remove(displaced);
            dispatcher.refuse(
                    other,
                    Refusal.notRun(ErrorCode.OVER_LIMIT, "The account is over its share at the present load.")
                            .withRetryAfter(admit.retryAfter()));
        }
        return true;
    }

    /**
     * Refuses waiting requests that cannot finish in time any more.
     *
     * @param pool the pool
     * @param dispatcher ends the requests
     * @param now the present time, in milliseconds
     */
    void refuseHopeless(ServicePool pool, Dispatcher dispatcher, long now) {
        Map<Optional<ModelName>, PoolView> views = new HashMap<>();
        for (CallerRequest request : List.copyOf(pool.waiting().values())) {
            PoolView view = views.computeIfAbsent(
                    Optional.ofNullable(request.description().model()), model -> view(pool, request, now));
            if (request.attempts() == 0
                    && settings.policy().admissionControl().willMissDeadline(request.waiting(), view, now)) {
                pool.waiting().remove(request.id());
                dispatcher.refuse(
                        request,
                        Refusal.notRun(ErrorCode.OVERLOADED, "The request cannot be finished in time any more.")
                                .withRetryAfter(Duration.ofSeconds(1)));
            }
        }
    }

    /**
     * Describes a request's pool.
     *
     * @param pool the pool
     * @param request the request
     * @param now the present time, in milliseconds
     * @return the description
     */
    private PoolView view(ServicePool pool, CallerRequest request, long now) {
        int entries = configuration.snapshot().entries();
        return pool.view(request.description().model(), settings.zone(), entries, now);
    }
}
