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

/** Gathers the events of all processes in causal order. */
public final class ShowTimeline implements Command {

    /** The subject. */
    @Option(name = "--subject", metaVar = "ID", usage = "request, service or host; default: every subject")
    private String subject = "";

    /** Addresses of the entries. */
    @Option(name = "--entries", metaVar = "ADDRESSES", usage = "internal addresses of the entries, joined by commas")
    private String entries = "";

    /** File for a page. */
    @Option(name = "--html", metaVar = "FILE", usage = "write a self-contained page")
    private Path html;

    /** Used by the command line parser. */
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
            if (context.askOne(address, new GetEvents(subject)) instanceof Events answer) {
                events.addAll(answer.events());
                if (answer.lost() > 0) {
                    context.tell(address + ": gap: " + answer.lost() + " earlier events were overwritten");
                }
            } else {
                context.tell(address + ": gap: does not answer");
            }
        }
        events.sort(Comparator.comparingLong(Event::time));
        return html == null ? print(context, events) : writePage(context, events);
    }

    /**
     * Prints the events.
     *
     * @param context takes them
     * @param events the events
     * @return the exit status
     */
    private static ExitStatus print(Context context, List<Event> events) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Event event : events) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("time", time(event));
            row.put("process", event.process());
            row.put("subject", event.subject());
            row.put("event", event.kind());
            row.put("detail", event.detail());
            rows.add(row);
        }
        context.print(rows);
        return ExitStatus.DONE;
    }

    /**
     * Writes the events as a page.
     *
     * @param context takes errors
     * @param events the events
     * @return the exit status
     */
    private ExitStatus writePage(Context context, List<Event> events) {
        TablePage page = new TablePage("Time line");
        for (Event event : events) {
            page.row("", List.of(time(event), event.process(), event.subject(), event.kind(), event.detail()));
        }
        try {
            Files.writeString(html, page.end());
            return ExitStatus.DONE;
        } catch (IOException unwritable) {
            context.tell(html + ": cannot be written: " + unwritable.getMessage());
            return ExitStatus.USAGE;
        }
    }

    /**
     * Renders the time of an event.
     *
     * @param event the event
     * @return wall time and counter
     */
    private static String time(Event event) {
        HybridTime time = HybridTime.unpack(event.time());
        return Instant.ofEpochMilli(time.millis()) + "+" + time.counter();
    }
}
