package org.bamboohatch.gateway.forward;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.load.ExchangedState;
import org.bamboohatch.gateway.load.LoadTracker;
import org.bamboohatch.gateway.target.LeavingTargets;
import org.bamboohatch.gateway.target.TargetAddress;
import org.bamboohatch.gateway.target.TargetLimits;
import org.bamboohatch.gateway.target.TargetPauses;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.EvacuatedZones;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.routing.quarantine.RequestQuarantine;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Word of a target binds and its observed health only ranks it, whatever follows what. */
class TargetCatalogTest {

    private static final ServiceName SERVICE = new ServiceName("portal");

    private static final TargetAddress TARGET = new TargetAddress(new TargetName("target-a"), 7, "127.0.0.1:1");

    private final ExchangedState state = new ExchangedState(
            new LoadTracker(),
            new LeavingTargets(),
            new TargetPauses(),
            new TargetLimits(new HostName("gateway-1")),
            new RequestQuarantine(60_000, RequestQuarantine.Observer.Disabled.INSTANCE));

    private final TargetCatalog catalog = new TargetCatalog(new HostName("gateway-1"), new ZoneName("zone-a"), state);

    @BeforeEach
    void announceTarget() {
        apply(EvacuatedZones.NONE, true);
    }

    private void apply(EvacuatedZones evacuated, boolean member) {
        TargetAnnouncement announcement = new TargetAnnouncement(
                TARGET.target(),
                SERVICE,
                new HostName("host"),
                new ZoneName("zone-a"),
                TARGET.address(),
                TARGET.incarnation(),
                List.of(),
                0,
                4,
                false,
                1);
        Map<TargetName, TargetAnnouncement> members = member ? Map.of(TARGET.target(), announcement) : Map.of();
        catalog.apply(new FleetView(Optional.empty(), 1, 1, members, List.of(), evacuated), 0);
    }

    private boolean hasCandidate(long now) {
        return catalog.hasCandidate(SERVICE, Set.of(), now);
    }

    @Test
    void successDoesNotEndPause() {
        catalog.recordPauseRequest(TARGET, 2_000, 100);
        catalog.recordSuccess(TARGET, 200);
        assertThat(catalog.acceptsRequests(TARGET, 1_000)).isFalse();
        assertThat(hasCandidate(1_000)).isFalse();
        assertThat(hasCandidate(2_100)).isTrue();
    }

    /** Arrived reports are read at intervals only; a decision between two of them would rest on an older view. */
    @Test
    void decisionsApplyArrivedReports() {
        int[] readings = new int[1];
        state.loadTracker().trigger().connect(() -> readings[0]++, () -> {});
        catalog.candidates(SERVICE, Set.of(), 0);
        assertThat(readings[0]).as("choice of a target").isEqualTo(1);
        catalog.hasCandidate(SERVICE, Set.of(), 0);
        assertThat(readings[0]).as("decision on a retry").isEqualTo(2);
        catalog.shortestPauseMillis(SERVICE, 0);
        assertThat(readings[0]).as("retry delay of a refusal").isEqualTo(3);
        new RequestMonitor(state.quarantine(), catalog, List.of()).admit(0);
        assertThat(readings[0]).as("admission in spite of the quarantine").isEqualTo(4);
    }

    /** A target that leaves ends its connections; taken for a crash, this puts requests into quarantine. */
    @Test
    void anEndIsNoCrashIfAnArrivedReportNamesTheTargetAsLeaving() {
        List<RequestTrait> traits = List.of(new RequestTrait("part-1"));
        state.loadTracker()
                .trigger()
                .connect(() -> state.leavingTargets().addReported(TARGET.toIncarnation(), 0), () -> {});
        RequestQuarantine.PendingReport report = state.quarantine().newReport();
        new RequestMonitor(state.quarantine(), catalog, traits).recordCrash(TARGET, 0);
        assertThat(report.takeChanges().crashes()).isEmpty();
    }

    @Test
    void ejectionIsNoPause() {
        for (int failure = 0; failure < 3; failure++) {
            catalog.recordFailure(TARGET, 0);
        }
        assertThat(catalog.acceptsRequests(TARGET, 0)).isTrue();
        assertThat(catalog.shortestPauseMillis(SERVICE, 0)).isEmpty();
        assertThat(catalog.candidates(SERVICE, Set.of(), 0))
                .as("the only one, though ejected")
                .hasSize(1);
    }

    @Test
    void aPauseThatAnotherGatewayReportsIsObeyed() {
        state.pauses().addReported(TARGET.toIncarnation(), 2_000, 100);
        assertThat(hasCandidate(1_999)).isFalse();
        assertThat(catalog.shortestPauseMillis(SERVICE, 1_000)).hasValue(1_000);
    }

    @Test
    void aTargetAtItsLimitIsNoCandidate() {
        catalog.recordLimit(TARGET, 1, 100);
        long sendAt = state.limits().nextSendAt(TARGET.toIncarnation(), 100);
        catalog.recordDispatch(TARGET, sendAt);
        assertThat(hasCandidate(sendAt + 500)).isFalse();
        assertThat(catalog.shortestPauseMillis(SERVICE, sendAt)).isPresent();
        assertThat(hasCandidate(sendAt + 1_001)).isTrue();
    }

    /** Nothing is sent to an evacuated zone, not even if it has the only targets; that is what an ejection permits. */
    @Test
    void aTargetInAnEvacuatedZoneIsNoCandidateAlthoughItIsTheOnlyOne() {
        apply(EvacuatedZones.of(1, List.of(new ZoneName("zone-a"))), true);
        assertThat(hasCandidate(0)).isFalse();
        assertThat(catalog.candidates(SERVICE, Set.of(), 0)).isEmpty();
        assertThat(catalog.acceptsRequests(TARGET, 0)).isFalse();
        assertThat(catalog.isKnown(TARGET.target())).as("its requests continue").isTrue();
        apply(EvacuatedZones.of(2, List.of(new ZoneName("zone-b"))), true);
        assertThat(hasCandidate(0)).isTrue();
        assertThat(catalog.acceptsRequests(TARGET, 0)).isTrue();
    }

    /** A half-open trial after an ejection is a request like any other. */
    @Test
    void anEjectedTargetInAnEvacuatedZoneIsNotTried() {
        for (int failure = 0; failure < 3; failure++) {
            catalog.recordFailure(TARGET, 0);
        }
        apply(EvacuatedZones.of(1, List.of(new ZoneName("zone-a"))), true);
        assertThat(hasCandidate(0)).isFalse();
        assertThat(hasCandidate(600_000)).isFalse();
    }

    /** Callers would otherwise be told to come back when a pause ends in a zone that takes no requests. */
    @Test
    void aPauseInAnEvacuatedZoneTellsNothingAboutTheReturn() {
        catalog.recordPauseRequest(TARGET, 2_000, 100);
        assertThat(catalog.shortestPauseMillis(SERVICE, 100)).isPresent();
        apply(EvacuatedZones.of(1, List.of(new ZoneName("zone-a"))), true);
        assertThat(catalog.shortestPauseMillis(SERVICE, 100)).isEmpty();
    }

    /** The lease of a target may end between the placement and the send of a request, and its zone is evacuated. */
    @Test
    void aTargetThatIsNoLongerAMemberGetsNothingWhileAZoneIsEvacuated() {
        apply(EvacuatedZones.NONE, false);
        assertThat(catalog.acceptsRequests(TARGET, 0)).isTrue();
        apply(EvacuatedZones.of(1, List.of(new ZoneName("zone-a"))), false);
        assertThat(catalog.acceptsRequests(TARGET, 0)).isFalse();
    }
}
