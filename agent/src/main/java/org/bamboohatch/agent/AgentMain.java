package org.bamboohatch.agent;

import java.util.List;

import org.bamboohatch.kernel.service.Program;
import org.bamboohatch.kernel.service.Service;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.bamboohatch.protocol.transport.FrameServer;

/** The program {@code bamboohatch-agent}. */
public final class AgentMain {

    /** Name of the program. */
    private static final String PROGRAM = "bamboohatch-agent";

    /** Not instantiated. */
    private AgentMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        AgentSettings settings = SettingsCommandLine.read(PROGRAM, arguments, AgentSettings.class);
        AgentComponent parts = DaggerAgentComponent.factory().create(settings);
        FrameServer server = new FrameServer(parts.network(), settings.listen(), parts.server());
        Program.run(PROGRAM, new Service.Compound(List.of(parts.network(), server, parts.announcer())));
    }
}
