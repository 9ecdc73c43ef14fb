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

/** Dispatches waiting requests to targets by the routing policy. Confined to the dispatcher's thread. */
@Singleton
public final class RequestPlacer {

    private final EntrySettings settings;

    private final ConfigurationStore configuration;

    private final RequestEvents events;

    /**
     * Creates a placer with the routing policy of the settings.
     *
     * @param settings the settings of the entry
     * @param configuration provides the service documents and the ledger time
     * @param events records dispatched requests
     */
    @Inject
    public RequestPlacer(EntrySettings settings, ConfigurationStore configuration, RequestEvents events) {
        this.settings = settings;
        this.configuration = configuration;
        this.events = events;
    }

    /**
     * Dispatches waiting requests until the policy finds no target for any of them.
     *
     * @param pool queue and targets of one service
     * @param dispatcher handles the outcome of each attempt
     * @param now current monotonic time, in milliseconds
     */
    void dispatchWaiting(ServicePool pool, Dispatcher dispatcher, long now) {
        boolean placed = true;
        while (placed && !pool.queue().isEmpty()) {
            placed = false;
            List<WaitingRequest> eligible = pool.queue().values().stream()
                    .filter(request -> request.notBefore() <= now)
                    .map(CallerRequest::routingView)
                    .toList();
            for (WaitingRequest candidate :
                    settings.policy().queueOrder().candidates(eligible, pool.servedTokens(), now)) {
                CallerRequest request = pool.queue().get(candidate.id());
                List<TargetView> views = pool.targetViews(request.description().model(), settings.zone(), now);
                Optional<TargetView> target = settings.policy()
                        .targetSelector()
                        .select(candidate, views, longShare(request), pool.nextDecisionNumber());
                if (target.isPresent()) {
                    pool.queue().remove(candidate.id());
                    dispatch(pool, request, target.get().name(), dispatcher, now);
                    placed = true;
                    break;
                }
            }
        }
    }

    /**
     * Returns the share of an engine's memory that long prompts may reserve.
     *
     * @param request a request for the service whose document sets the share
     * @return the share, from zero to one; one if the service is unknown
     */
    private double longShare(CallerRequest request) {
        ServiceConfiguration service =
                configuration.snapshot().services().get(request.description().service());
        return service == null ? 1 : service.document().longShare();
    }

    private void dispatch(ServicePool pool, CallerRequest request, TargetName name, Dispatcher dispatcher, long now) {
        TargetConnection target = pool.targets().get(name);
        AttemptId attempt = AttemptId.random();
        WaitingRequest routingView = request.routingView();
        int priority = settings.policy().priority(routingView.lengthClass());
        request.beginAttempt(attempt);
        pool.servedTokens().recordServed(routingView);
        RoutingSnapshot snapshot = configuration.snapshot();
        Claim claim = request.description()
                .runKey()
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
                routingView.promptTokens(),
                routingView.outputTokens(),
                request.deliveredTokens(),
                claim,
                request.description().callFactory().create(attempt, priority, request.deliveredTokens()));
        target.runDispatched(
                attempt,
                new DispatchedRun(
                        target.announcement().memoryTokens() == 0 ? 0 : routingView.memoryTokens(),
                        routingView.promptTokens(),
                        priority,
                        routingView.lengthClass().isLong(),
                        false,
                        false),
                now);
        events.record(request, "dispatched", name + " " + attempt);
        new Attempt(dispatcher, request, attempt, target, pool).start(dispatch);
    }
}
