package org.bamboohatch.cli.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Applied;
import org.bamboohatch.protocol.message.ControlReply.Conflict;
import org.bamboohatch.protocol.message.ControlReply.Documents;
import org.bamboohatch.protocol.message.ControlReply.InForce;
import org.bamboohatch.protocol.message.ControlRequest.ApplyDocument;
import org.bamboohatch.protocol.message.ControlRequest.AwaitInForce;
import org.bamboohatch.protocol.message.ControlRequest.GetDocument;
import org.bamboohatch.protocol.message.DocumentVersion;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Applies a service document and waits until it is in force in every availability zone. */
public final class Apply implements Command {

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    @Argument(metaVar = "FILE", required = true, usage = "document to apply")
    private Path file;

    @Option(
            name = "--base",
            metaVar = "REVISION",
            usage = "revision that the change was made from; default: the latest")
    private Long base;

    @Option(
            name = "--change-id",
            metaVar = "ID",
            usage = "id of the change; a repetition with the same id has no further effect")
    private String changeId = UUID.randomUUID().toString();

    @Option(name = "--wait", metaVar = "SECONDS", usage = "time to wait until the change is in force; default: 16")
    private int waitSeconds = 16;

    /** Creates the command with its default options; called by the command line parser. */
    public Apply() {}

    @Override
    public ExitStatus run(Context context) {
        Optional<DocumentFile> read = DocumentFile.read(file, context);
        if (read.isEmpty()) {
            return ExitStatus.INVALID;
        }
        ServiceName service = read.get().document().service();
        long baseRevision = base == null ? latestRevision(context, service) : base;
        ControlReply reply = context.callLeader(
                new ApplyDocument(changeId, service, baseRevision, read.get().text()));
        if (reply instanceof Applied applied) {
            context.printMessage(service + ": revision " + applied.revision() + " is committed");
            return awaitInForce(context, service, applied.revision());
        }
        if (reply instanceof Conflict conflict) {
            context.printMessage(service + ": conflict: change " + conflict.changeId() + " made revision "
                    + conflict.revision() + " first, this one was made from " + baseRevision);
            return ExitStatus.CONFLICT;
        }
        if (reply instanceof ControlReply.Invalid invalid) {
            invalid.errors().forEach(context::printMessage);
            return ExitStatus.INVALID;
        }
        context.printMessage("send it again with --change-id " + changeId + " --base " + baseRevision);
        return context.reportUnreachable(reply);
    }

    /**
     * Returns the latest revision of a document.
     *
     * @param context connections and output streams
     * @param service service that the document describes
     * @return the revision, or 0 if there is none or the control processes did not reply
     */
    private static long latestRevision(Context context, ServiceName service) {
        if (context.callLeader(new GetDocument(service, 0)) instanceof Documents documents) {
            List<DocumentVersion> versions = documents.versions();
            return versions.isEmpty() ? 0 : versions.get(versions.size() - 1).revision();
        }
        return 0;
    }

    /**
     * Waits until a revision is in force.
     *
     * @param context connections and output streams
     * @param service service that the document describes
     * @param revision revision to wait for
     * @return exit status of the command
     */
    private ExitStatus awaitInForce(Context context, ServiceName service, long revision) {
        long deadline = System.nanoTime() + waitSeconds * NANOS_PER_SECOND;
        String pending = "not known";
        while (System.nanoTime() < deadline) {
            ControlReply reply = context.callLeader(new AwaitInForce(revision));
            if (reply instanceof InForce inForce) {
                if (inForce.pendingZones().isEmpty()) {
                    context.printMessage(
                            service + ": revision " + revision + " is in force in every availability zone");
                    return ExitStatus.DONE;
                }
                pending = inForce.pendingZones().toString();
            }
        }
        context.printMessage(service + ": revision " + revision + " is pending in availability zones " + pending);
        return ExitStatus.PENDING;
    }
}
