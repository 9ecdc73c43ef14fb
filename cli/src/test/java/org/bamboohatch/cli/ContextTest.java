package org.bamboohatch.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;

import org.bamboohatch.cli.command.Targets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/** Results that are not whole: no command may report them as done. */
@Timeout(60)
class ContextTest {

    /** A file on a disk that is full after some bytes. */
    private static final class FullDisk extends OutputStream {

        private int free = 8;

        @Override
        public void write(int value) throws IOException {
            if (free-- <= 0) {
                throw new IOException("no space left");
            }
        }
    }

    private static Context context(List<String> control, OutputStream out) {
        return new Context(
                control, OutputFormat.TABLE, new PrintStream(out), new PrintStream(OutputStream.nullOutputStream()));
    }

    /** Guards against a document that was cut by a full disk and is then applied. */
    @Test
    void resultsThatCannotBePrintedAreNotDone() {
        Context whole = context(List.of(), new ByteArrayOutputStream());
        Context cut = context(List.of(), new FullDisk());
        for (Context context : List.of(whole, cut)) {
            context.printText("service: portal\nkind: plain\n");
        }
        assertThat(whole.finish(ExitStatus.DONE)).isEqualTo(ExitStatus.DONE);
        assertThat(cut.finish(ExitStatus.DONE)).isEqualTo(ExitStatus.USAGE);
        whole.close();
        cut.close();
    }

    /** Guards against an empty list of targets because no process that knows them has answered. */
    @Test
    void targetsWithoutALeaderAreNotDone() throws IOException {
        String unreachable;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            unreachable = "127.0.0.1:" + free.getLocalPort();
        }
        Context context = context(List.of(unreachable), new ByteArrayOutputStream());
        assertThat(new Targets().run(context)).isEqualTo(ExitStatus.UNREACHABLE);
        context.close();
    }
}
