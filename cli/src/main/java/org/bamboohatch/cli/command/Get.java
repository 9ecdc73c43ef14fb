package org.bamboohatch.cli.command;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Documents;
import org.bamboohatch.protocol.message.ControlRequest.GetDocument;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints one revision of a service document. */
public final class Get implements Command {

    @Argument(metaVar = "SERVICE", required = true, usage = "service whose document is printed")
    private String service;

    @Option(name = "--revision", metaVar = "REVISION", usage = "revision to print; default: the latest")
    private long revision;

    /** Creates the command with its default options; called by the command line parser. */
    public Get() {}

    @Override
    public ExitStatus run(Context context) {
        ControlReply reply = context.callLeader(new GetDocument(new ServiceName(service), revision));
        if (!(reply instanceof Documents documents)) {
            return context.reportUnreachable(reply);
        }
        if (documents.versions().isEmpty()) {
            context.printMessage("there is no such document or revision");
            return ExitStatus.NOT_FOUND;
        }
        var version = documents.versions().get(documents.versions().size() - 1);
        context.printMessage("revision " + version.revision());
        context.printText(version.text());
        return ExitStatus.DONE;
    }
}
