package org.bamboohatch.cli.command;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bamboohatch.cli.Context;
import org.bamboohatch.cli.ExitStatus;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.replication.storage.LocalDisk;
import org.bamboohatch.replication.storage.LogStore;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Verifies the data folder of a stopped control process. */
public final class VerifyData implements Command {

    @Argument(metaVar = "FOLDER", required = true, usage = "data folder to check")
    private Path folder;

    @Option(name = "--host", metaVar = "HOST", required = true, usage = "host that the folder belongs to")
    private String host;

    /** Creates the command with its default options; called by the command line parser. */
    public VerifyData() {}

    @Override
    public ExitStatus run(Context context) {
        try (LocalDisk disk = new LocalDisk(folder)) {
            LogStore.StoredState stored = new LogStore(disk).load(new HostName(host));
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("replica", stored.identity().replica().value());
            row.put("term", stored.state().term());
            row.put("snapshot", stored.snapshot().index());
            row.put("entries", stored.entries().size());
            context.printRows(List.of(row));
            return ExitStatus.DONE;
        } catch (IOException damaged) {
            context.printMessage(damaged.getMessage());
            return ExitStatus.INVALID;
        }
    }
}
