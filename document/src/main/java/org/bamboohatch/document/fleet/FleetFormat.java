package org.bamboohatch.document.fleet;

import java.util.List;

import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.plugin.Plugin;

/** Reads fleet configurations written in one format; implementations register themselves as plug-ins. */
public interface FleetFormat extends Plugin {

    /**
     * Reads a configuration and checks it as a whole.
     *
     * @param text the text
     * @return the configuration, or every error that was found
     */
    Result<FleetConfiguration, List<String>> read(byte[] text);
}
