package org.bamboohatch.routing.target;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.Requests;
import org.bamboohatch.routing.WaitingRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class TargetSelectorTest {

    private static final WaitingRequest SHORT = Requests.of("a", 1_000, 0, 60_000);
    private static final WaitingRequest LONG = Requests.of("a", 100_000, 0, 60_000);

    private static TargetView view(
            String name,
            boolean sameZone,
            long reservedTokens,
            long longPromptReservedTokens,
            int runs,
            long urgentWaitingTokens,
            boolean available) {
        return new TargetView(
                new TargetName(name),
                sameZone,
                400_000,
                reservedTokens,
                longPromptReservedTokens,
                runs,
                64,
                List.of(urgentWaitingTokens, 0L, 0L, 0L, 0L),
                0.02,
                available);
    }

    private static Optional<String> select(WaitingRequest request, TargetView... targets) {
        return TargetSelector.ForPredictedLatency.INSTANCE
                .select(request, List.of(targets), 0.5, 0)
                .map(target -> target.name().value());
    }

    @Test
    void selectsTargetWithShortestWait() {
        assertThat(select(SHORT, view("a", true, 0, 0, 1, 5_000, true), view("b", true, 0, 0, 1, 100, true)))
                .contains("b");
    }

    @Test
    void prefersOwnZoneWhenWaitsAreEqual() {
        assertThat(select(SHORT, view("a", false, 0, 0, 0, 0, true), view("b", true, 0, 0, 0, 0, true)))
                .contains("b");
    }

    @Test
    void selectsNoTargetWithLongWait() {
        assertThat(select(SHORT, view("a", true, 0, 0, 3, 50_000, true))).isEmpty();
    }

    @Test
    void selectsNoUnavailableTarget() {
        assertThat(select(SHORT, view("a", true, 0, 0, 0, 0, false))).isEmpty();
    }

    @Test
    void selectsNoTargetWithoutFreeMemory() {
        assertThat(select(SHORT, view("a", true, 399_500, 0, 1, 0, true))).isEmpty();
    }

    @Test
    void limitsLongPromptsToTheirShareOfMemory() {
        assertThat(select(LONG, view("a", true, 150_000, 150_000, 1, 0, true))).isEmpty();
        assertThat(select(LONG, view("a", true, 50_000, 50_000, 1, 0, true))).contains("a");
    }

    @Test
    void longPromptMayExceedShareOnTargetWithoutOtherLongPrompts() {
        WaitingRequest longest = Requests.of("a", 390_000, 0, 60_000);
        assertThat(select(longest, view("a", true, 0, 0, 0, 0, true))).contains("a");
    }

    @Test
    void roundRobinRotatesTargets() {
        TargetView[] views = {view("a", true, 0, 0, 0, 0, true), view("b", true, 0, 0, 0, 0, true)};
        assertThat(IntStream.range(0, 4)
                        .mapToObj(turn -> TargetSelector.ForRoundRobin.INSTANCE.select(SHORT, List.of(views), 1, turn))
                        .map(target -> target.orElseThrow().name().value()))
                .containsExactly("a", "b", "a", "b");
    }

    @Test
    void fewestRunsSelectsLeastLoadedTarget() {
        List<TargetView> views = List.of(view("a", true, 0, 0, 2, 0, true), view("b", false, 0, 0, 1, 0, true));
        assertThat(TargetSelector.ForFewestRuns.INSTANCE
                        .select(SHORT, views, 1, 0)
                        .orElseThrow()
                        .name()
                        .value())
                .isEqualTo("b");
    }

    @Test
    void subsetChangesByAddedTargetOnly() {
        List<TargetName> many = IntStream.range(0, 200)
                .mapToObj(number -> new TargetName("t" + number))
                .toList();
        List<TargetName> before = TargetSubset.select(new HostName("entry"), many);
        List<TargetName> after = TargetSubset.select(
                new HostName("entry"),
                Stream.concat(many.stream(), Stream.of(new TargetName("new"))).toList());
        assertThat(before).hasSize(TargetSubset.MAX_TARGETS);
        assertThat(after.stream().filter(name -> !before.contains(name)).count())
                .isLessThanOrEqualTo(1);
    }

    @Test
    void subsetsAreSpreadEvenlyOverTargets() {
        List<TargetName> many = IntStream.range(0, 48)
                .mapToObj(number -> new TargetName("t" + number))
                .toList();
        int[] uses = new int[many.size()];
        for (int entry = 0; entry < 100; entry++) {
            TargetSubset.select(new HostName("entry-" + entry), many).forEach(name -> uses[many.indexOf(name)]++);
        }
        int mean = 100 * TargetSubset.MAX_TARGETS / many.size();
        assertThat(IntStream.of(uses).min().orElseThrow()).isGreaterThan(mean / 2);
        assertThat(IntStream.of(uses).max().orElseThrow()).isLessThan(mean + mean / 2);
    }
}
