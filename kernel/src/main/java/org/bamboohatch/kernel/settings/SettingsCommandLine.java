package org.bamboohatch.kernel.settings;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.kernel.outcome.Result;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The command line that the programs share: settings file, check, help and version. */
public final class SettingsCommandLine {

    /** Version that the programs print. */
    public static final String VERSION = "0.1.0";

    /** Exit status of a wrong command line or wrong settings. */
    public static final int EXIT_USAGE = 64;

    /** The settings file. */
    @Option(name = "--settings", metaVar = "FILE", usage = "YAML file with the settings")
    private Path settings;

    /** Whether to check only. */
    @Option(name = "--check", usage = "check the settings, print the effective ones and exit")
    private boolean check;

    /** Whether to print the help. */
    @Option(name = "--help", usage = "print this help and exit")
    private boolean help;

    /** Whether to print the version. */
    @Option(name = "--version", usage = "print the version and exit")
    private boolean version;

    /** Used through {@link #read}. */
    private SettingsCommandLine() {}

    /**
     * Reads the command line and the settings; ends the process where there is nothing to run.
     *
     * @param program name of the program
     * @param arguments the command line
     * @param type the record of the settings
     * @param <T> the type of the settings
     * @return the settings
     */
    public static <T> T read(String program, String[] arguments, Class<T> type) {
        SettingsCommandLine line = new SettingsCommandLine();
        CmdLineParser parser = new CmdLineParser(line);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException wrong) {
            System.err.println(program + ": " + wrong.getMessage());
            exit(EXIT_USAGE);
        }
        if (line.help) {
            printHelp(program, parser, System.out);
            exit(0);
        }
        if (line.version) {
            System.out.println(program + " " + VERSION);
            exit(0);
        }
        return line.load(program, parser, type).orElseThrow();
    }

    /**
     * Reads the settings again while the program runs.
     *
     * @param arguments the arguments that the program was started with
     * @param type the settings record
     * @param <T> the settings record
     * @return the settings, empty if they have errors by now
     */
    public static <T> Optional<T> reread(String[] arguments, Class<T> type) {
        SettingsCommandLine line = new SettingsCommandLine();
        try {
            new CmdLineParser(line).parseArgument(arguments);
        } catch (CmdLineException impossible) {
            throw new IllegalStateException("the arguments were accepted before", impossible);
        }
        return YamlReader.read(line.settings, type) instanceof Result.Success<T, List<SettingsError>> success
                ? Optional.of(success.value())
                : Optional.empty();
    }

    /**
     * Loads the settings or ends the process.
     *
     * @param program name of the program
     * @param parser the parser, for the help
     * @param type the record of the settings
     * @param <T> the type of the settings
     * @return the settings
     */
    private <T> Optional<T> load(String program, CmdLineParser parser, Class<T> type) {
        if (settings == null) {
            System.err.println(program + ": --settings FILE is required");
            printHelp(program, parser, System.err);
            exit(EXIT_USAGE);
        }
        Result<T, List<SettingsError>> result = YamlReader.read(settings, type);
        if (result instanceof Result.Failure<T, List<SettingsError>> failure) {
            failure.problem().forEach(System.err::println);
            exit(EXIT_USAGE);
        }
        T value = ((Result.Success<T, List<SettingsError>>) result).value();
        if (check) {
            System.out.print(YamlReader.write(value));
            exit(0);
        }
        return Optional.of(value);
    }

    /**
     * Prints the help.
     *
     * @param program name of the program
     * @param parser the parser
     * @param stream receives the text
     */
    private static void printHelp(String program, CmdLineParser parser, PrintStream stream) {
        stream.println("usage: " + program + " --settings FILE [--check] [--help] [--version]");
        parser.printUsage(stream);
        stream.println("exit status: 0 stopped gracefully, 64 wrong settings, 70 broken invariant, 74 storage failure");
    }

    /**
     * Ends the process.
     *
     * @param status the exit status
     */
    private static void exit(int status) {
        System.exit(status);
    }
}
