import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the time since the start in milliseconds. */
final class Record {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;
    private boolean hasEnded;

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile());
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Leaves out what is seen while the processes end. */
    synchronized void end() {
        hasEnded = true;
    }

    synchronized void line(String text) {
        if (hasEnded) return;
        out.println(String.format("%7d  %s", millis(), text));
        out.flush();
    }
}
