package org.bamboohatch.kernel.settings;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.outcome.Result;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class YamlReaderTest {

    record Inner(
            @Setting(description = "a number", unit = "seconds", min = 1, max = 5)
            int amount,

            @Setting(description = "a word", fallback = "none")
            String word) {}

    record Outer(
            @Setting(description = "the host") HostName host,
            @Setting(description = "parts", fallback = "[]") List<Inner> parts,

            @Setting(description = "a part", fallback = "{amount: 3}")
            Inner single) {}

    private static List<SettingsError> errors(String text) {
        return ((Result.Failure<Outer, List<SettingsError>>) YamlReader.read("file", text, Outer.class)).problem();
    }

    private static Outer read(String text) {
        return ((Result.Success<Outer, List<SettingsError>>) YamlReader.read("file", text, Outer.class)).value();
    }

    @Test
    void absentKeysGetDefaults() {
        Outer outer = read("host: a");
        assertThat(outer.single()).isEqualTo(new Inner(3, "none"));
        assertThat(outer.parts()).isEmpty();
    }

    @Test
    void reportsAllErrorsWithLineAndPath() {
        List<SettingsError> errors = errors("""
                hots: a
                parts:
                  - amount: 9
                  - word: x
                """);
        assertThat(errors)
                .extracting(SettingsError::path)
                .containsExactly("hots", "host", "parts[0].amount", "parts[1].amount");
        assertThat(errors).extracting(SettingsError::line).containsExactly(1, 1, 3, 4);
    }

    @Test
    void unknownKeyIsRejectedWithSuggestion() {
        assertThat(errors("host: a\nprats: []").get(0).sentence()).contains("did you mean 'parts'");
    }

    @Test
    void numberOutOfRangeIsReportedWithRangeAndUnit() {
        assertThat(errors("host: a\nsingle: {amount: 0}").get(0).sentence())
                .contains("from 1 to 5 seconds")
                .contains("0");
    }

    @Test
    void fractionIsRejectedForIntegerKey() {
        assertThat(errors("host: a\nsingle: {amount: 1.5}")).hasSize(1);
    }

    @Test
    void malformedYamlIsReportedWithLine() {
        assertThat(errors("host: a\n  broken: [").get(0).line()).isPositive();
    }

    @Test
    void emptyFileIsRejected() {
        assertThat(errors("")).isNotEmpty();
    }

    @Test
    void valueRejectedByConstructorIsReported() {
        assertThat(errors("host: ' '").get(0).sentence()).contains("host name");
    }
}
