package org.bamboohatch.protocol.message;

/**
 * Shows the leader how long an order has been under way. An order that states no version of what it changes must not take
 * effect after later orders, when its caller has given it up and sent it again.
 *
 * @param term term of the leader that issued the ticket
 * @param issuedAt time at which it was issued, in milliseconds of the leader's monotonic clock
 */
public record OrderTicket(long term, long issuedAt) {

    /** Time for which a ticket is accepted, in milliseconds; less than callers wait for a response. */
    private static final long VALIDITY_MS = 400;

    /**
     * Indicates whether the leader may carry out the order. The time counts on the clock of the leader alone.
     *
     * @param leaderTerm term of the leader that has received the order
     * @param now current time of its monotonic clock, in milliseconds
     * @return false if another leader issued the ticket, which may have carried out later orders since, or if it is too old
     */
    public boolean isValid(long leaderTerm, long now) {
        return term == leaderTerm && now - issuedAt <= VALIDITY_MS;
    }
}
