package org.bamboohatch.protocol.client;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ControlClientRetryTest {

    /**
     * While there is no leader, calls that are repeated at a fixed interval keep the control processes from electing one:
     * after a power loss 60 targets announce themselves to each control process before any of them leads.
     */
    @Test
    void manyWaitingCallsDoNotFloodProcessesWithoutLeader() {
        assertThat(attemptsPerSecond(60)).isLessThan(300);
        assertThat(attemptsPerSecond(30)).isLessThan(300);
    }

    /** A gateway's poll must find a new leader as soon as before. */
    @Test
    void fewWaitingCallsAreRepeatedAfterTheUsualDelay() {
        for (int waiting = 1; waiting < 16; waiting++) {
            assertThat(ControlClient.retryDelayMillis(waiting)).isEqualTo(50);
        }
    }

    /** With a delay as long as the timeout of a call, the call would fail although there is a leader by then. */
    @Test
    void everyCallHasSeveralAttempts() {
        assertThat(ControlClient.retryDelayMillis(100_000)).isEqualTo(250);
    }

    private static double attemptsPerSecond(int waiting) {
        return waiting * 1_000.0 / ControlClient.retryDelayMillis(waiting);
    }
}
