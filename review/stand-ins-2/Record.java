import java.io.*;
import java.nio.file.*;

/** The record of a case: what was sent, answered and run, one line each with the milliseconds since the start. */
final class Record implements Closeable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException { out = new PrintWriter(Files.newBufferedWriter(file)); }

    long ms() { return (System.nanoTime() - startNanos) / 1_000_000; }

    synchronized void line(String text) { out.println(ms() + " " + text); }

    /** Writes to the record and the terminal. */
    synchronized void say(String text) { line(text); System.out.println(ms() + " " + text); }

    @Override
    public synchronized void close() { out.close(); }
}
