package org.bamboohatch.kernel.service;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class InvariantTest {

    private final List<String> heard = new ArrayList<>();

    @AfterEach
    void forget() {
        Invariant.escalateTo(sentence -> {});
    }

    @Test
    void aBrokenInvariantIsEscalatedBeforeItIsThrown() {
        Invariant.escalateTo(heard::add);
        assertThatThrownBy(() -> Invariant.check(false, () -> "two leaders")).isInstanceOf(Invariant.Violation.class);
        assertThat(heard).containsExactly("two leaders");
    }

    @Test
    void whatHoldsIsNotRendered() {
        Invariant.check(true, () -> {
            throw new IllegalStateException("rendered");
        });
        assertThat(heard).isEmpty();
    }

    @Test
    void servicesStopInReverseOrder() {
        Service first = service("first");
        Service second = service("second");
        Service.Compound compound = new Service.Compound(List.of(first, second));
        compound.start();
        compound.stop();
        compound.stop();
        assertThat(heard).containsExactly("first starts", "second starts", "second stops", "first stops");
    }

    private Service service(String name) {
        return new Service() {
            @Override
            public void start() {
                heard.add(name + " starts");
            }

            @Override
            public void stop() {
                heard.add(name + " stops");
            }
        };
    }
}
