package org.bamboohatch.replication.driver;

import java.util.List;

import net.jqwik.api.Example;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.Member;
import org.bamboohatch.replication.message.Membership;
import org.bamboohatch.replication.message.ReplicaMessage.AppendReply;
import org.bamboohatch.replication.message.ReplicaMessage.Envelope;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against answers that are dropped because the receiver's log does not name the sender. */
class PeerAddressesTest {

    private static final ReplicaId SELF = new ReplicaId("self-1");

    private static final Member VOTER = new Member(new ReplicaId("voter-1"), new HostName("voter"), "127.0.0.1:1");

    private static final Membership MEMBERSHIP = new Membership(List.of(VOTER), List.of());

    private final PeerAddresses addresses = new PeerAddresses();

    private static Envelope from(ReplicaId sender, String address) {
        return new Envelope(SELF, new AppendReply(sender, 1, true, 1, 0), address);
    }

    @Example
    void aSenderOutsideTheMembershipIsReached() {
        ReplicaId unknown = new ReplicaId("other-1");
        assertThat(addresses.find(unknown, MEMBERSHIP)).isEmpty();

        addresses.recordSender(from(unknown, "127.0.0.1:2"));

        assertThat(addresses.find(unknown, MEMBERSHIP)).contains("127.0.0.1:2");
    }

    @Example
    void membersAreReachedBeforeTheySendAndWhereTheySendFrom() {
        addresses.recordSender(from(VOTER.replica(), null));
        assertThat(addresses.find(VOTER.replica(), MEMBERSHIP)).contains("127.0.0.1:1");

        addresses.recordSender(from(VOTER.replica(), "127.0.0.1:3"));

        assertThat(addresses.find(VOTER.replica(), MEMBERSHIP)).contains("127.0.0.1:3");
    }

    @Example
    void theNumberOfSendersIsLimited() {
        for (int number = 0; number <= PeerAddresses.MAX_SENDERS; number++) {
            addresses.recordSender(from(new ReplicaId("other-" + number), "127.0.0.1:" + (number + 1)));
        }

        assertThat(addresses.senders()).hasSize(PeerAddresses.MAX_SENDERS).doesNotContain("127.0.0.1:1");
    }
}
