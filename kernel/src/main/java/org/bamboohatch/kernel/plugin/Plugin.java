package org.bamboohatch.kernel.plugin;

/** An extension that registers itself through the service loader. */
public interface Plugin {

    /**
     * Returns the name under which settings refer to the plug-in.
     *
     * @return a lower-case name
     */
    String name();
}
