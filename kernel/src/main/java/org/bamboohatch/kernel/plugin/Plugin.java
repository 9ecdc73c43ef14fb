package org.bamboohatch.kernel.plugin;

/** Extension that is discovered by {@link java.util.ServiceLoader}. */
public interface Plugin {

    /**
     * Returns the name under which settings and messages refer to the plug-in.
     *
     * @return a lower-case name, unique among the plug-ins of the same type
     */
    String name();
}
