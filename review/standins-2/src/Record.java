import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: one line for each event, with the seconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        this.out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
    }
}
