package org.bamboohatch.replication.consensus;

import java.util.List;
import java.util.SplittableRandom;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.EntryKind;
import org.bamboohatch.replication.message.LogEntry;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage;
import org.bamboohatch.replication.message.ReplicaMessage.AppendReply;
import org.bamboohatch.replication.message.ReplicaMessage.AppendRequest;
import org.bamboohatch.replication.message.ReplicaMessage.Envelope;
import org.bamboohatch.replication.message.ReplicaMessage.VoteReply;
import org.bamboohatch.replication.message.ReplicaMessage.VoteRequest;
import org.bamboohatch.replication.message.Snapshot;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConsensusCoreTest {

    private static final Member ONE = member("1");
    private static final Member TWO = member("2");
    private static final Member THREE = member("3");

    private static Member member(String number) {
        return new Member(new ReplicaId(number), new HostName("host-" + number), "127.0.0.1:" + number);
    }

    private ReplicaId addressee = ONE.replica();

    private Envelope addressed(ReplicaMessage message) {
        return new Envelope(addressee, message, null);
    }

    private ConsensusCore core(Member self, Membership membership) {
        addressee = self.replica();
        Snapshot bootstrap = new Snapshot(1, 0, membership, new byte[0]);
        return new ConsensusCore(
                self.replica(),
                ConsensusTiming.DEFAULT,
                new SplittableRandom(1),
                HardState.INITIAL,
                bootstrap,
                List.of(),
                0,
                0);
    }

    private static boolean granted(ConsensusCore core) {
        return core.drain().afterSync().stream()
                .map(OutgoingMessage::message)
                .filter(VoteReply.class::isInstance)
                .map(VoteReply.class::cast)
                .reduce((first, second) -> second)
                .orElseThrow()
                .granted();
    }

    private static VoteRequest request(Member candidate, long term) {
        return new VoteRequest(candidate.replica(), term, false, 1, 0, false);
    }

    @Test
    void learnerGrantsVoteBecauseItMayHaveBeenPromoted() {
        ConsensusCore core = core(THREE, new Membership(List.of(ONE, TWO), List.of(THREE)));
        core.receive(addressed(request(ONE, 1)), 700);
        assertThat(granted(core)).isTrue();
    }

    @Test
    void voteIsRejectedWhileLeaderIsActive() {
        ConsensusCore core = core(ONE, new Membership(List.of(ONE, TWO, THREE), List.of()));
        core.receive(addressed(new AppendRequest(TWO.replica(), 1, 1, 0, List.of(), 1, 0)), 1_000);
        core.receive(addressed(request(THREE, 2)), 1_100);
        assertThat(granted(core)).isFalse();
    }

    @Test
    void onlyOneVoteIsGrantedPerTerm() {
        ConsensusCore core = core(ONE, new Membership(List.of(ONE, TWO, THREE), List.of()));
        core.receive(addressed(request(TWO, 1)), 700);
        assertThat(granted(core)).isTrue();
        core.receive(addressed(request(THREE, 1)), 701);
        assertThat(granted(core)).isFalse();
    }

    @Test
    void singleReplicaLeadsAndCommitsOnlyDurableEntries() {
        ConsensusCore core = core(ONE, new Membership(List.of(ONE), List.of()));
        core.tick(2_000);
        assertThat(core.role()).isEqualTo(Role.LEADER);
        assertThat(core.log().commitIndex()).isEqualTo(1);
        core.onPersisted(core.log().lastIndex(), 2_000);
        assertThat(core.log().commitIndex()).isEqualTo(2);
    }

    @Test
    void readsRequireAppliedEntryOfCurrentTerm() {
        ConsensusCore core = core(ONE, new Membership(List.of(ONE), List.of()));
        core.tick(2_000);
        assertThat(core.isLeadershipConfirmedSince(1_999, 2_000)).isFalse();
        core.onPersisted(core.log().lastIndex(), 2_000);
        while (core.log().nextCommitted().isPresent()) {
            assertThat(core.log().appliedIndex()).isPositive();
        }
        assertThat(core.isLeadershipConfirmedSince(1_999, 2_000)).isTrue();
    }

    @Test
    void learnerLosesLeaderAfterElectionTimeout() {
        ConsensusCore core = core(THREE, new Membership(List.of(ONE, TWO), List.of(THREE)));
        core.receive(addressed(new AppendRequest(ONE.replica(), 1, 1, 0, List.of(), 1, 0)), 1_000);
        assertThat(core.isLeaderLost(1_100)).isFalse();
        assertThat(core.isLeaderLost(1_001 + ConsensusTiming.DEFAULT.maximumElectionTimeoutMillis()))
                .isTrue();
    }

    @Test
    void entriesOfEarlierTermsAreNotCommittedByCountingReplicas() {
        Membership membership = new Membership(List.of(ONE, TWO, THREE), List.of());
        Snapshot bootstrap = new Snapshot(1, 0, membership, new byte[0]);
        LogEntry earlierEntry = new LogEntry(2, 1, EntryKind.COMMAND, new byte[] {1});
        ConsensusCore core = new ConsensusCore(
                ONE.replica(),
                ConsensusTiming.DEFAULT,
                new SplittableRandom(1),
                new HardState(1, null),
                bootstrap,
                List.of(earlierEntry),
                0,
                0);
        core.tick(2_000);
        core.receive(addressed(new VoteReply(TWO.replica(), 2, 1, true, true)), 2_001);
        core.receive(addressed(new VoteReply(TWO.replica(), 2, 2, false, true)), 2_002);
        assertThat(core.role()).isEqualTo(Role.LEADER);
        core.receive(addressed(new AppendReply(TWO.replica(), 2, true, 2, 2_002)), 2_003);
        assertThat(core.log().commitIndex()).isEqualTo(1);
        core.onPersisted(core.log().lastIndex(), 2_004);
        core.receive(addressed(new AppendReply(TWO.replica(), 2, true, 3, 2_004)), 2_005);
        assertThat(core.log().commitIndex()).isEqualTo(3);
    }

    @Test
    void messageToPreviousIdentityIsDropped() {
        ConsensusCore core = core(THREE, new Membership(List.of(ONE, TWO), List.of()));
        addressee = new ReplicaId("3-previous");
        core.receive(addressed(new AppendRequest(ONE.replica(), 1, 1, 0, List.of(), 1, 0)), 2_000);
        assertThat(core.drain().afterSync()).isEmpty();
        assertThat(core.isLeaderLost(2_001)).isTrue();
    }

    /**
     * Guards against stale reads from a leader that was suspended: its clock stood still while another leader was
     * elected.
     */
    @Test
    void resumedLeaderAnswersNoReadBeforeQuorumReplies() {
        ConsensusCore core = leaderOf(ONE, TWO);
        long suspendedAt = 3_000;
        core.tick(suspendedAt);
        core.receive(addressed(new AppendReply(TWO.replica(), core.term(), true, 2, suspendedAt)), suspendedAt);
        assertThat(core.isLeadershipConfirmedSince(suspendedAt - 1, suspendedAt))
                .isTrue();
        long resumedAt = suspendedAt + 1;
        assertThat(core.isLeadershipConfirmedSince(resumedAt, resumedAt)).isFalse();
        core.receive(addressed(new AppendReply(TWO.replica(), core.term() + 1, false, 0, resumedAt)), resumedAt + 5);
        assertThat(core.role()).isEqualTo(Role.FOLLOWER);
        assertThat(core.isLeadershipConfirmedSince(resumedAt, resumedAt + 5)).isFalse();
    }

    /** Members that have not heard from a leader since they started grant a pre-vote at once. */
    @Test
    void groupStartedTogetherElectsLeaderWithoutWaiting() {
        ConsensusCore core = core(ONE, new Membership(List.of(ONE, TWO, THREE), List.of()));
        core.tick(ConsensusTiming.DEFAULT.minimumElectionTimeoutMillis());
        assertThat(core.role()).isEqualTo(Role.PRE_CANDIDATE);
        ConsensusCore other = core(TWO, new Membership(List.of(ONE, TWO, THREE), List.of()));
        other.receive(new Envelope(TWO.replica(), new VoteRequest(ONE.replica(), 1, true, 1, 0, false), null), 1);
        assertThat(granted(other)).isTrue();
    }

    /** Without a transfer, the group is without a leader for an election timeout after each planned stop. */
    @Test
    void leaderThatHandsOverAsksAVoterWithAllEntriesAndAcceptsNoProposals() {
        ConsensusCore core = leaderOf(ONE, TWO);
        assertThat(core.propose(new byte[] {1}, 2_010)).hasValue(3);
        core.drain();
        core.transferLeadership(2_011);
        assertThat(transfers(core)).as("before the voter has the last entry").isEmpty();
        assertThat(core.propose(new byte[] {2}, 2_012)).isEmpty();
        core.receive(addressed(new AppendReply(TWO.replica(), core.term(), true, 3, 2_012)), 2_013);
        assertThat(transfers(core)).containsExactly(TWO.replica());
        long timedOut = 2_011 + ConsensusTiming.DEFAULT.minimumElectionTimeoutMillis();
        assertThat(core.propose(new byte[] {2}, timedOut))
                .as("no voter took over")
                .isPresent();
    }

    @Test
    void voterThatIsAskedToTakeOverIsElectedAtOnce() {
        Membership membership = new Membership(List.of(ONE, TWO, THREE), List.of());
        ConsensusCore candidate = core(TWO, membership);
        candidate.receive(addressed(new AppendRequest(ONE.replica(), 1, 1, 0, List.of(), 1, 0)), 1_000);
        candidate.receive(addressed(transfer(1)), 1_001);
        assertThat(candidate.role()).isEqualTo(Role.CANDIDATE);
        VoteRequest request = candidate.drain().afterSync().stream()
                .map(OutgoingMessage::message)
                .filter(VoteRequest.class::isInstance)
                .map(VoteRequest.class::cast)
                .findFirst()
                .orElseThrow();
        ConsensusCore voter = core(THREE, membership);
        voter.receive(addressed(new AppendRequest(ONE.replica(), 1, 1, 0, List.of(), 1, 0)), 1_000);
        voter.receive(addressed(request), 1_002);
        assertThat(granted(voter)).isTrue();
    }

    @Test
    void transferOfAnEarlierTermOrToALearnerIsIgnored() {
        ConsensusCore core = core(TWO, new Membership(List.of(ONE, TWO, THREE), List.of()));
        core.receive(addressed(new AppendRequest(ONE.replica(), 2, 1, 0, List.of(), 1, 0)), 1_000);
        core.receive(addressed(transfer(1)), 1_001);
        assertThat(core.role()).isEqualTo(Role.FOLLOWER);
        ConsensusCore learner = core(TWO, new Membership(List.of(ONE, THREE), List.of(TWO)));
        learner.receive(addressed(transfer(1)), 1_001);
        assertThat(learner.role()).isEqualTo(Role.FOLLOWER);
    }

    private static AppendRequest transfer(long term) {
        return new AppendRequest(ONE.replica(), term, 1, 0, List.of(), 1, 0, true);
    }

    private static List<ReplicaId> transfers(ConsensusCore core) {
        return core.drain().afterSync().stream()
                .filter(outgoing -> outgoing.message() instanceof AppendRequest request && request.transfer())
                .map(OutgoingMessage::to)
                .toList();
    }

    private ConsensusCore leaderOf(Member self, Member other) {
        ConsensusCore core = core(self, new Membership(List.of(self, other), List.of()));
        core.tick(2_000);
        core.receive(addressed(new VoteReply(other.replica(), 1, 0, true, true)), 2_001);
        core.receive(addressed(new VoteReply(other.replica(), 1, 1, false, true)), 2_002);
        core.onPersisted(core.log().lastIndex(), 2_003);
        core.receive(addressed(new AppendReply(other.replica(), core.term(), true, 2, 2_003)), 2_004);
        while (core.log().nextCommitted().isPresent()) {
            assertThat(core.log().appliedIndex()).isPositive();
        }
        return core;
    }
}
