package org.bamboohatch.gateway.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.routing.fleet.Candidate;
import org.bamboohatch.routing.fleet.Demand;
import org.bamboohatch.routing.fleet.Placement;
import org.bamboohatch.routing.fleet.PlacementPolicy;
import org.bamboohatch.routing.fleet.Workload;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Calls of an engine to its prefill helpers are not sent by gateways, so that a cold helper could get too many of them. */
class ColdHelpersTest {

    private static final EngineCostModel ENGINE =
            new EngineCostModel(8, 450_000, 52, 0.925, 0.006, 0.00285, 256_000, 0.184, 2_048, 200, 0.05, 11_000, 1_600);

    private static final Demand PROMPT = new Demand(300_000, 1_040, 8_024, 800);

    private static final Demand MEDIUM_PROMPT = new Demand(45_000, 1_040, 1_514, 500);

    private static List<Candidate> engines(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> new Candidate(
                        new TargetName("engine-" + number), true, ENGINE.slots(), Workload.NONE, 0.1 * number, 1))
                .toList();
    }

    private static Optional<Placement> place(Demand demand, int count, int cold) {
        return ColdHelpers.placeWithout(
                PlacementPolicy.PREDICTED,
                demand,
                engines(count),
                Optional.of(ENGINE),
                target -> Integer.parseInt(target.value().substring("engine-".length())) < cold);
    }

    @Test
    void warmEnginesHelpAsBefore() {
        assertThat(place(PROMPT, 4, 0))
                .isEqualTo(PlacementPolicy.PREDICTED.place(PROMPT, engines(4), Optional.of(ENGINE)));
        assertThat(place(PROMPT, 4, 0).orElseThrow().prefillHelpers()).isNotEmpty();
    }

    @Test
    void aColdEngineIsNoHelper() {
        Placement placement = place(PROMPT, 4, 2).orElseThrow();
        assertThat(placement.prefillHelpers()).isSubsetOf(new TargetName("engine-2"), new TargetName("engine-3"));
    }

    /** After a power loss all engines are cold; prompts that a single one reads in time are served at its rate. */
    @Test
    void aPromptIsPlacedAtASingleEngineIfAllAreCold() {
        assertThat(place(MEDIUM_PROMPT, 4, 0).orElseThrow().prefillHelpers()).isNotEmpty();
        assertThat(place(MEDIUM_PROMPT, 4, 4).orElseThrow().prefillHelpers()).isEmpty();
    }

    /** A cold engine took 38 s for such a prompt, for longer than any caller waits. */
    @Test
    void aLongPromptIsNotSentToASingleColdEngine() {
        assertThat(place(PROMPT, 4, 4)).isEmpty();
    }

    private static OptionalLong coldMillis(String value) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(Dialect.DEFAULT.cold(), value);
        return new TargetNotices(Dialect.DEFAULT, null, null).coldMillis(head);
    }

    @ParameterizedTest
    @CsvSource({"0,0", "2500,2500", "1499.6,1500", "1e300,600000"})
    void theColdTimeIsReadFromResponses(String value, long millis) {
        assertThat(coldMillis(value)).hasValue(millis);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "soon", "-1", "NaN", "0x10"})
    void aMalformedColdTimeIsIgnored(String value) {
        assertThat(coldMillis(value)).isEmpty();
    }
}
