package org.bamboohatch.kernel.service;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class InvariantTest {

    private final List<String> notifications = new ArrayList<>();

    @AfterEach
    void resetListener() {
        Invariant.onViolation(description -> {});
    }

    @Test
    void violationIsReportedToListenerAndThrown() {
        Invariant.onViolation(notifications::add);
        assertThatThrownBy(() -> Invariant.check(false, () -> "two leaders")).isInstanceOf(Invariant.Violation.class);
        assertThat(notifications).containsExactly("two leaders");
    }

    @Test
    void descriptionIsNotCreatedIfInvariantHolds() {
        Invariant.check(true, () -> {
            throw new IllegalStateException("description created");
        });
        assertThat(notifications).isEmpty();
    }

    @Test
    void servicesStopInReverseOrder() {
        Service first = service("first");
        Service second = service("second");
        Service.Compound compound = new Service.Compound(List.of(first, second));
        compound.start();
        compound.stop();
        compound.stop();
        assertThat(notifications).containsExactly("first starts", "second starts", "second stops", "first stops");
    }

    private Service service(String name) {
        return new Service() {
            @Override
            public void start() {
                notifications.add(name + " starts");
            }

            @Override
            public void stop() {
                notifications.add(name + " stops");
            }
        };
    }
}
