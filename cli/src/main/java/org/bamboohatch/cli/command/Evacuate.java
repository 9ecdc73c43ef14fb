package org.bamboohatch.cli.command;

import java.util.Optional;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.EvacuationChanged;
import org.bamboohatch.protocol.message.ControlRequest.ChangeEvacuation;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Evacuates an availability zone, so that gateways send nothing new to its targets, or ends its evacuation. */
public final class Evacuate implements Command {

    @Argument(metaVar = "ZONE", required = true, usage = "availability zone to evacuate")
    private String zone;

    @Option(name = "--end", usage = "end the evacuation")
    private boolean end;

    /** Creates the command with its default options; called by the command line parser. */
    public Evacuate() {}

    @Override
    public ExitStatus run(Context context) {
        Optional<ZoneName> name = parse(context);
        if (name.isEmpty()) {
            return ExitStatus.USAGE;
        }
        ControlReply reply = context.callLeader(new ChangeEvacuation(name.get(), !end, System.currentTimeMillis()));
        if (reply instanceof EvacuationChanged changed) {
            context.printMessage(
                    "evacuated availability zones: " + changed.evacuated().zones());
            return ExitStatus.DONE;
        }
        if (reply instanceof ControlReply.Invalid invalid) {
            invalid.errors().forEach(context::printMessage);
            return ExitStatus.NOT_FOUND;
        }
        return context.reportUnreachable(reply);
    }

    private Optional<ZoneName> parse(Context context) {
        try {
            return Optional.of(new ZoneName(zone));
        } catch (IllegalArgumentException malformed) {
            context.printMessage(malformed.getMessage());
            return Optional.empty();
        }
    }
}
