package org.bamboohatch.kernel.plugin;

import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.TreeMap;

/**
 * Registry of the plug-ins of one type, which are discovered by {@link ServiceLoader}.
 *
 * @param <P> type of the plug-ins
 */
public final class Plugins<P extends Plugin> {

    private final Map<String, P> byName;

    private Plugins(Map<String, P> byName) {
        this.byName = byName;
    }

    /**
     * Loads all plug-ins of a type.
     *
     * @param type interface that the plug-ins implement
     * @param <P> type of the plug-ins
     * @throws IllegalStateException if two plug-ins have the same name
     */
    public static <P extends Plugin> Plugins<P> load(Class<P> type) {
        Map<String, P> plugins = new TreeMap<>();
        for (P plugin : ServiceLoader.load(type)) {
            if (plugins.putIfAbsent(plugin.name(), plugin) != null) {
                throw new IllegalStateException("two plug-ins are named " + plugin.name());
            }
        }
        return new Plugins<>(plugins);
    }

    /**
     * Returns the plug-in with a name.
     *
     * @param name name of the plug-in
     * @return the plug-in, empty if there is none with that name
     */
    public Optional<P> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns the names of all plug-ins, in alphabetical order. */
    public Set<String> names() {
        return byName.keySet();
    }
}
