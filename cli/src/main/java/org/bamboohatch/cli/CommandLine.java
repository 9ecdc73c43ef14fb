package org.bamboohatch.cli;

import java.util.List;

import org.bamboohatch.cli.command.Apply;
import org.bamboohatch.cli.command.Command;
import org.bamboohatch.cli.command.Diff;
import org.bamboohatch.cli.command.Evacuate;
import org.bamboohatch.cli.command.Explain;
import org.bamboohatch.cli.command.Get;
import org.bamboohatch.cli.command.History;
import org.bamboohatch.cli.command.ShowTimeline;
import org.bamboohatch.cli.command.Status;
import org.bamboohatch.cli.command.Targets;
import org.bamboohatch.cli.command.Validate;
import org.bamboohatch.cli.command.VerifyData;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Main class of {@code bamboohatch}, the command line client for operators. */
public final class CommandLine {

    @Option(
            name = "--control",
            metaVar = "ADDRESSES",
            usage = "control processes as IP:port, joined by commas; default: $BAMBOOHATCH_CONTROL")
    private String control = System.getenv().getOrDefault("BAMBOOHATCH_CONTROL", "127.0.0.1:7000");

    @Option(name = "--output", usage = "table or json")
    private OutputFormat output = OutputFormat.TABLE;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean help;

    @Option(name = "--version", help = true, usage = "print the version and exit")
    private boolean version;

    @Argument(
            metaVar = "COMMAND",
            required = true,
            handler = SubCommandHandler.class,
            usage = "validate, apply, get, diff, history, status, targets, evacuate, timeline, explain or verify-data")
    @SubCommands({
        @SubCommand(name = "validate", impl = Validate.class),
        @SubCommand(name = "apply", impl = Apply.class),
        @SubCommand(name = "get", impl = Get.class),
        @SubCommand(name = "diff", impl = Diff.class),
        @SubCommand(name = "history", impl = History.class),
        @SubCommand(name = "status", impl = Status.class),
        @SubCommand(name = "targets", impl = Targets.class),
        @SubCommand(name = "evacuate", impl = Evacuate.class),
        @SubCommand(name = "timeline", impl = ShowTimeline.class),
        @SubCommand(name = "explain", impl = Explain.class),
        @SubCommand(name = "verify-data", impl = VerifyData.class)
    })
    private Command command;

    private CommandLine() {}

    /**
     * Runs a command and exits with its {@link ExitStatus}.
     *
     * @param arguments command line arguments
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine().run(arguments).number());
    }

    private ExitStatus run(String[] arguments) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException invalid) {
            System.err.println("bamboohatch: " + invalid.getMessage());
            printHelp(parser, System.err);
            return ExitStatus.USAGE;
        }
        if (help) {
            printHelp(parser, System.out);
            return ExitStatus.DONE;
        }
        if (version) {
            System.out.println("bamboohatch " + SettingsCommandLine.VERSION);
            return ExitStatus.DONE;
        }
        Context context = new Context(List.of(control.split(",")), output, System.out, System.err);
        try {
            return context.finish(command.run(context));
        } finally {
            context.close();
        }
    }

    private static void printHelp(CmdLineParser parser, java.io.PrintStream stream) {
        stream.println("usage: bamboohatch [--control ADDRESSES] [--output table|json] COMMAND ...");
        parser.printUsage(stream);
        stream.println("exit status: 0 done, 2 pending, 3 conflict, 4 not found, 64 usage, 65 invalid, 69 unreachable");
    }
}
