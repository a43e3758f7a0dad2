package dappleseam.lab.peer;

import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** What all of the laboratory that blocks on sockets has in common. */
public final class Blocking {
    private static final long STACK_BYTES = 128 << 10;
    private static final int LONGEST_LINE = 8192;

    private Blocking() {}

    /** What a thread does until its socket ends. */
    public interface Work {
        void run() throws IOException, InterruptedException;
    }

    public static void start(String name, Work work) {
        Thread thread = new Thread(null, () -> {
            try {
                work.run();
            } catch (IOException e) {
                return; // the other side has gone, or this one is over
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** The headers of one message in HTTP, by their names in lower case. */
    public static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            }
        }
        return headers;
    }

    /** A line without its end. */
    public static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0 || line.length() > LONGEST_LINE) {
                throw new IOException(c < 0 ? "ended in a line" : "a line without end");
            }
            line.append((char) c);
        }
        int end = line.length() - (line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? 1 : 0);
        return line.substring(0, end);
    }
}
