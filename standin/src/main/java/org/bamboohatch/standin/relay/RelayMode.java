package org.bamboohatch.standin.relay;

/** Mode of a relay, which determines the directions that it forwards. */
public enum RelayMode {
    /** Forwards both directions. */
    PASS(true, true),
    /** Discards the data that clients send. */
    SILENT_UP(false, true),
    /** Discards the data that the target sends. */
    SILENT_DOWN(true, false),
    /** Discards the data of both directions. */
    SILENT(false, false);

    private final boolean forwardsToTarget;

    private final boolean forwardsToClient;

    RelayMode(boolean forwardsToTarget, boolean forwardsToClient) {
        this.forwardsToTarget = forwardsToTarget;
        this.forwardsToClient = forwardsToClient;
    }

    /**
     * Indicates whether the data of a direction is forwarded.
     *
     * @param fromClient whether the direction is from a client to the target, rather than back
     * @return whether the data is forwarded
     */
    public boolean forwards(boolean fromClient) {
        return fromClient ? forwardsToTarget : forwardsToClient;
    }
}
