package org.bamboohatch.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.bamboohatch.kernel.event.Event;
import org.bamboohatch.kernel.event.HybridTime;
import org.bamboohatch.protocol.message.ControlReply.Events;
import org.bamboohatch.protocol.message.ControlRequest.GetEvents;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.kohsuke.args4j.Option;

/** Prints the events of all processes in causal order, or writes them to an HTML page. */
public final class ShowTimeline implements Command {

    @Option(name = "--subject", metaVar = "ID", usage = "request, service or host; default: every subject")
    private String subject = "";

    @Option(name = "--entries", metaVar = "ADDRESSES", usage = "internal addresses of the entries, joined by commas")
    private String entries = "";

    @Option(name = "--html", metaVar = "FILE", usage = "write a self-contained page")
    private Path html;

    /** Creates the command with its default options; called by the command line parser. */
    public ShowTimeline() {}

    @Override
    public ExitStatus run(Context context) {
        Set<String> addresses = new LinkedHashSet<>(context.control());
        context.statuses().forEach(status -> status.targets().stream()
                .map(TargetAnnouncement::address)
                .forEach(addresses::add));
        if (!entries.isEmpty()) {
            addresses.addAll(List.of(entries.split(",")));
        }
        List<Event> events = new ArrayList<>();
        for (String address : addresses) {
            if (context.callProcess(address, new GetEvents(subject)) instanceof Events reply) {
                events.addAll(reply.events());
                if (reply.lost() > 0) {
                    context.printMessage(address + ": gap: " + reply.lost() + " earlier events were overwritten");
                }
            } else {
                context.printMessage(address + ": gap: does not answer");
            }
        }
        events.sort(Comparator.comparingLong(Event::time));
        return html == null ? printEvents(context, events) : writePage(context, events);
    }

    private static ExitStatus printEvents(Context context, List<Event> events) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Event event : events) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("time", formatTime(event));
            row.put("process", event.process());
            row.put("subject", event.subject());
            row.put("event", event.kind());
            row.put("detail", event.detail());
            rows.add(row);
        }
        context.printRows(rows);
        return ExitStatus.DONE;
    }

    /**
     * Writes the events to an HTML page.
     *
     * @param context receives an error
     * @param events events in causal order
     * @return exit status of the command
     */
    private ExitStatus writePage(Context context, List<Event> events) {
        TablePage page = new TablePage("Time line");
        for (Event event : events) {
            page.addRow("", List.of(formatTime(event), event.process(), event.subject(), event.kind(), event.detail()));
        }
        try {
            Files.writeString(html, page.finish());
            return ExitStatus.DONE;
        } catch (IOException unwritable) {
            context.printMessage(html + ": cannot be written: " + unwritable.getMessage());
            return ExitStatus.USAGE;
        }
    }

    /**
     * Formats the time of an event.
     *
     * @param event event to format
     * @return wall time and counter of the hybrid timestamp
     */
    private static String formatTime(Event event) {
        HybridTime time = HybridTime.unpack(event.time());
        return Instant.ofEpochMilli(time.millis()) + "+" + time.counter();
    }
}
