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

/** Reads YAML into records and reports every error of a file at once. */
public final class YamlReader {

    /** Maps YAML to records. */
    private static final ObjectMapper MAPPER =
            YAMLMapper.builder(new YAMLFactory()).addModule(new Jdk8Module()).build();

    /** Not instantiated. */
    private YamlReader() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @param type the record to fill
     * @param <T> the type of the record
     * @return the record, or every error
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
     * @param name name of the file, for errors
     * @param text the YAML text
     * @param type the record to fill
     * @param <T> the type of the record
     * @return the record, or every error
     */
    public static <T> Result<T, List<SettingsError>> read(String name, String text, Class<T> type) {
        return read(name, text, type, value -> List.of());
    }

    /**
     * Reads a text and checks rules that span several keys.
     *
     * @param name name of the file, for errors
     * @param text the YAML text
     * @param type the record to fill
     * @param rules the rules that span several keys
     * @param <T> the type of the record
     * @return the record, or every error
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
            List<SettingsError> broken = rules.check(value).stream()
                    .map(problem ->
                            new SettingsError(name, lines.line(problem.path()), problem.path(), problem.sentence()))
                    .toList();
            return broken.isEmpty() ? Result.success(value) : Result.failure(broken);
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
     * @param <T> the type of the record
     */
    @FunctionalInterface
    public interface Rules<T> {

        /**
         * Checks a record.
         *
         * @param value the record
         * @return every problem
         */
        List<Problem> check(T value);
    }

    /**
     * A broken rule.
     *
     * @param path path of the key
     * @param sentence what is wrong
     */
    public record Problem(String path, String sentence) {}

    /**
     * Writes a value as YAML.
     *
     * @param value the value
     * @return the YAML text
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    /**
     * Finds the message of the first cause.
     *
     * @param problem the exception
     * @return its message
     */
    private static String rootMessage(JsonProcessingException problem) {
        Throwable cause = problem;
        while (cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause instanceof JsonProcessingException json ? json.getOriginalMessage() : cause.getMessage();
    }
}
