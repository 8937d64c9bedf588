import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the record of a run; times are milliseconds since its start. */
final class Trace implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Trace(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start of the run. */
    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void write(String line) {
        String text = String.format("%7d ms  %s", now(), line);
        out.println(text);
        out.flush();
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
