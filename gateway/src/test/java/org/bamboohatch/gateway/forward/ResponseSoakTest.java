package org.bamboohatch.gateway.forward;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against responses that callers take for complete and that no target sent to them so, whatever targets do. */
@Timeout(120)
class ResponseSoakTest {

    @ParameterizedTest
    @ValueSource(longs = {20261205, 38, 3})
    void aCompleteResponseIsTheWholeResponseOfOneTarget(long seed) throws Exception {
        ResponseSoak soak = new ResponseSoak(seed).run();

        assertThat(soak.violations()).isEmpty();
        assertThat(soak.outcomes())
                .containsKeys("/read/x complete", "/order/x complete", "/stream/x complete", "/generate/x complete");
    }
}
