package org.bamboohatch.document;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.settings.SettingsError;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DocumentReaderTest {

    private static final String PLAIN = """
            service: portal
            kind: plain
            accounts: []
            calls:
              - {path: /stock, repeatable: true}
              - {path: /stock/reserve, method: POST, repeatable: false}
            """;

    private static ServiceDocument read(String text) {
        return ((Result.Success<ServiceDocument, List<SettingsError>>) DocumentReader.read("file", text)).value();
    }

    private static List<SettingsError> errors(String text) {
        return ((Result.Failure<ServiceDocument, List<SettingsError>>) DocumentReader.read("file", text)).problem();
    }

    @Test
    void exampleDocumentsAreValid() throws IOException {
        for (String name : List.of("assistant", "portal")) {
            String text = Files.readString(Path.of("..", "examples", name + ".yaml"));
            assertThat(read(text).service().value()).isEqualTo(name);
        }
    }

    @Test
    void callWithoutRuleIsNotRepeatable() {
        assertThat(read(PLAIN).isRepeatable("POST", "/orders")).isFalse();
    }

    @Test
    void ruleWithLongestPathDecides() {
        assertThat(read(PLAIN).isRepeatable("POST", "/stock/beads")).isTrue();
        assertThat(read(PLAIN).isRepeatable("POST", "/stock/reserve/beads")).isFalse();
    }

    @Test
    void ruleMatchesWholePathSegmentsOnly() {
        assertThat(read(PLAIN).isRepeatable("GET", "/stocklist")).isFalse();
    }

    @Test
    void modelsAreRequiredForEnginesAndRejectedForPlainServices() {
        assertThat(errors("service: a\nkind: engines\naccounts: []").get(0).path())
                .isEqualTo("models");
        assertThat(errors("service: a\nkind: plain\naccounts: []\nmodels: [{name: m, version: '1'}]"))
                .extracting(SettingsError::path)
                .containsExactly("models");
    }

    @Test
    void allErrorsAreReported() {
        List<SettingsError> errors = errors("""
                service: portal
                kind: plain
                accounts:
                  - {name: a, keyHashes: [xyz]}
                  - {name: a, keyHashes: []}
                deadlines: {defaultSeconds: 9, maximumSeconds: 3}
                calls: [{path: orders, repeatable: false}]
                """);
        assertThat(errors)
                .extracting(SettingsError::path)
                .containsExactly(
                        "accounts[0].keyHashes[0]", "accounts[1].name", "deadlines.defaultSeconds", "calls[0].path");
        assertThat(errors.get(0).line()).isEqualTo(4);
    }

    @Test
    void hashesAreEqualForEqualKeysOnly() {
        assertThat(Sha256.constantTimeEquals(Sha256.hash("a"), Sha256.hash("a")))
                .isTrue();
        assertThat(Sha256.constantTimeEquals(Sha256.hash("a"), Sha256.hash("b")))
                .isFalse();
    }
}
