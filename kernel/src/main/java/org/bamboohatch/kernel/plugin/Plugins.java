package org.bamboohatch.kernel.plugin;

import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.TreeMap;

/**
 * Registry of the plug-ins of one kind, filled by the plug-ins themselves through the service loader.
 *
 * @param <P> the kind of plug-in
 */
public final class Plugins<P extends Plugin> {

    /** The plug-ins by name. */
    private final Map<String, P> byName;

    /**
     * Creates a registry.
     *
     * @param byName the plug-ins by name
     */
    private Plugins(Map<String, P> byName) {
        this.byName = byName;
    }

    /**
     * Loads every registered plug-in of a kind.
     *
     * @param kind the interface of the plug-ins
     * @param <P> the kind of plug-in
     * @return the registry
     * @throws IllegalStateException if two plug-ins have the same name
     */
    public static <P extends Plugin> Plugins<P> load(Class<P> kind) {
        Map<String, P> found = new TreeMap<>();
        for (P plugin : ServiceLoader.load(kind)) {
            if (found.putIfAbsent(plugin.name(), plugin) != null) {
                throw new IllegalStateException("two plug-ins are named " + plugin.name());
            }
        }
        return new Plugins<>(found);
    }

    /**
     * Finds a plug-in.
     *
     * @param name its name
     * @return the plug-in, if it is registered
     */
    public Optional<P> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Lists the names of the plug-ins.
     *
     * @return the names in alphabetical order
     */
    public Set<String> names() {
        return byName.keySet();
    }
}
