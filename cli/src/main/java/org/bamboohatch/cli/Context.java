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

/** What every command has at hand. */
public final class Context {

    /** Time for one question. */
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Time for a question to one process. */
    private static final Duration ONE_TIMEOUT = Duration.ofSeconds(2);

    /** Addresses of the control processes. */
    private final List<String> control;

    /** How results are printed. */
    private final OutputFormat format;

    /** Takes results. */
    private final PrintStream out;

    /** Takes progress and errors. */
    private final PrintStream err;

    /** The network threads. */
    private final Network network = new Network(1, new Timeline("operator", 16));

    /**
     * Creates a context.
     *
     * @param control addresses of the control processes
     * @param format how results are printed
     * @param out takes results
     * @param err takes progress and errors
     */
    public Context(List<String> control, OutputFormat format, PrintStream out, PrintStream err) {
        this.control = control;
        this.format = format;
        this.out = out;
        this.err = err;
    }

    /**
     * Asks the leader.
     *
     * @param request the request
     * @return the reply
     */
    public ControlReply ask(ControlRequest request) {
        return new ControlClient(network, control).call(request, TIMEOUT).join();
    }

    /**
     * Asks one process.
     *
     * @param address its address
     * @param request the request
     * @return the reply, or {@link ControlReply.Undecided} if there is none
     */
    public ControlReply askOne(String address, ControlRequest request) {
        try {
            return (ControlReply) new ControlClient(network, List.of(address))
                    .callOne(address, request, ONE_TIMEOUT)
                    .join();
        } catch (CompletionException unreachable) {
            return new ControlReply.Undecided(
                    address + " does not answer: " + unreachable.getCause().getMessage());
        }
    }

    /**
     * Returns the addresses of the control processes.
     *
     * @return the addresses
     */
    public List<String> control() {
        return control;
    }

    /**
     * Returns the state of every control process that answers.
     *
     * @return the states
     */
    public List<ControlReply.Status> statuses() {
        List<ControlReply.Status> found = new ArrayList<>();
        for (String address : control) {
            if (askOne(address, new ControlRequest.GetStatus()) instanceof ControlReply.Status status) {
                found.add(status);
            } else {
                err.println("control process " + address + " does not answer");
            }
        }
        return found;
    }

    /**
     * Prints rows.
     *
     * @param rows the rows
     */
    public void print(List<Map<String, Object>> rows) {
        out.print(format.render(rows));
    }

    /**
     * Prints a text as it is.
     *
     * @param text the text
     */
    public void printText(String text) {
        out.print(text);
    }

    /**
     * Tells progress or an error.
     *
     * @param sentence what to tell
     */
    public void tell(String sentence) {
        err.println(sentence);
    }

    /**
     * Tells that control did not answer.
     *
     * @param reply the reply in place of an answer
     * @return the exit status
     */
    public ExitStatus unreachable(ControlReply reply) {
        err.println("control did not decide: " + reply);
        return ExitStatus.UNREACHABLE;
    }

    /** Closes the connections. */
    public void close() {
        network.stop();
    }
}
