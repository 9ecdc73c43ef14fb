package org.bamboohatch.replication.consensus;

import org.bamboohatch.kernel.id.ReplicaId;
import org.bamboohatch.replication.message.ReplicaMessage;

/**
 * A message to send.
 *
 * @param to the receiver
 * @param message the message
 */
public record OutgoingMessage(ReplicaId to, ReplicaMessage message) {}
