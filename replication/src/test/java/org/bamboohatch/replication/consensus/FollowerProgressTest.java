package org.bamboohatch.replication.consensus;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a joining replica that is given nothing for seconds after its snapshot was lost, although it answers: a
 * further voter may be lost before it has caught up.
 */
class FollowerProgressTest {

    private static final long SENT_AT = 10_000;

    private final FollowerProgress progress = new FollowerProgress(2, SENT_AT);

    @Example
    void aSnapshotIsLostOnceALaterMessageIsAcknowledgedWithoutIt() {
        progress.onSnapshotSent(1, SENT_AT);
        long later = SENT_AT + FollowerProgress.SNAPSHOT_LOSS_MS;
        progress.onSuccess(0, later - 1);
        assertThat(progress.isAwaitingSnapshot(later + 1)).isTrue();

        progress.onSuccess(0, later);

        assertThat(progress.isAwaitingSnapshot(later + 1)).isFalse();
    }

    @Example
    void anUnansweredSnapshotIsAwaited() {
        progress.onSnapshotSent(1, SENT_AT);

        assertThat(progress.isAwaitingSnapshot(SENT_AT + 4 * FollowerProgress.SNAPSHOT_LOSS_MS))
                .isTrue();
    }
}
