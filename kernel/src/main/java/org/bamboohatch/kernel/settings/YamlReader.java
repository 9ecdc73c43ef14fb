package org.bamboohatch.kernel.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.bamboohatch.kernel.outcome.Result;

/** Maps YAML to records. All errors that are found in a file are reported together. */
public final class YamlReader {

    private static final ObjectMapper MAPPER =
            YAMLMapper.builder(new YAMLFactory()).addModule(new Jdk8Module()).build();

    private YamlReader() {}

    /**
     * Reads a file.
     *
     * @param file path of the file, in UTF-8
     * @param type record to which the file is mapped
     * @param <T> type of the record
     * @return the record, or the errors if the file is unreadable or invalid
     */
    public static <T> Result<T, List<SettingsError>> read(Path file, Class<T> type) {
        try {
            return read(file.toString(), Files.readString(file), type);
        } catch (IOException unreadable) {
            return Result.failure(
                    List.of(new SettingsError(file.toString(), 0, "", "cannot be read: " + unreadable.getMessage())));
        }
    }

    /**
     * Reads a text.
     *
     * @param name file name for the errors
     * @param text YAML text
     * @param type record to which the text is mapped
     * @param <T> type of the record
     * @return the record, or the errors
     */
    public static <T> Result<T, List<SettingsError>> read(String name, String text, Class<T> type) {
        return read(name, text, type, value -> List.of());
    }

    /**
     * Reads a text and checks rules that span several keys. These rules are only checked if every key is valid.
     *
     * @param name file name for the errors
     * @param text YAML text
     * @param type record to which the text is mapped
     * @param rules rules that span several keys
     * @param <T> type of the record
     * @return the record, or the errors
     */
    public static <T> Result<T, List<SettingsError>> read(String name, String text, Class<T> type, Rules<T> rules) {
        try {
            JsonNode tree = MAPPER.readTree(text);
            LineIndex lines = LineIndex.of(text);
            SettingsChecker checker = new SettingsChecker(name, lines);
            JsonNode complete = checker.check(tree, type);
            if (!checker.errors().isEmpty()) {
                return Result.failure(checker.errors());
            }
            T value = MAPPER.treeToValue(complete, type);
            List<SettingsError> violations = rules.check(value).stream()
                    .map(problem ->
                            new SettingsError(name, lines.line(problem.path()), problem.path(), problem.sentence()))
                    .toList();
            return violations.isEmpty() ? Result.success(value) : Result.failure(violations);
        } catch (JsonProcessingException malformed) {
            int line = malformed.getLocation() == null
                    ? 0
                    : malformed.getLocation().getLineNr();
            return Result.failure(List.of(new SettingsError(name, line, "", rootMessage(malformed))));
        }
    }

    /**
     * Rules that span several keys of a file.
     *
     * @param <T> type of the record to which the file is mapped
     */
    @FunctionalInterface
    public interface Rules<T> {

        /**
         * Checks a record whose keys are valid one by one.
         *
         * @param value record to check
         * @return all violations, empty if there is none
         */
        List<Problem> check(T value);
    }

    /**
     * Violation of a rule.
     *
     * @param path path of the key, such as {@code accounts[0].weight}
     * @param sentence what is wrong
     */
    public record Problem(String path, String sentence) {}

    /**
     * Converts a value to YAML.
     *
     * @param value record or other value that Jackson can write
     * @return YAML text
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Returns the message of the root cause, which names the violated rule if the constructor of a record rejected a
     * value.
     *
     * @param problem exception from parsing or mapping
     * @return message without a source location
     */
    private static String rootMessage(JsonProcessingException problem) {
        Throwable cause = problem;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause instanceof JsonProcessingException json ? json.getOriginalMessage() : cause.getMessage();
    }
}
