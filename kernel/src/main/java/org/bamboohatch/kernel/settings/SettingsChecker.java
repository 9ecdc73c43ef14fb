package org.bamboohatch.kernel.settings;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

/** Validates a YAML tree against records with {@link Setting} annotations and adds the defaults of absent keys. */
final class SettingsChecker {

    /** Parses the defaults in {@link Setting#fallback()}. */
    private static final YAMLMapper DEFAULTS = new YAMLMapper();

    /** Maximum edit distance at which a known key is suggested for an unknown one. */
    private static final int SUGGESTION_DISTANCE = 3;

    private final String file;

    private final LineIndex lines;

    private final List<SettingsError> errors = new ArrayList<>();

    /**
     * Creates a checker for one file.
     *
     * @param file file name for the errors
     * @param lines line numbers of the paths in the file
     */
    SettingsChecker(String file, LineIndex lines) {
        this.file = file;
        this.lines = lines;
    }

    /**
     * Returns the errors found so far. Unknown keys of a record come first, then its components in
     * their declared order.
     */
    List<SettingsError> errors() {
        return errors;
    }

    /**
     * Validates a file.
     *
     * @param tree parsed file
     * @param type record to which the file is mapped
     * @return the tree with defaults added; incomplete if there are errors
     */
    JsonNode check(JsonNode tree, Class<?> type) {
        return checkRecord(tree, type, "");
    }

    /**
     * Validates a value, including all nested values.
     *
     * @param node value, which may be of any YAML type
     * @param type type of the record component or element
     * @param path path of the value
     * @return the value with defaults added
     */
    private JsonNode checkValue(JsonNode node, Type type, String path) {
        if (type instanceof Class<?> plain && plain.isRecord() && isAnnotated(plain)) {
            return checkRecord(node, plain, path);
        }
        if (type instanceof ParameterizedType generic && generic.getRawType() == List.class) {
            return checkList(node, generic.getActualTypeArguments()[0], path);
        }
        if (type instanceof ParameterizedType generic && generic.getRawType() == Map.class) {
            return checkMap(node, generic.getActualTypeArguments()[1], path);
        }
        return node;
    }

    /**
     * Indicates whether the keys of a record are validated. Records without annotations, such as names, are validated
     * by their constructors.
     *
     * @param type record type
     * @return whether the components are annotated
     */
    private static boolean isAnnotated(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        return components.length > 0 && components[0].isAnnotationPresent(Setting.class);
    }

    private JsonNode checkRecord(JsonNode node, Class<?> type, String path) {
        if (!(node instanceof ObjectNode present)) {
            error(path, "must be a map of keys");
            return node;
        }
        Map<String, RecordComponent> known = new TreeMap<>();
        for (RecordComponent component : type.getRecordComponents()) {
            known.put(component.getName(), component);
        }
        reportUnknown(present, known, path);
        ObjectNode complete = JsonNodeFactory.instance.objectNode();
        for (RecordComponent component : type.getRecordComponents()) {
            checkComponent(present, component, join(path, component.getName()), complete);
        }
        return complete;
    }

    /**
     * Reports keys that are not components of the record, with a suggestion if a known key is similar.
     *
     * @param present keys and values in the file
     * @param known components of the record by name
     * @param path path of the record
     */
    private void reportUnknown(ObjectNode present, Map<String, RecordComponent> known, String path) {
        for (Iterator<String> names = present.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.containsKey(name)) {
                String suggestion = mostSimilar(name, known);
                String hint =
                        suggestion.isEmpty() ? "known keys: " + known.keySet() : "did you mean '" + suggestion + "'?";
                error(join(path, name), "unknown key; " + hint);
            }
        }
    }

    private void checkComponent(ObjectNode present, RecordComponent component, String path, ObjectNode complete) {
        Setting setting = component.getAnnotation(Setting.class);
        JsonNode value = present.get(component.getName());
        if (value == null || value.isNull()) {
            if (Setting.REQUIRED.equals(setting.fallback())) {
                error(path, "is required: " + setting.description());
                return;
            }
            value = fallback(setting);
        }
        checkRange(value, setting, component, path);
        complete.set(component.getName(), checkValue(value, component.getGenericType(), path));
    }

    private static JsonNode fallback(Setting setting) {
        try {
            return DEFAULTS.readTree(setting.fallback());
        } catch (JsonProcessingException malformed) {
            throw new IllegalStateException(malformed);
        }
    }

    private void checkRange(JsonNode value, Setting setting, RecordComponent component, String path) {
        boolean numeric = component.getType() == int.class
                || component.getType() == long.class
                || component.getType() == double.class;
        if (!numeric) {
            return;
        }
        boolean integerExpected = component.getType() != double.class;
        boolean hasExpectedType = value.isNumber() && (!integerExpected || value.isIntegralNumber());
        if (!hasExpectedType || value.asDouble() < setting.min() || value.asDouble() > setting.max()) {
            error(
                    path,
                    "must be a " + (integerExpected ? "whole number" : "number") + " from " + renderBound(setting.min())
                            + " to " + renderBound(setting.max())
                            + (setting.unit().isEmpty() ? "" : " " + setting.unit()) + ", but is " + value);
        }
    }

    /**
     * Converts a bound to text.
     *
     * @param bound lower or upper bound of a number
     * @return the bound, without a fraction if it is an integer
     */
    static String renderBound(double bound) {
        return bound == Math.rint(bound) && !Double.isInfinite(bound)
                ? Long.toString((long) bound)
                : Double.toString(bound);
    }

    private JsonNode checkList(JsonNode node, Type element, String path) {
        if (!node.isArray()) {
            error(path, "must be a list");
            return node;
        }
        ArrayNode complete = JsonNodeFactory.instance.arrayNode();
        for (int index = 0; index < node.size(); index++) {
            complete.add(checkValue(node.get(index), element, path + "[" + index + "]"));
        }
        return complete;
    }

    /**
     * Validates a map whose keys are not fixed.
     *
     * @param node value, which may be of any YAML type
     * @param element type of the values of the map
     * @param path path of the map
     * @return the map with defaults added
     */
    private JsonNode checkMap(JsonNode node, Type element, String path) {
        if (!(node instanceof ObjectNode present)) {
            error(path, "must be a map");
            return node;
        }
        ObjectNode complete = JsonNodeFactory.instance.objectNode();
        for (Map.Entry<String, JsonNode> entry : present.properties()) {
            complete.set(entry.getKey(), checkValue(entry.getValue(), element, join(path, entry.getKey())));
        }
        return complete;
    }

    /**
     * Returns the known key that is most similar to an unknown one.
     *
     * @param name unknown key
     * @param known components of the record by name
     * @return the most similar key, or an empty string if none is within the suggestion distance
     */
    private static String mostSimilar(String name, Map<String, RecordComponent> known) {
        String best = "";
        int bestDistance = SUGGESTION_DISTANCE + 1;
        for (String candidate : known.keySet()) {
            int distance = editDistance(name, candidate);
            if (distance < bestDistance) {
                bestDistance = distance;
                best = candidate;
            }
        }
        return best;
    }

    /**
     * Computes the Levenshtein distance of two names.
     *
     * @param left one name
     * @param right other name
     * @return minimum number of inserted, deleted or replaced characters
     */
    private static int editDistance(String left, String right) {
        int[] previous = new int[right.length() + 1];
        for (int column = 0; column <= right.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= left.length(); row++) {
            int[] current = new int[right.length() + 1];
            current[0] = row;
            for (int column = 1; column <= right.length(); column++) {
                int substitutionCost = left.charAt(row - 1) == right.charAt(column - 1) ? 0 : 1;
                int substitution = previous[column - 1] + substitutionCost;
                current[column] = Math.min(substitution, Math.min(previous[column], current[column - 1]) + 1);
            }
            previous = current;
        }
        return previous[right.length()];
    }

    private static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private void error(String path, String sentence) {
        errors.add(new SettingsError(file, lines.line(path), path, sentence));
    }
}
