package org.bamboohatch.kernel.settings;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.kernel.outcome.Result;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Command line shared by all programs that have a settings file. */
public final class SettingsCommandLine {

    /** Version printed by {@code --version}. */
    public static final String VERSION = "0.1.0";

    /** Exit status for an invalid command line or invalid settings. */
    public static final int EXIT_USAGE = 64;

    @Option(name = "--settings", metaVar = "FILE", usage = "YAML file with the settings")
    private Path settings;

    @Option(name = "--check", usage = "check the settings, print the effective ones and exit")
    private boolean check;

    @Option(name = "--help", usage = "print this help and exit")
    private boolean help;

    @Option(name = "--version", usage = "print the version and exit")
    private boolean version;

    private SettingsCommandLine() {}

    /**
     * Parses the command line and reads the settings. Exits the process if one of them is invalid, and after the action
     * of {@code --check}, {@code --help} or {@code --version}.
     *
     * @param program name of the program
     * @param arguments command line arguments
     * @param type record to which the settings are mapped
     * @param <T> type of the settings
     */
    public static <T> T read(String program, String[] arguments, Class<T> type) {
        SettingsCommandLine commandLine = new SettingsCommandLine();
        CmdLineParser parser = new CmdLineParser(commandLine);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException invalid) {
            System.err.println(program + ": " + invalid.getMessage());
            exit(EXIT_USAGE);
        }
        if (commandLine.help) {
            printHelp(program, parser, System.out);
            exit(0);
        }
        if (commandLine.version) {
            System.out.println(program + " " + VERSION);
            exit(0);
        }
        return commandLine.load(program, parser, type).orElseThrow();
    }

    /**
     * Reads the settings again while the program runs.
     *
     * @param arguments command line arguments with which the program was started
     * @param type record to which the settings are mapped
     * @param <T> type of the settings
     * @return the current settings, empty if they are invalid
     */
    public static <T> Optional<T> reload(String[] arguments, Class<T> type) {
        SettingsCommandLine commandLine = new SettingsCommandLine();
        try {
            new CmdLineParser(commandLine).parseArgument(arguments);
        } catch (CmdLineException impossible) {
            throw new IllegalStateException("the arguments were valid when the program started", impossible);
        }
        return YamlReader.read(commandLine.settings, type) instanceof Result.Success<T, List<SettingsError>> success
                ? Optional.of(success.value())
                : Optional.empty();
    }

    /**
     * Reads the settings file. Exits the process if it is not named or invalid, or after {@code --check}.
     *
     * @param program name of the program
     * @param parser parser that prints the usage
     * @param type record to which the settings are mapped
     * @param <T> type of the settings
     * @return the settings, never empty
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

    private static void printHelp(String program, CmdLineParser parser, PrintStream stream) {
        stream.println("usage: " + program + " --settings FILE [--check] [--help] [--version]");
        parser.printUsage(stream);
        stream.println("exit status: 0 stopped gracefully, 64 wrong settings, 70 broken invariant, 74 storage failure");
    }

    private static void exit(int status) {
        System.exit(status);
    }
}
