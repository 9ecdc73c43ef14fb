package org.bamboohatch.cli.command;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;

/** A command of the command line. */
public interface Command {

    /**
     * Runs the command.
     *
     * @param context what every command has at hand
     * @return the exit status
     */
    ExitStatus run(Context context);
}
