package org.bamboohatch.entry.dispatch;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.util.List;
import java.util.Optional;

import org.bamboohatch.entry.EntrySettings;
import org.bamboohatch.entry.configuration.ConfigurationStore;
import org.bamboohatch.entry.configuration.RoutingSnapshot;
import org.bamboohatch.entry.configuration.ServiceConfiguration;
import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.AgentRequest.Claim;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.routing.WaitingRequest;
import org.bamboohatch.routing.target.TargetView;

/** Places waiting requests on targets by the routing policy; used on the dispatcher's thread only. */
@Singleton
public final class RequestPlacer {

    /** The settings. */
    private final EntrySettings settings;

    /** The configuration. */
    private final ConfigurationStore configuration;

    /** Records what happens. */
    private final RequestEvents events;

    /**
     * Creates a placer.
     *
     * @param settings the settings
     * @param configuration the configuration
     * @param events records what happens
     */
    @Inject
    public RequestPlacer(EntrySettings settings, ConfigurationStore configuration, RequestEvents events) {
        this.settings = settings;
        this.configuration = configuration;
        this.events = events;
    }

    /**
     * Dispatches waiting requests while there is a target for one.
     *
     * @param pool the pool
     * @param dispatcher goes on with the requests
     * @param now the present time, in milliseconds
     */
    void pump(ServicePool pool, Dispatcher dispatcher, long now) {
        boolean placed = true;
        while (placed && !pool.waiting().isEmpty()) {
            placed = false;
            List<WaitingRequest> eligible = pool.waiting().values().stream()
                    .filter(request -> request.notBefore() <= now)
                    .map(CallerRequest::waiting)
                    .toList();
            for (WaitingRequest candidate : settings.policy().queueOrder().candidates(eligible, pool.served(), now)) {
                CallerRequest request = pool.waiting().get(candidate.id());
                List<TargetView> views = pool.views(request.description().model(), settings.zone(), now);
                Optional<TargetView> target = settings.policy()
                        .targetSelector()
                        .select(candidate, views, longShare(request), pool.nextTurn());
                if (target.isPresent()) {
                    pool.waiting().remove(candidate.id());
                    dispatch(pool, request, target.get().name(), dispatcher, now);
                    placed = true;
                    break;
                }
            }
        }
    }

    /**
     * Returns the part of an engine that long prompts may hold.
     *
     * @param request the request
     * @return the part
     */
    private double longShare(CallerRequest request) {
        ServiceConfiguration service =
                configuration.snapshot().services().get(request.description().service());
        return service == null ? 1 : service.document().longShare();
    }

    /**
     * Sends a request to a target.
     *
     * @param pool the pool
     * @param request the request
     * @param name the target
     * @param dispatcher goes on with the request
     * @param now the present time, in milliseconds
     */
    private void dispatch(ServicePool pool, CallerRequest request, TargetName name, Dispatcher dispatcher, long now) {
        TargetConnection target = pool.targets().get(name);
        AttemptId attempt = AttemptId.random();
        WaitingRequest waiting = request.waiting();
        int priority = settings.policy().priority(waiting.lengthClass());
        request.beginAttempt(attempt);
        pool.served().recordServed(waiting);
        RoutingSnapshot snapshot = configuration.snapshot();
        Claim claim = request.description()
                .claim()
                .map(key -> new Claim(key, request.description().bodyHash(), snapshot.ledgerTime()))
                .orElse(null);
        ServiceConfiguration service =
                snapshot.services().get(request.description().service());
        Dispatch dispatch = new Dispatch(
                request.id(),
                attempt,
                request.description().service(),
                request.description().model(),
                service == null ? 0 : service.revision(),
                Math.max(1, request.deadline() - now),
                priority,
                waiting.promptTokens(),
                waiting.outputTokens(),
                request.deliveredTokens(),
                claim,
                request.description().template().call(attempt, priority, request.deliveredTokens()));
        target.dispatched(
                attempt,
                new OwnRun(
                        target.announcement().memoryTokens() == 0 ? 0 : waiting.memoryTokens(),
                        waiting.promptTokens(),
                        priority,
                        waiting.lengthClass().isLong(),
                        false,
                        false),
                now);
        events.record(request, "dispatched", name + " " + attempt);
        new Attempt(dispatcher, request, attempt, target, pool).begin(dispatch);
    }
}
