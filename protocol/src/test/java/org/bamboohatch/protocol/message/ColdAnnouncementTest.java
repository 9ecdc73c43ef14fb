package org.bamboohatch.protocol.message;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.assertj.core.api.Assertions.assertThat;

/** While an installation is updated, control and gateways of two builds tell each other of targets that are cold or not. */
class ColdAnnouncementTest {

    private static final TargetAnnouncement PLAIN = new TargetAnnouncement(
            new TargetName("engine-a"),
            new ServiceName("engines"),
            new HostName("host"),
            new ZoneName("zone-a"),
            "127.0.0.1:1",
            7,
            List.of(),
            0,
            8,
            false,
            3);

    private static Map<String, Object> fields(TargetAnnouncement announcement) throws Exception {
        return new ObjectMapper(new MessagePackFactory())
                .readValue(MessageCodec.instance().encode(announcement), new TypeReference<>() {});
    }

    @Test
    void aColdTimeAndItsAgeAreEncoded() throws Exception {
        TargetAnnouncement cold = PLAIN.withColdMillis(4_000).withColdAge(250);
        byte[] encoded = MessageCodec.instance().encode(cold);
        assertThat(MessageCodec.instance().decode(encoded, TargetAnnouncement.class))
                .isEqualTo(cold);
    }

    /** The fields of the previous build are all there is, in both directions. */
    @Test
    void anAnnouncementWithoutAColdTimeIsThatOfThePreviousBuild() throws Exception {
        Map<String, Object> fields = fields(PLAIN);
        assertThat(fields).doesNotContainKeys("coldMillis", "coldAgeMillis").hasSize(11);
        byte[] previous = new ObjectMapper(new MessagePackFactory()).writeValueAsBytes(fields);
        assertThat(MessageCodec.instance().decode(previous, TargetAnnouncement.class))
                .isEqualTo(PLAIN);
    }
}
