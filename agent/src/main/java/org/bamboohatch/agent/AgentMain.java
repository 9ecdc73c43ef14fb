package org.bamboohatch.agent;

import java.util.List;

import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.bamboohatch.protocol.transport.FrameServer;

/** Main class of the program {@code bamboohatch-agent}. */
public final class AgentMain {

    private static final String PROGRAM = "bamboohatch-agent";

    private AgentMain() {}

    /**
     * Runs an agent until the process is asked to stop.
     *
     * @param arguments the command line, which names the settings file
     */
    public static void main(String[] arguments) {
        AgentSettings settings = SettingsCommandLine.read(PROGRAM, arguments, AgentSettings.class);
        AgentComponent component = DaggerAgentComponent.factory().create(settings);
        FrameServer server = new FrameServer(component.network(), settings.listen(), component.requestHandler());
        Program.run(PROGRAM, new Service.Compound(List.of(component.network(), server, component.announcer())));
    }
}
