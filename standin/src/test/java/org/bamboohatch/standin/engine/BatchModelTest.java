package org.bamboohatch.standin.engine;

import java.util.ArrayList;
import java.util.List;

import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.settings.YamlReader;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BatchModelTest {

    private final List<String> events = new ArrayList<>();
    private final BatchModel model = new BatchModel(((Result.Success<EngineSettings, ?>)
                    YamlReader.read("t", "{listen: x, memoryTokens: 5000}", EngineSettings.class))
            .value());

    private void submit(String id, int priority, long promptTokens) {
        model.submit(new Generation(id, priority, promptTokens, 2, 0, 1, new Generation.TokenListener() {
            @Override
            public void onToken(String text) {
                events.add(id);
            }

            @Override
            public void onEnd(String reason) {
                events.add(id + "-" + reason);
            }
        }));
    }

    private void runSteps(int count) {
        for (int step = 0; step < count; step++) {
            model.beginStep();
            model.endStep();
        }
    }

    @Test
    void urgentPromptIsPrefilledBeforeLessUrgentLongPrompt() {
        submit("long", 4, 4_000);
        runSteps(1);
        submit("short", 0, 500);
        runSteps(2);
        assertThat(events).startsWith("short");
        runSteps(6);
        assertThat(events).endsWith("long", "long", "long-length");
    }

    @Test
    void memoryIsFreedWhenSequenceEnds() {
        submit("a", 0, 4_000);
        submit("b", 0, 4_000);
        runSteps(1);
        assertThat(model.report().running()).isEqualTo(1);
        runSteps(20);
        assertThat(model.report().usedTokens()).isZero();
        assertThat(events).contains("a-length", "b-length");
    }

    @Test
    void memoryIsFreedWhenSequenceIsCancelled() {
        submit("a", 0, 4_000);
        runSteps(1);
        assertThat(model.cancel("a")).isTrue();
        runSteps(1);
        assertThat(model.report().usedTokens()).isZero();
        assertThat(events).containsExactly("a-cancelled");
    }

    @Test
    void tokenIsDeterminedBySeedAndPosition() {
        assertThat(Generation.token(7, 3)).isEqualTo(Generation.token(7, 3)).isNotEqualTo(Generation.token(7, 4));
    }
}
