package org.bamboohatch.control.state;

import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.protocol.message.ControlReply.Applied;
import org.bamboohatch.protocol.message.ControlReply.Conflict;
import org.bamboohatch.protocol.message.ControlRequest.ApplyDocument;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DocumentStateMachineTest {

    private static final ServiceName SERVICE = new ServiceName("portal");

    private final DocumentStateMachine documents = new DocumentStateMachine();

    private Object apply(String change, long base, String text) {
        return documents.apply(new ApplyDocument(change, SERVICE, base, text));
    }

    @Test
    void changeOfCurrentRevisionIsApplied() {
        assertThat(apply("a", 0, "x")).isEqualTo(new Applied(1));
        assertThat(apply("b", 1, "y")).isEqualTo(new Applied(2));
    }

    @Test
    void secondChangeOfSameRevisionIsAConflict() {
        apply("a", 0, "x");
        assertThat(apply("b", 1, "y")).isEqualTo(new Applied(2));
        assertThat(apply("c", 1, "z")).isEqualTo(new Conflict(2, "b"));
    }

    @Test
    void resentChangeGetsFirstAnswer() {
        apply("a", 0, "x");
        apply("b", 1, "y");
        assertThat(apply("a", 0, "x")).isEqualTo(new Applied(1));
        assertThat(documents.lastRevision()).isEqualTo(2);
    }

    @Test
    void resentChangeInConflictGetsSameConflict() {
        apply("a", 0, "x");
        apply("b", 0, "y");
        apply("c", 1, "z");
        assertThat(apply("b", 0, "y")).isEqualTo(new Conflict(1, "a"));
    }

    @Test
    void changeIdReusedWithOtherContentIsAConflict() {
        apply("a", 0, "x");
        assertThat(apply("a", 0, "other")).isInstanceOf(Conflict.class);
    }

    @Test
    void snapshotRestoresDocumentsAndAnswers() {
        apply("a", 0, "x");
        apply("b", 1, "y");
        DocumentStateMachine restored = new DocumentStateMachine();
        restored.restore(documents.state());
        assertThat(restored.apply(new ApplyDocument("b", SERVICE, 1, "y"))).isEqualTo(new Applied(2));
        assertThat(restored.latest(SERVICE).orElseThrow().text()).isEqualTo("y");
    }

    @Test
    void changedSinceReturnsOnlyLatestRevisionOfEachDocument() {
        for (int change = 0; change < 500; change++) {
            apply("change-" + change, change, "text " + change);
        }
        assertThat(documents.changedSince(3)).hasSize(1);
        assertThat(documents.changedSince(3).get(0).text()).isEqualTo("text 499");
        assertThat(documents.history(SERVICE)).hasSize(DocumentStateMachine.MAX_HISTORY);
    }
}
