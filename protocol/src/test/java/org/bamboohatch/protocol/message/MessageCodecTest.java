package org.bamboohatch.protocol.message;

import java.io.IOException;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.protocol.message.AgentRequest.Claim;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class MessageCodecTest {

    private static Frame encodeAndDecode(Frame frame) throws IOException {
        return MessageCodec.instance().decode(MessageCodec.instance().encode(frame), Frame.class);
    }

    @Example
    void decodesEncodedDispatch() throws IOException {
        Dispatch dispatch = new Dispatch(
                new RequestId("r"),
                new AttemptId("a"),
                new ServiceName("s"),
                new ModelName("m"),
                7,
                1_000,
                2,
                500,
                32,
                3,
                new Claim(new RunKey(new AccountName("oaxaca"), "key"), "hash", 9),
                new TargetCall("POST", "/x", "application/json", new byte[] {1, 2}));
        Dispatch decoded =
                (Dispatch) encodeAndDecode(new Frame(4, true, 5, dispatch)).body();
        assertThat(decoded).usingRecursiveComparison().isEqualTo(dispatch);
    }

    @Example
    void decodesMissingComponentAsNull() throws IOException {
        Frame decoded = encodeAndDecode(new Frame(0, false, 1, new ConnectionMessage.Pong(null)));
        assertThat(decoded.body()).isEqualTo(new ConnectionMessage.Pong(null));
    }

    @Example
    void decodesEncodedLoadReport() throws IOException {
        AgentReply.LoadReport report =
                new AgentReply.LoadReport(new Load(1, 2, List.of(1L, 2L, 3L, 4L, 5L), 0.5, true), 9);
        assertThat(encodeAndDecode(new Frame(0, false, 1, new ConnectionMessage.Pong(report)))
                        .body())
                .isEqualTo(new ConnectionMessage.Pong(report));
    }

    @Property(tries = 2_000, seed = "20261204")
    void decodingArbitraryBytesThrowsNothingButIoException(@ForAll byte[] bytes) {
        try {
            assertThat(MessageCodec.instance().decode(bytes, Frame.class)).isNotNull();
        } catch (IOException malformed) {
            assertThat(malformed).isNotNull();
        }
    }

    @Example
    void rejectsUnregisteredType() {
        byte[] unregistered =
                MessageCodec.instance().encode(List.of(1, true, 1, List.of("java.lang.Runtime", List.of())));
        assertThatThrownBy(() -> MessageCodec.instance().decode(unregistered, Frame.class))
                .isInstanceOf(IOException.class);
    }

    /**
     * Two catalogs once contained message types of the same simple name, so that every reply of an agent was decoded as
     * the other type.
     */
    @Example
    void rejectsTwoTypesOfTheSameName() {
        record Ping() implements Message {}
        assertThatThrownBy(() -> MessageCodec.typesByName(List.of(ConnectionMessage.Ping.class, Ping.class)))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("same name");
    }
}
