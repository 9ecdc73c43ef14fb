package org.bamboohatch.kernel.settings;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;

/** Renders the keys of a YAML file as a table in Markdown, from the descriptions in the code. */
public final class SettingsPage {

    /** Not instantiated. */
    private SettingsPage() {}

    /**
     * Renders a table.
     *
     * @param type the record that the file fills
     * @return the table with a line for each key
     */
    public static String table(Class<?> type) {
        StringBuilder page = new StringBuilder("| key | meaning | unit | range | default |\n|---|---|---|---|---|\n");
        addRecord(page, type, "");
        return page.toString();
    }

    /**
     * Adds the keys of a record.
     *
     * @param page takes the lines
     * @param type the record
     * @param prefix path in front of the keys
     */
    private static void addRecord(StringBuilder page, Class<?> type, String prefix) {
        for (RecordComponent component : type.getRecordComponents()) {
            Setting setting = component.getAnnotation(Setting.class);
            String path = prefix + component.getName();
            page.append("| `").append(path).append("` | ").append(setting.description());
            page.append(" | ").append(setting.unit());
            page.append(" | ").append(range(setting));
            page.append(" | ").append(fallback(setting)).append(" |\n");
            Class<?> nested = nested(component.getGenericType());
            if (nested != null) {
                addRecord(page, nested, path + (component.getType() == nested ? "." : "[]."));
            }
        }
    }

    /**
     * Finds the described record in a type.
     *
     * @param type the type of a key
     * @return the record, or null if there is none
     */
    private static Class<?> nested(Type type) {
        Type element = type instanceof ParameterizedType generic ? generic.getActualTypeArguments()[0] : type;
        boolean described = element instanceof Class<?> plain
                && plain.isRecord()
                && plain.getRecordComponents()[0].isAnnotationPresent(Setting.class);
        return described ? (Class<?>) element : null;
    }

    /**
     * Renders the allowed range.
     *
     * @param setting the description of the key
     * @return the range, or an empty text
     */
    private static String range(Setting setting) {
        if (Double.isInfinite(setting.min()) && Double.isInfinite(setting.max())) {
            return "";
        }
        return SettingsChecker.bound(setting.min()) + " to " + SettingsChecker.bound(setting.max());
    }

    /**
     * Renders the default.
     *
     * @param setting the description of the key
     * @return the default, or that there is none
     */
    private static String fallback(Setting setting) {
        return Setting.REQUIRED.equals(setting.fallback()) ? "required" : "`" + setting.fallback() + "`";
    }
}
