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

/** Shows the lines in which a file differs from the document in force. */
public final class Diff implements Command {

    /** The file. */
    @Argument(metaVar = "FILE", required = true, usage = "document to compare")
    private Path file;

    /** Used by the command line parser. */
    public Diff() {}

    @Override
    public ExitStatus run(Context context) {
        Optional<DocumentFile> read = DocumentFile.read(file, context);
        if (read.isEmpty()) {
            return ExitStatus.INVALID;
        }
        ControlReply reply = context.ask(new GetDocument(read.get().document().service(), 0));
        if (!(reply instanceof Documents documents)) {
            return context.unreachable(reply);
        }
        List<DocumentVersion> versions = documents.versions();
        String present =
                versions.isEmpty() ? "" : versions.get(versions.size() - 1).text();
        printMissing(context, "- ", present, read.get().text());
        printMissing(context, "+ ", read.get().text(), present);
        return ExitStatus.DONE;
    }

    /**
     * Prints the lines of one text that another lacks.
     *
     * @param context takes the lines
     * @param prefix begins each line
     * @param text the text
     * @param other the other text
     */
    private static void printMissing(Context context, String prefix, String text, String other) {
        Set<String> known = new HashSet<>(other.lines().toList());
        text.lines().filter(line -> !known.contains(line)).forEach(line -> context.printText(prefix + line + "\n"));
    }
}
