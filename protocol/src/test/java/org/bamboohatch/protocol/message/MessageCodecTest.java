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

    private static Frame again(Frame frame) throws IOException {
        return MessageCodec.instance().decode(MessageCodec.instance().encode(frame), Frame.class);
    }

    @Example
    void aDispatchSurvivesTheWire() throws IOException {
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
        Dispatch read = (Dispatch) again(new Frame(4, true, 5, dispatch)).body();
        assertThat(read).usingRecursiveComparison().isEqualTo(dispatch);
    }

    @Example
    void absentPartsStayAbsent() throws IOException {
        Frame read = again(new Frame(0, false, 1, new ConnectionMessage.Pong(null)));
        assertThat(read.body()).isEqualTo(new ConnectionMessage.Pong(null));
    }

    @Example
    void aLoadReportSurvivesTheWire() throws IOException {
        AgentReply.LoadReport report =
                new AgentReply.LoadReport(new Load(1, 2, List.of(1L, 2L, 3L, 4L, 5L), 0.5, true), 9);
        assertThat(again(new Frame(0, false, 1, new ConnectionMessage.Pong(report)))
                        .body())
                .isEqualTo(new ConnectionMessage.Pong(report));
    }

    @Property(tries = 2_000, seed = "20261204")
    void arbitraryBytesAreRefusedAndDoNoHarm(@ForAll byte[] bytes) {
        try {
            assertThat(MessageCodec.instance().decode(bytes, Frame.class)).isNotNull();
        } catch (IOException refused) {
            assertThat(refused).isNotNull();
        }
    }

    @Example
    void aTypeThatIsNotRegisteredIsRefused() {
        byte[] foreign = MessageCodec.instance().encode(List.of(1, true, 1, List.of("java.lang.Runtime", List.of())));
        assertThatThrownBy(() -> MessageCodec.instance().decode(foreign, Frame.class))
                .isInstanceOf(IOException.class);
    }

    /** Two catalogues once named a message of theirs alike, and every answer of agents was read as the other one. */
    @Example
    void twoMessagesWithTheSameNameAreRefused() {
        record Ping() implements Message {}
        assertThatThrownBy(() -> MessageCodec.byName(List.of(ConnectionMessage.Ping.class, Ping.class)))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("same name");
    }
}
