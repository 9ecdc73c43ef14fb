package org.bamboohatch.replication.consensus;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.ReplicaMessage;

/**
 * A message to send to another replica.
 *
 * @param to the identity of the receiving replica
 * @param message the consensus message
 */
public record OutgoingMessage(ReplicaId to, ReplicaMessage message) {}
