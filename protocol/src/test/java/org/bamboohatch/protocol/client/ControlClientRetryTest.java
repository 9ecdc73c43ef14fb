package org.bamboohatch.protocol.client;

import org.bamboohatch.protocol.message.ControlRequest;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ControlClientRetryTest {

    private static final ControlRequest REGISTRATION = new ControlRequest.Register(null);

    /**
     * While there is no leader, calls that are repeated at a fixed interval keep the control processes from electing one:
     * after a power loss 60 targets announce themselves to each control process before any of them leads.
     */
    @Test
    void manyWaitingCallsDoNotFloodProcessesWithoutLeader() {
        assertThat(attemptsPerSecond(60)).isLessThan(300);
        assertThat(attemptsPerSecond(30)).isLessThan(300);
    }

    /** Operators give up after one second; their calls share the client with the registrations of all targets. */
    @Test
    void otherCallsDoNotWaitLongerForRegistrations() {
        assertThat(ControlClient.retryDelayMillis(new ControlRequest.GetFleet(), 60))
                .isEqualTo(50);
        assertThat(ControlClient.retryDelayMillis(REGISTRATION, 60)).isEqualTo(250);
    }

    /** A single target must find a new leader as soon as before. */
    @Test
    void fewWaitingRegistrationsAreRepeatedAfterTheUsualDelay() {
        for (int waiting = 1; waiting < 16; waiting++) {
            assertThat(ControlClient.retryDelayMillis(REGISTRATION, waiting)).isEqualTo(50);
        }
    }

    /** With a delay as long as the timeout of a call, the call would fail although there is a leader by then. */
    @Test
    void everyCallHasSeveralAttempts() {
        assertThat(ControlClient.retryDelayMillis(REGISTRATION, 100_000)).isEqualTo(250);
    }

    private static double attemptsPerSecond(int waiting) {
        return waiting * 1_000.0 / ControlClient.retryDelayMillis(REGISTRATION, waiting);
    }
}
