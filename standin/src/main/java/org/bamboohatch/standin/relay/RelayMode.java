package org.bamboohatch.standin.relay;

/** What a relay does with data. */
public enum RelayMode {
    /** Passes both directions. */
    PASS(true, true),
    /** Swallows what clients send. */
    SILENT_UP(false, true),
    /** Swallows what the target sends. */
    SILENT_DOWN(true, false),
    /** Swallows both directions. */
    SILENT(false, false);

    /** Whether data of clients passes. */
    private final boolean up;

    /** Whether data of the target passes. */
    private final boolean down;

    /**
     * Creates a mode.
     *
     * @param up whether data of clients passes
     * @param down whether data of the target passes
     */
    RelayMode(boolean up, boolean down) {
        this.up = up;
        this.down = down;
    }

    /**
     * Tells whether a direction passes.
     *
     * @param fromClient whether the data comes from a client
     * @return whether it passes
     */
    public boolean passes(boolean fromClient) {
        return fromClient ? up : down;
    }
}
