package bamboohatch.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the time since the start in seconds. */
final class Record implements AutoCloseable {

    private final PrintWriter out;

    private final long startedAt = System.nanoTime();

    Record(String file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(Path.of(file)), true);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void line(String format, Object... arguments) {
        String text = String.format("%8.3f  ", seconds())
                + String.format(format, arguments).replace("\r", "\\r").replace("\n", "\\n");
        out.println(text);
        System.out.println(text);
    }

    @Override
    public void close() {
        out.close();
    }
}
