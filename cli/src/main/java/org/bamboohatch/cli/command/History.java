package org.bamboohatch.cli.command;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.bamboohatch.document.Sha256;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.protocol.message.ControlReply;
import org.bamboohatch.protocol.message.ControlReply.Documents;
import org.bamboohatch.protocol.message.ControlRequest.GetDocument;
import org.bamboohatch.protocol.message.DocumentVersion;
import org.kohsuke.args4j.Argument;

/** Lists the revisions of a service document that are kept. */
public final class History implements Command {

    /** Number of digits that are printed of a hash. */
    private static final int HASH_DIGITS = 12;

    @Argument(metaVar = "SERVICE", required = true, usage = "service whose revisions are listed")
    private String service;

    /** Creates the command with its default options; called by the command line parser. */
    public History() {}

    @Override
    public ExitStatus run(Context context) {
        ControlReply reply = context.callLeader(new GetDocument(new ServiceName(service), 0));
        if (!(reply instanceof Documents documents)) {
            return context.reportUnreachable(reply);
        }
        List<Map<String, Object>> rows = new ArrayList<>();
        for (DocumentVersion version : documents.versions()) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("revision", version.revision());
            row.put("lines", version.text().lines().count());
            row.put("sha256", Sha256.hash(version.text()).substring(0, HASH_DIGITS));
            rows.add(row);
        }
        context.printRows(rows);
        return rows.isEmpty() ? ExitStatus.NOT_FOUND : ExitStatus.DONE;
    }
}
