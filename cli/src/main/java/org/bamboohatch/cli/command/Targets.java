package org.bamboohatch.cli.command;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.TargetAnnouncement;

/** Lists the targets as reported by each control process. */
public final class Targets implements Command {

    /** Creates the command with its default options; called by the command line parser. */
    public Targets() {}

    @Override
    public ExitStatus run(Context context) {
        List<Map<String, Object>> rows = new ArrayList<>();
        List<ControlReply.Status> statuses = context.statuses();
        for (ControlReply.Status status : statuses) {
            for (TargetAnnouncement target : status.targets()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("target", target.target().value());
                row.put("service", target.service().value());
                row.put("host", target.host().value());
                row.put("zone", target.zone().value());
                row.put("address", target.address());
                row.put(
                        "models",
                        target.models().stream()
                                .map(model -> model.name() + "@" + model.version())
                                .toList());
                row.put("memory_tokens", target.memoryTokens());
                row.put("leaving", target.leaving());
                rows.add(row);
            }
        }
        context.printRows(rows);
        boolean hasLeader = statuses.stream().anyMatch(status -> status.role().equals("LEADER"));
        return hasLeader ? ExitStatus.DONE : ExitStatus.UNREACHABLE;
    }
}
