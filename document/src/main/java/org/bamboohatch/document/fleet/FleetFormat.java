package org.bamboohatch.document.fleet;

import java.util.List;

import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.plugin.Plugin;

/** Parser for one format of fleet configurations. Implementations are registered as plug-ins. */
public interface FleetFormat extends Plugin {

    /**
     * Parses and validates a configuration.
     *
     * @param text the encoded configuration
     * @return the configuration, or all errors that were found
     */
    Result<FleetConfiguration, List<String>> read(byte[] text);
}
