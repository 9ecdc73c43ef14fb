import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start of the script. */
final class Record implements AutoCloseable {

    private final long start = System.nanoTime();

    private final PrintWriter file;

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path), true);
    }

    /** Returns the time since the start of the script in milliseconds. */
    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String text) {
        file.printf("%8.3f s  %s%n", now() / 1_000.0, text);
    }

    @Override
    public void close() {
        file.close();
    }
}
