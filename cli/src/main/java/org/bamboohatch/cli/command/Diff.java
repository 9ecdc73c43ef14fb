package org.bamboohatch.cli.command;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Documents;
import org.bamboohatch.protocol.message.ControlRequest.GetDocument;
import org.bamboohatch.protocol.message.DocumentVersion;
import org.kohsuke.args4j.Argument;

/**
 * Prints the lines in which a file differs from the latest revision of its document. The order and the number of equal
 * lines are not compared.
 */
public final class Diff implements Command {

    @Argument(metaVar = "FILE", required = true, usage = "document to compare")
    private Path file;

    /** Creates the command with its default options; called by the command line parser. */
    public Diff() {}

    @Override
    public ExitStatus run(Context context) {
        Optional<DocumentFile> read = DocumentFile.read(file, context);
        if (read.isEmpty()) {
            return ExitStatus.INVALID;
        }
        ControlReply reply =
                context.callLeader(new GetDocument(read.get().document().service(), 0));
        if (!(reply instanceof Documents documents)) {
            return context.reportUnreachable(reply);
        }
        List<DocumentVersion> versions = documents.versions();
        String latest =
                versions.isEmpty() ? "" : versions.get(versions.size() - 1).text();
        printMissing(context, "- ", latest, read.get().text());
        printMissing(context, "+ ", read.get().text(), latest);
        return ExitStatus.DONE;
    }

    /**
     * Prints the lines of a text that are not in another text.
     *
     * @param context receives the lines
     * @param prefix prefix of each line
     * @param text text whose lines are printed
     * @param other text whose lines are left out
     */
    private static void printMissing(Context context, String prefix, String text, String other) {
        Set<String> otherLines = new HashSet<>(other.lines().toList());
        text.lines()
                .filter(line -> !otherLines.contains(line))
                .forEach(line -> context.printText(prefix + line + "\n"));
    }
}
