package org.bamboohatch.cli.command;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.bamboohatch.protocol.message.ControlReply;

/**
 * Prints the status of the control processes with the services, the availability zones in which a revision is not in
 * force yet, and the evacuated ones.
 */
public final class Status implements Command {

    /** Creates the command with its default options; called by the command line parser. */
    public Status() {}

    @Override
    public ExitStatus run(Context context) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (ControlReply.Status status : context.statuses()) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("host", status.host());
            row.put("role", status.role());
            row.put("term", status.term());
            row.put("committed", status.commitIndex());
            row.put("applied", status.appliedIndex());
            row.put("voters", status.voters());
            row.put("learners", status.learners());
            row.put(
                    "services",
                    status.services().stream()
                            .map(service -> service.service() + "@" + service.revision())
                            .toList());
            row.put("targets", status.targets().size());
            row.put("runs", status.runs());
            row.put("pending", status.pendingZones());
            row.put(
                    "evacuated",
                    status.evacuated() == null ? List.of() : status.evacuated().zones());
            rows.add(row);
        }
        context.printRows(rows);
        boolean hasLeader = rows.stream().anyMatch(row -> row.get("role").equals("LEADER"));
        return hasLeader ? ExitStatus.DONE : ExitStatus.UNREACHABLE;
    }
}
