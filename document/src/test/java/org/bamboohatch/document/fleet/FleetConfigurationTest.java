package org.bamboohatch.document.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.ServiceName;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetConfigurationTest {

    private static final ServiceName PORTAL = new ServiceName("portal");

    private static final ServiceName SPARE = new ServiceName("spare");

    private static Route route(String name, String prefix, List<WeightedService> split, long timeout) {
        return new Route(
                name, "beads.example", prefix, RouteKind.IDEMPOTENT, timeout, 100, 1, split, 2, false, false, 0);
    }

    private static FleetConfiguration configuration(List<Route> routes, List<FleetAccount> accounts) {
        FleetService portal = new FleetService(PORTAL, "/healthz", 10, Optional.empty());
        return new FleetConfiguration(1, routes, List.of(portal), CallerLimits.DEFAULT, Optional.of(accounts));
    }

    private static List<WeightedService> onlyPortal() {
        return List.of(new WeightedService(PORTAL, 1));
    }

    @Test
    void validConfigurationHasNoProblems() {
        assertThat(configuration(List.of(route("a", "/a/", onlyPortal(), 10)), List.of())
                        .problems())
                .isEmpty();
    }

    @Test
    void allProblemsAreReported() {
        List<Route> routes = List.of(
                route("unknown", "/u/", List.of(new WeightedService(SPARE, 1)), 10),
                route("weightless", "/w/", List.of(new WeightedService(PORTAL, 0)), 10),
                route("timeless", "/t/", onlyPortal(), 0),
                route("twin", "/t/", onlyPortal(), 10));
        List<FleetAccount> accounts = List.of(
                new FleetAccount(new AccountName("one"), List.of("k"), 1),
                new FleetAccount(new AccountName("two"), List.of("k"), 1));
        assertThat(configuration(routes, accounts).problems())
                .hasSize(5)
                .anyMatch(problem -> problem.contains("unknown service"))
                .anyMatch(problem -> problem.contains("add up to nothing"))
                .anyMatch(problem -> problem.contains("timeout"))
                .anyMatch(problem -> problem.contains("same host"))
                .anyMatch(problem -> problem.contains("one of its keys"));
    }

    @Test
    void requestsAreSplitByWeight() {
        Route route = route(
                "split",
                "/s/",
                List.of(new WeightedService(PORTAL, 90), new WeightedService(SPARE, 0), new WeightedService(SPARE, 10)),
                10);
        Map<ServiceName, Integer> counts = new HashMap<>();
        for (long hash = -500; hash < 500; hash++) {
            counts.merge(route.serviceFor(hash), 1, Integer::sum);
        }
        assertThat(counts).containsEntry(PORTAL, 900).containsEntry(SPARE, 100);
    }

    @Test
    void routeKindDeterminesWhetherRequestsMayBeRepeated() {
        assertThat(RouteKind.IDEMPOTENT.mayRepeat(false)).isTrue();
        assertThat(RouteKind.NON_IDEMPOTENT.mayRepeat(true)).isFalse();
        assertThat(RouteKind.STREAMING.mayRepeat(false)).isFalse();
        assertThat(RouteKind.STREAMING.mayRepeat(true)).isTrue();
    }
}
