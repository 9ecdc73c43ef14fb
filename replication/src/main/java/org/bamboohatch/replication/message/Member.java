package org.bamboohatch.replication.message;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.kernel.id.ZoneName;

/**
 * A replica that takes part in the replicated log.
 *
 * @param replica the identity, which is stored in the replica's data folder and lost along with it
 * @param host the host on which the replica runs
 * @param address the host and port at which other replicas reach it
 * @param zone the availability zone of the host, null if it is unknown, as in records of older replicas
 * @param admittedAt the log index at which the host was admitted to a group that existed already, zero for a host that took
 *     part in the first start or has returned with its disk
 */
public record Member(ReplicaId replica, HostName host, String address, ZoneName zone, long admittedAt) {

    /**
     * Creates a replica in an unknown zone that has not been admitted to a group.
     *
     * @param replica the identity
     * @param host the host on which the replica runs
     * @param address the host and port at which other replicas reach it
     */
    public Member(ReplicaId replica, HostName host, String address) {
        this(replica, host, address, null);
    }

    /**
     * Creates a replica that has not been admitted to a group.
     *
     * @param replica the identity
     * @param host the host on which the replica runs
     * @param address the host and port at which other replicas reach it
     * @param zone the availability zone of the host, null if it is unknown
     */
    public Member(ReplicaId replica, HostName host, String address, ZoneName zone) {
        this(replica, host, address, zone, 0);
    }

    /**
     * Returns a copy that was admitted to a group.
     *
     * @param index the log index at which the host was admitted
     * @return the admitted replica
     */
    public Member withAdmission(long index) {
        return new Member(replica, host, address, zone, index);
    }

    /**
     * Indicates whether this replica is likely to replace another one: a planned replacement starts in the same zone before
     * its predecessor stops.
     *
     * @param other the other replica
     * @return {@code true} if both are in the same known zone and this one was admitted later
     */
    public boolean isSuccessorOf(Member other) {
        return zone != null && zone.equals(other.zone) && admittedAt > other.admittedAt;
    }
}
