package org.bamboohatch.kernel.settings;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;

/** Renders the keys of a YAML file as a Markdown table, from the descriptions in {@link Setting} annotations. */
public final class SettingsPage {

    private SettingsPage() {}

    /**
     * Renders the table of a file.
     *
     * @param type record to which the file is mapped
     * @return a table with one row per key
     */
    public static String table(Class<?> type) {
        StringBuilder page = new StringBuilder("| key | meaning | unit | range | default |\n|---|---|---|---|---|\n");
        addRecord(page, type, "");
        return page.toString();
    }

    /**
     * Adds the keys of a record and of the records nested in it.
     *
     * @param page receives the rows
     * @param type record whose keys are added
     * @param prefix path before the names of the keys
     */
    private static void addRecord(StringBuilder page, Class<?> type, String prefix) {
        for (RecordComponent component : type.getRecordComponents()) {
            Setting setting = component.getAnnotation(Setting.class);
            String path = prefix + component.getName();
            page.append("| `").append(path).append("` | ").append(setting.description());
            page.append(" | ").append(setting.unit());
            page.append(" | ").append(range(setting));
            page.append(" | ").append(fallback(setting)).append(" |\n");
            Class<?> nested = nestedRecord(component.getGenericType());
            if (nested != null) {
                addRecord(page, nested, path + (component.getType() == nested ? "." : "[]."));
            }
        }
    }

    /**
     * Returns the record whose keys are nested under a key: the type itself or the element type of a list.
     *
     * @param type type of the key
     * @return the record, or null if it has no {@link Setting} annotations or the type is not a record
     */
    private static Class<?> nestedRecord(Type type) {
        Type element = type instanceof ParameterizedType generic ? generic.getActualTypeArguments()[0] : type;
        boolean annotated = element instanceof Class<?> plain
                && plain.isRecord()
                && plain.getRecordComponents()[0].isAnnotationPresent(Setting.class);
        return annotated ? (Class<?>) element : null;
    }

    private static String range(Setting setting) {
        if (Double.isInfinite(setting.min()) && Double.isInfinite(setting.max())) {
            return "";
        }
        return SettingsChecker.renderBound(setting.min()) + " to " + SettingsChecker.renderBound(setting.max());
    }

    private static String fallback(Setting setting) {
        return Setting.REQUIRED.equals(setting.fallback()) ? "required" : "`" + setting.fallback() + "`";
    }
}
