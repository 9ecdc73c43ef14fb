package org.bamboohatch.distribution;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks that the field names of the platform's interfaces appear in no module but its adapter, the platform module. */
class PlatformFieldNamesTest {

    private static final List<String> PLATFORM_FIELD_NAMES = List.of(
            "X-Bamboohatch-",
            "path_prefix",
            "traffic_split",
            "heartbeat_address",
            "target_latency_ms",
            "max_attempts",
            "stream_resume",
            "target_gap_ms",
            "api_keys",
            "cold_remaining_ms",
            "kv_tokens",
            "read_per_s",
            "/instances/",
            "hold_ms",
            "\"/order\"",
            "At-Server");

    @Test
    void noOtherModuleContainsPlatformFieldNames() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of(".."))) {
            List<Path> sources = files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> file.toString().contains("/src/main/"))
                    .filter(file -> !file.startsWith(Path.of("..", "platform")))
                    .toList();
            assertThat(sources).hasSizeGreaterThan(200);
            for (Path source : sources) {
                assertThat(Files.readString(source)).as(source.toString()).doesNotContain(PLATFORM_FIELD_NAMES);
            }
        }
    }
}
