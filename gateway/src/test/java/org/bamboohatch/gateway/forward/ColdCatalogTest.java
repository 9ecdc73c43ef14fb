package org.bamboohatch.gateway.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.bamboohatch.document.fleet.CallerLimits;
import org.bamboohatch.document.fleet.FleetConfiguration;
import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.configuration.RouteTable;
import org.bamboohatch.gateway.load.ExchangedState;
import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.gateway.load.WaitingWork;
import org.bamboohatch.gateway.target.ColdTargets;
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetPauses;
import org.bamboohatch.gateway.target.TargetRamps;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.routing.quarantine.RequestQuarantine;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** A gateway learns in several ways which targets are cold; what it learns must neither outlast nor miss the cold time. */
class ColdCatalogTest {

    private static final ServiceName SERVICE = new ServiceName("portal");

    private static final long COLD_START_MS = 6_000;

    private final TargetLimits limits = new TargetLimits(new HostName("gateway-1"));

    private final ColdTargets cold = new ColdTargets(limits, ColdTargets.Observer.Disabled.INSTANCE);

    private final TargetRamps ramps = new TargetRamps(TargetRamps.Observer.Disabled.INSTANCE);

    private final ExchangedState state = new ExchangedState(
            new LoadTracker(),
            new LeavingTargets(),
            new TargetPauses(),
            limits,
            new RequestQuarantine(60_000, RequestQuarantine.Observer.Disabled.INSTANCE),
            cold,
            ramps,
            new WaitingWork("gateway-1"));

    private final TargetCatalog catalog = new TargetCatalog(new HostName("gateway-1"), new ZoneName("zone-a"), state);

    private double perSecond = 1;

    private long version;

    private static TargetAnnouncement target(String name, long incarnation) {
        return new TargetAnnouncement(
                new TargetName(name),
                SERVICE,
                new HostName("host"),
                new ZoneName("zone-a"),
                "127.0.0.1:1",
                incarnation,
                List.of(),
                0,
                4,
                false,
                1);
    }

    private static TargetAddress address(TargetAnnouncement target) {
        return new TargetAddress(target.target(), target.incarnation(), target.address());
    }

    private void apply(long now, TargetAnnouncement... targets) {
        Map<TargetName, TargetAnnouncement> members = new HashMap<>();
        for (TargetAnnouncement each : targets) {
            members.put(each.target(), each);
        }
        FleetService service = new FleetService(SERVICE, "/", 9, Optional.empty(), COLD_START_MS, perSecond);
        RouteTable table = new RouteTable(
                new FleetConfiguration(1, List.of(), List.of(service), CallerLimits.DEFAULT, Optional.empty()));
        version++;
        catalog.apply(new FleetView(Optional.of(table), 1, version, members, List.of()), now);
    }

    private boolean isCold(String name, long now) {
        catalog.candidates(SERVICE, Set.of(), now);
        return catalog.isCold(new TargetName(name), now);
    }

    @Test
    void anAnnouncedColdTimeEndsByItsOwnAge() {
        apply(1_000, target("a", 1).withColdMillis(4_000).withColdAge(500));
        assertThat(isCold("a", 4_400)).isTrue();
        assertThat(isCold("a", 4_800)).isFalse();
    }

    /** Each change of another target brings a copy that repeats the old announcement. */
    @Test
    void anAnnouncementThatIsRepeatedIsNoNewStatement() {
        TargetAnnouncement announcement = target("a", 1).withColdMillis(4_000);
        apply(0, announcement);
        apply(3_500, announcement, target("b", 1));
        assertThat(isCold("a", 4_300)).isFalse();
    }

    @Test
    void aHeaderFieldMakesATargetColdAndEndsItsColdTime() {
        apply(0, target("a", 1).withColdMillis(0));
        catalog.recordCold(address(target("a", 1)), 3_000, OptionalLong.of(900), 1_000);
        assertThat(isCold("a", 2_000)).isTrue();
        catalog.recordCold(address(target("a", 1)), 0, OptionalLong.of(2_100), 2_500);
        assertThat(isCold("a", 2_500)).isFalse();
    }

    /** While a target becomes cold again, responses from before are on their way from other zones. */
    @Test
    void aResponseToAnEarlierRequestDoesNotEndAColdTime() {
        apply(0, target("a", 1).withColdMillis(0));
        apply(10_000, target("a", 1).withColdMillis(5_000));
        catalog.recordCold(address(target("a", 1)), 0, OptionalLong.of(9_980), 10_005);
        catalog.recordCold(address(target("a", 1)), 0, OptionalLong.empty(), 10_006);
        assertThat(isCold("a", 10_010)).isTrue();
    }

    /** A target whose announcement says nothing, as through control of the previous build. */
    @Test
    void anIncarnationThatIsNewToAKnownServiceIsColdForTheConfiguredTime() {
        apply(0, target("a", 1), target("b", 1));
        apply(10_000, target("a", 2), target("b", 1));
        assertThat(isCold("a", 15_900)).isTrue();
        assertThat(isCold("a", 16_300)).isFalse();
        assertThat(isCold("b", 10_000)).isFalse();
    }

    /** A gateway that starts, or a new leader that hears of the targets one by one, sees many for the first time. */
    @Test
    void targetsThatAreNewToAGatewayThatStartsAreNotCold() {
        apply(0, target("a", 1));
        apply(1_500, target("a", 1), target("b", 1));
        assertThat(isCold("a", 1_500)).isFalse();
        assertThat(isCold("b", 1_500)).isFalse();
    }

    @Test
    void withoutARateNothingIsLimited() {
        perSecond = 0;
        apply(0, target("a", 1).withColdMillis(4_000));
        catalog.recordCold(address(target("a", 1)), 4_000, OptionalLong.of(50), 100);
        for (int request = 0; request < 10; request++) {
            assertThat(catalog.candidates(SERVICE, Set.of(), 200)).hasSize(1);
            catalog.recordDispatch(address(target("a", 1)), 200);
        }
        assertThat(cold.size()).isZero();
        assertThat(cold.newReport().takeAll(300)).isEmpty();
    }

    @Test
    void aConfigurationWithoutARateEndsTheLimit() {
        apply(0, target("a", 1).withColdMillis(9_000));
        assertThat(isCold("a", 100)).isTrue();
        perSecond = 0;
        apply(200, target("a", 1).withColdMillis(9_000));
        assertThat(isCold("a", 200)).isFalse();
        assertThat(catalog.candidates(SERVICE, Set.of(), 200)).hasSize(1);
    }

    @Test
    void aMemoryCommandTakesTheShareOfARequest() {
        apply(0, target("a", 1).withColdMillis(9_000));
        TargetAddress target = address(target("a", 1));
        long sendAt = limits.nextSendAt(target.toIncarnation(), 0);
        assertThat(catalog.acquireCommand(target, sendAt)).isTrue();
        assertThat(catalog.acquireCommand(target, sendAt)).isFalse();
        assertThat(catalog.acceptsRequests(target, sendAt)).isFalse();
    }

    @Test
    void theLowerOneOfANamedLimitAndTheColdRateApplies() {
        apply(0, target("a", 1).withColdMillis(9_000));
        TargetAddress target = address(target("a", 1));
        catalog.recordLimit(target, 0.2, 0);
        long sendAt = limits.nextSendAt(target.toIncarnation(), 0);
        catalog.recordDispatch(target, sendAt);
        assertThat(limits.nextSendAt(target.toIncarnation(), sendAt)).isGreaterThanOrEqualTo(sendAt + 4_000);
        assertThat(limits.coldSendAt(target.toIncarnation(), sendAt)).isLessThanOrEqualTo(sendAt + 2_000);
    }

    @Test
    void callersAreToldWhenAColdTargetTakesTheNextRequest() {
        apply(0, target("a", 1).withColdMillis(9_000));
        TargetAddress target = address(target("a", 1));
        long sendAt = limits.nextSendAt(target.toIncarnation(), 0);
        catalog.recordDispatch(target, sendAt);
        assertThat(catalog.shortestPauseMillis(SERVICE, sendAt)).isPresent();
        assertThat(cold.heldOff()).isZero();
        catalog.candidates(SERVICE, Set.of(), sendAt);
        assertThat(cold.heldOff()).isEqualTo(1);
    }

    private static TargetAnnouncement[] fleet(long incarnationOfFirst) {
        TargetAnnouncement[] targets = new TargetAnnouncement[5];
        for (int number = 0; number < targets.length; number++) {
            targets[number] =
                    target("t" + number, number == 0 ? incarnationOfFirst : 1).withColdMillis(0);
        }
        return targets;
    }

    private static TargetAnnouncement[] coldFor(long millis, TargetAnnouncement[] targets, int count) {
        TargetAnnouncement[] changed = targets.clone();
        for (int number = 0; number < count; number++) {
            changed[number] = targets[number].withColdMillis(millis);
        }
        return changed;
    }

    private boolean isCandidate(String name, long now) {
        return catalog.candidates(SERVICE, Set.of(), now).stream()
                .anyMatch(candidate -> candidate.name().value().equals(name));
    }

    private void run(String name, int requests, long now) {
        for (int number = 0; number < requests; number++) {
            state.loadTracker().add(new TargetName(name), 0, 0, false, true, 0, now);
        }
    }

    @Test
    void aTargetThatBecomesWarmGetsTwoRequestsAtATimeUntilItAnswers() {
        apply(0, coldFor(3_000, fleet(1), 1));
        run("t0", 2, 10_000);
        assertThat(isCandidate("t0", 10_000)).isFalse();
        assertThat(ramps.size()).isEqualTo(1);
        assertThat(ramps.heldOff()).isEqualTo(1);
        catalog.recordFirstEvent(address(target("t0", 1)), 10_000, true, 10_100);
        assertThat(isCandidate("t0", 10_100)).isTrue();
    }

    @Test
    void aTargetThatHasStartedWarmIsRamped() {
        apply(0, fleet(1));
        assertThat(ramps.size()).isZero();
        apply(10_000, fleet(2));
        assertThat(ramps.size()).isEqualTo(1);
    }

    /** After a power loss all targets become warm at almost the same time, and all of their capacity is needed. */
    @Test
    void thereIsNoRampIfMostTargetsStartTogether() {
        apply(0, coldFor(7_000, fleet(1), 5));
        catalog.candidates(SERVICE, Set.of(), 7_300);
        assertThat(ramps.size()).isZero();
        apply(20_000, coldFor(3_000, fleet(1), 2));
        catalog.candidates(SERVICE, Set.of(), 23_300);
        assertThat(ramps.size()).as("two of five").isEqualTo(2);
    }

    @Test
    void aTargetThatComesBackFromEjectionIsRamped() {
        apply(0, fleet(1));
        TargetAddress target = address(target("t1", 1));
        for (int failure = 0; failure < 3; failure++) {
            catalog.recordFailure(target, 10_000);
        }
        assertThat(ramps.size()).isZero();
        catalog.recordSuccess(target, 11_000);
        assertThat(ramps.size()).isEqualTo(1);
    }

    /** Otherwise a service whose targets are all at their limits would refuse what they could take. */
    @Test
    void aTargetAtItsLimitIsACandidateIfThereIsNoOther() {
        apply(0, coldFor(3_000, fleet(1), 1));
        run("t0", 2, 10_000);
        assertThat(catalog.candidates(
                        SERVICE,
                        Set.of(new TargetName("t1"), new TargetName("t2"), new TargetName("t3"), new TargetName("t4")),
                        10_000))
                .hasSize(1);
    }

    /** Requests would otherwise be sent to a target that fails them while one that has started could run them. */
    @Test
    void aTargetAtItsLimitComesBeforeAnEjectedOne() {
        apply(0, coldFor(3_000, fleet(1), 1));
        run("t0", 2, 10_000);
        for (int failure = 0; failure < 3; failure++) {
            catalog.recordFailure(address(target("t1", 1)), 10_000);
        }
        assertThat(catalog.candidates(
                        SERVICE, Set.of(new TargetName("t2"), new TargetName("t3"), new TargetName("t4")), 10_000))
                .extracting(candidate -> candidate.name().value())
                .containsExactly("t0");
    }

    @Test
    void withoutARateThereIsNoRamp() {
        perSecond = 0;
        apply(0, coldFor(3_000, fleet(1), 1));
        apply(10_000, fleet(2));
        TargetAddress target = address(target("t1", 1));
        for (int failure = 0; failure < 3; failure++) {
            catalog.recordFailure(target, 10_000);
        }
        catalog.recordSuccess(target, 11_000);
        assertThat(ramps.size()).isZero();
    }
}
