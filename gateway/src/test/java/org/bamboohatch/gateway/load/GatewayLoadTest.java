package org.bamboohatch.gateway.load;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.MessageCodec;
import org.bamboohatch.routing.quarantine.TargetCrash;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.assertj.core.api.Assertions.assertThat;

/** Load reports are understood by builds that know fewer or more of their parts. */
class GatewayLoadTest {

    private static final TargetName ENGINE = new TargetName("engine-a");

    private static final ServiceName SERVICE = new ServiceName("engines");

    private static final GatewayLoad REPORT = new GatewayLoad(
            "gateway-1",
            new ZoneName("zone-a"),
            1,
            2,
            List.of(),
            List.of(),
            List.of(new GatewayLoad.Crash(
                    ENGINE, 7, 100, List.of(new RequestTrait("part")), TargetCrash.State.UNEXPLAINED)),
            List.of(new GatewayLoad.GeneratedTrait(new RequestTrait("part"), 200)),
            List.of(new GatewayLoad.Limit(ENGINE, 7, 1.5, 300), new GatewayLoad.Limit(ENGINE, 8, null, 300)),
            List.of(new GatewayLoad.Pause(ENGINE, 7, 400)),
            List.of(new GatewayLoad.ColdTime(ENGINE, 7, 3_000, 500)),
            List.of(new GatewayLoad.Ramp(ENGINE, 7, 3, 40, 50, -1)),
            new GatewayLoad.WaitingState(
                    List.of(
                            new GatewayLoad.WaitingRequests(SERVICE, 1, 7_000, 2, -30L),
                            new GatewayLoad.WaitingRequests(SERVICE, 2, 0, 3, null)),
                    List.of(new GatewayLoad.ServedTokens(new AccountName("oaxaca"), 260_000))));

    /** Decodes the report after a change of its encoded fields, which follow the name of the message type. */
    private static GatewayLoad decodeChanged(Consumer<Map<String, Object>> change) throws Exception {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        List<Object> message = mapper.readValue(MessageCodec.instance().encode(REPORT), new TypeReference<>() {});
        Map<String, Object> fields = mapper.convertValue(message.get(1), new TypeReference<>() {});
        change.accept(fields);
        byte[] changed = mapper.writeValueAsBytes(List.of(message.get(0), fields));
        return MessageCodec.instance().decode(changed, GatewayLoad.class);
    }

    @Test
    void allPartsAreEncoded() throws Exception {
        byte[] encoded = MessageCodec.instance().encode(REPORT);
        assertThat(MessageCodec.instance().decode(encoded, GatewayLoad.class)).isEqualTo(REPORT);
    }

    /** The gateways of an installation are updated one after the other. */
    @Test
    void aReportOfABuildWithFewerPartsIsUnderstood() throws Exception {
        GatewayLoad decoded = decodeChanged(fields -> fields.keySet()
                .removeAll(List.of("crashes", "generated", "limits", "pauses", "cold", "ramps", "waiting")));
        assertThat(decoded.gateway()).isEqualTo("gateway-1");
        assertThat(decoded.crashes()).isEmpty();
        assertThat(decoded.generated()).isEmpty();
        assertThat(decoded.limits()).isEmpty();
        assertThat(decoded.pauses()).isEmpty();
        assertThat(decoded.cold()).isEmpty();
        assertThat(decoded.ramps()).isEmpty();
        assertThat(decoded.waiting()).isNull();
    }

    @Test
    void aReportOfABuildWithMorePartsIsUnderstood() throws Exception {
        assertThat(decodeChanged(fields -> fields.put("later", List.of(1)))).isEqualTo(REPORT);
    }

    @Test
    void aCrashWithManySuspectsIsReportedInPieces() {
        List<RequestTrait> suspects = IntStream.range(0, 40)
                .mapToObj(number -> new RequestTrait("part-" + number))
                .toList();
        TargetCrash crash =
                new TargetCrash(new TargetIncarnation(ENGINE, 7), 1_000, suspects, TargetCrash.State.UNEXPLAINED);
        TargetCrash merged = GatewayLoad.Crash.of(crash, 1_100)
                .map(piece -> piece.toTargetCrash(1_100))
                .reduce(TargetCrash::merge)
                .orElseThrow();
        assertThat(merged).isEqualTo(crash);
    }

    @Test
    void aRefutedCrashWithoutSuspectsIsReported() {
        TargetCrash crash =
                new TargetCrash(new TargetIncarnation(ENGINE, 7), 1_000, List.of(), TargetCrash.State.REFUTED);
        assertThat(GatewayLoad.Crash.of(crash, 1_100).map(piece -> piece.toTargetCrash(1_100)))
                .containsExactly(crash);
    }
}
