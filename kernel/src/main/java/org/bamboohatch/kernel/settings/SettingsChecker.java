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

/** Checks a YAML tree against records described by {@link Setting} and fills in defaults. */
final class SettingsChecker {

    /** Reads defaults. */
    private static final YAMLMapper DEFAULTS = new YAMLMapper();

    /** Largest edit distance at which a known name is suggested. */
    private static final int SUGGESTION_DISTANCE = 3;

    /** Name of the file. */
    private final String file;

    /** Lines by path. */
    private final LineIndex lines;

    /** The errors found. */
    private final List<SettingsError> errors = new ArrayList<>();

    /**
     * Creates a checker.
     *
     * @param file name of the file
     * @param lines lines by path
     */
    SettingsChecker(String file, LineIndex lines) {
        this.file = file;
        this.lines = lines;
    }

    /**
     * Returns the errors found.
     *
     * @return the errors in the order of the file's keys
     */
    List<SettingsError> errors() {
        return errors;
    }

    /**
     * Checks a whole file.
     *
     * @param tree the parsed file
     * @param type the record to fill
     * @return the tree with defaults filled in
     */
    JsonNode check(JsonNode tree, Class<?> type) {
        return checkRecord(tree, type, "");
    }

    /**
     * Checks the value at one path.
     *
     * @param node the value
     * @param type the declared type
     * @param path the path
     * @return the value with defaults filled in
     */
    private JsonNode checkValue(JsonNode node, Type type, String path) {
        if (type instanceof Class<?> plain && plain.isRecord() && isDescribed(plain)) {
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
     * Tells whether the components of a record are described.
     *
     * @param type the record
     * @return whether the record is checked key by key
     */
    private static boolean isDescribed(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        return components.length > 0 && components[0].isAnnotationPresent(Setting.class);
    }

    /**
     * Checks a record.
     *
     * @param node the value
     * @param type the record
     * @param path the path
     * @return the value with defaults filled in
     */
    private JsonNode checkRecord(JsonNode node, Class<?> type, String path) {
        if (!(node instanceof ObjectNode given)) {
            error(path, "must be a map of keys");
            return node;
        }
        Map<String, RecordComponent> known = new TreeMap<>();
        for (RecordComponent component : type.getRecordComponents()) {
            known.put(component.getName(), component);
        }
        reportUnknown(given, known, path);
        ObjectNode complete = JsonNodeFactory.instance.objectNode();
        for (RecordComponent component : type.getRecordComponents()) {
            checkComponent(given, component, join(path, component.getName()), complete);
        }
        return complete;
    }

    /**
     * Reports keys that the record does not have.
     *
     * @param given the given keys
     * @param known the known keys
     * @param path the path
     */
    private void reportUnknown(ObjectNode given, Map<String, RecordComponent> known, String path) {
        for (Iterator<String> names = given.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.containsKey(name)) {
                String nearest = nearest(name, known);
                String hint = nearest.isEmpty() ? "known keys: " + known.keySet() : "did you mean '" + nearest + "'?";
                error(join(path, name), "unknown key; " + hint);
            }
        }
    }

    /**
     * Checks one key.
     *
     * @param given the given keys
     * @param component the component to fill
     * @param path the path of the key
     * @param complete receives the value or its default
     */
    private void checkComponent(ObjectNode given, RecordComponent component, String path, ObjectNode complete) {
        Setting setting = component.getAnnotation(Setting.class);
        JsonNode value = given.get(component.getName());
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

    /**
     * Reads the default of a key.
     *
     * @param setting the description of the key
     * @return the default
     */
    private static JsonNode fallback(Setting setting) {
        try {
            return DEFAULTS.readTree(setting.fallback());
        } catch (JsonProcessingException malformed) {
            throw new IllegalStateException(malformed);
        }
    }

    /**
     * Checks a number against its bounds.
     *
     * @param value the value
     * @param setting the description of the key
     * @param component the component to fill
     * @param path the path of the key
     */
    private void checkRange(JsonNode value, Setting setting, RecordComponent component, String path) {
        boolean numeric = component.getType() == int.class
                || component.getType() == long.class
                || component.getType() == double.class;
        if (!numeric) {
            return;
        }
        boolean wholeExpected = component.getType() != double.class;
        boolean fits = value.isNumber() && (!wholeExpected || value.isIntegralNumber());
        if (!fits || value.asDouble() < setting.min() || value.asDouble() > setting.max()) {
            error(
                    path,
                    "must be a " + (wholeExpected ? "whole number" : "number") + " from " + bound(setting.min())
                            + " to " + bound(setting.max())
                            + (setting.unit().isEmpty() ? "" : " " + setting.unit()) + ", but is " + value);
        }
    }

    /**
     * Renders a bound.
     *
     * @param bound the bound
     * @return the bound without a needless fraction
     */
    static String bound(double bound) {
        return bound == Math.rint(bound) && !Double.isInfinite(bound)
                ? Long.toString((long) bound)
                : Double.toString(bound);
    }

    /**
     * Checks a list.
     *
     * @param node the value
     * @param element the type of its elements
     * @param path the path
     * @return the list with defaults filled in
     */
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
     * Checks a map with free keys.
     *
     * @param node the value
     * @param element the type of its values
     * @param path the path
     * @return the map with defaults filled in
     */
    private JsonNode checkMap(JsonNode node, Type element, String path) {
        if (!(node instanceof ObjectNode given)) {
            error(path, "must be a map");
            return node;
        }
        ObjectNode complete = JsonNodeFactory.instance.objectNode();
        for (Map.Entry<String, JsonNode> entry : given.properties()) {
            complete.set(entry.getKey(), checkValue(entry.getValue(), element, join(path, entry.getKey())));
        }
        return complete;
    }

    /**
     * Finds the known name nearest to an unknown one.
     *
     * @param name the unknown name
     * @param known the known names
     * @return the nearest name, or an empty text
     */
    private static String nearest(String name, Map<String, RecordComponent> known) {
        String best = "";
        int bestDistance = SUGGESTION_DISTANCE + 1;
        for (String candidate : known.keySet()) {
            int distance = distance(name, candidate);
            if (distance < bestDistance) {
                bestDistance = distance;
                best = candidate;
            }
        }
        return best;
    }

    /**
     * Computes the edit distance of two names.
     *
     * @param left one name
     * @param right the other name
     * @return the number of single-letter edits
     */
    private static int distance(String left, String right) {
        int[] previous = new int[right.length() + 1];
        for (int column = 0; column <= right.length(); column++) {
            previous[column] = column;
        }
        for (int row = 1; row <= left.length(); row++) {
            int[] current = new int[right.length() + 1];
            current[0] = row;
            for (int column = 1; column <= right.length(); column++) {
                int change = left.charAt(row - 1) == right.charAt(column - 1) ? 0 : 1;
                int replace = previous[column - 1] + change;
                current[column] = Math.min(replace, Math.min(previous[column], current[column - 1]) + 1);
            }
            previous = current;
        }
        return previous[right.length()];
    }

    /**
     * Joins a path and a key.
     *
     * @param path the path
     * @param name the key
     * @return the joined path
     */
    private static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    /**
     * Records an error.
     *
     * @param path the path
     * @param sentence what is wrong
     */
    private void error(String path, String sentence) {
        errors.add(new SettingsError(file, lines.line(path), path, sentence));
    }
}
