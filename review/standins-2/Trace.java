import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with milliseconds since the start of the case. */
final class Trace {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Trace(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void say(String line) {
        out.println(String.format("%7d", millis()) + " ms  " + line);
        out.flush();
    }
}
