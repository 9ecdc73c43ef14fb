package org.bamboohatch.cli;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;

import org.bamboohatch.kernel.event.Timeline;
import org.bamboohatch.protocol.client.ControlClient;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlRequest;
import org.bamboohatch.protocol.transport.Network;

/** Connections and output streams that are shared by all commands. */
public final class Context {

    /** Timeout of a request to the leader, over all attempts. */
    private static final Duration LEADER_TIMEOUT = Duration.ofSeconds(10);

    /** Timeout of a request to a single process. */
    private static final Duration PROCESS_TIMEOUT = Duration.ofSeconds(2);

    private final List<String> control;

    private final OutputFormat format;

    private final PrintStream out;

    private final PrintStream err;

    private final Network network = new Network(1, new Timeline("operator", 16));

    /**
     * Creates the context of one command.
     *
     * @param control addresses of the control processes, as IP:port
     * @param format format of printed rows
     * @param out receives results
     * @param err receives messages on progress and errors
     */
    public Context(List<String> control, OutputFormat format, PrintStream out, PrintStream err) {
        this.control = control;
        this.format = format;
        this.out = out;
        this.err = err;
    }

    /**
     * Sends a request to the leader of the control processes and waits for the reply.
     *
     * @param request request to send
     * @return reply to the request
     */
    public ControlReply callLeader(ControlRequest request) {
        return new ControlClient(network, control).call(request, LEADER_TIMEOUT).join();
    }

    /**
     * Sends a request to one process and waits for the reply.
     *
     * @param address address of the process, as IP:port
     * @param request request to send
     * @return reply of the process, or {@link ControlReply.Undecided} if it does not reply
     */
    public ControlReply callProcess(String address, ControlRequest request) {
        try {
            return (ControlReply) new ControlClient(network, List.of(address))
                    .callOne(address, request, PROCESS_TIMEOUT)
                    .join();
        } catch (CompletionException unreachable) {
            return new ControlReply.Undecided(
                    address + " does not answer: " + unreachable.getCause().getMessage());
        }
    }

    /** Returns the addresses of the control processes, as IP:port. */
    public List<String> control() {
        return control;
    }

    /**
     * Returns the status of each control process. Processes that do not reply are left out and reported on the error
     * stream.
     */
    public List<ControlReply.Status> statuses() {
        List<ControlReply.Status> statuses = new ArrayList<>();
        for (String address : control) {
            if (callProcess(address, new ControlRequest.GetStatus()) instanceof ControlReply.Status status) {
                statuses.add(status);
            } else {
                err.println("control process " + address + " does not answer");
            }
        }
        return statuses;
    }

    /**
     * Prints a result as a table or as JSON.
     *
     * @param rows rows that all have the same keys in the same order
     */
    public void printRows(List<Map<String, Object>> rows) {
        out.print(format.render(rows));
    }

    /**
     * Prints a result without formatting or a line end.
     *
     * @param text text to print
     */
    public void printText(String text) {
        out.print(text);
    }

    /**
     * Prints a message on progress or an error to the error stream.
     *
     * @param message message to print
     */
    public void printMessage(String message) {
        err.println(message);
    }

    /**
     * Prints an error that the control processes did not decide the request.
     *
     * @param reply reply that was received instead of a decision
     * @return exit status of the command
     */
    public ExitStatus reportUnreachable(ControlReply reply) {
        err.println("the control processes did not decide the request: " + reply);
        return ExitStatus.UNREACHABLE;
    }

    /**
     * Determines the exit status of a command that has printed everything.
     *
     * @param status exit status by which the command has ended
     * @return that status, or {@link ExitStatus#USAGE} if a part of the results could not be printed
     */
    public ExitStatus finish(ExitStatus status) {
        if (out.checkError()) {
            err.println("the results could not be printed completely");
            return ExitStatus.USAGE;
        }
        return status;
    }

    /** Closes all connections. */
    public void close() {
        network.stop();
    }
}
