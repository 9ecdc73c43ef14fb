package org.bamboohatch.cli.command;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.kohsuke.args4j.Argument;

/** Validates service documents without applying them. */
public final class Validate implements Command {

    @Argument(metaVar = "FILE", required = true, usage = "documents to check")
    private List<Path> files = new ArrayList<>();

    /** Creates the command with its default options; called by the command line parser. */
    public Validate() {}

    @Override
    public ExitStatus run(Context context) {
        ExitStatus status = ExitStatus.DONE;
        for (Path file : files) {
            if (DocumentFile.read(file, context).isEmpty()) {
                status = ExitStatus.INVALID;
            } else {
                context.printMessage(file + ": valid");
            }
        }
        return status;
    }
}
