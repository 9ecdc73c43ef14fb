package org.bamboohatch.cli.command;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;

/** Subcommand of the command line client. */
public interface Command {

    /**
     * Runs the command and prints its result.
     *
     * @param context connections and output streams
     * @return exit status of the process
     */
    ExitStatus run(Context context);
}
