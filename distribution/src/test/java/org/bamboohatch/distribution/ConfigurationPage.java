package org.bamboohatch.distribution;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.bamboohatch.agent.AgentSettings;
import org.bamboohatch.control.ControlSettings;
import org.bamboohatch.document.ServiceDocument;
import org.bamboohatch.entry.EntrySettings;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.kernel.settings.SettingsPage;
import org.bamboohatch.platform.PlatformSettings;

/** Generates docs/CONFIGURATION.md from the settings classes. */
public final class ConfigurationPage {

    static final Path PAGE = Path.of("..", "docs", "CONFIGURATION.md");

    private ConfigurationPage() {}

    /**
     * Writes the page. The working directory must be the folder of this module.
     *
     * @param arguments not used
     * @throws IOException if the page cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        Files.writeString(PAGE, render());
    }

    static String render() {
        return """
                # Configuration

                Written from the code; `ConfigurationPageTest` compares. Every file is YAML. Unknown keys and values out of
                range are refused, all errors at once, with file, line and path.

                ## Service document

                """
                + SettingsPage.table(ServiceDocument.class)
                + "\n## bamboohatch-control\n\n"
                + SettingsPage.table(ControlSettings.class)
                + "\n## bamboohatch-entry\n\n"
                + SettingsPage.table(EntrySettings.class)
                + "\n## bamboohatch-agent\n\n"
                + SettingsPage.table(AgentSettings.class)
                + "\n## bamboohatch-gateway\n\n"
                + SettingsPage.table(GatewaySettings.class)
                + "\n## bamboohatch-platform\n\n"
                + SettingsPage.table(PlatformSettings.class);
    }
}
