package dappleseam.lab.peer;

import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Helpers for the parts of the laboratory that use blocking sockets. */
public final class Blocking {
    private static final long STACK_BYTES = 128 << 10;
    private static final int LONGEST_LINE = 8192;

    private Blocking() {}

    /** The task of a thread that ends with its socket. */
    public interface Work {
        void run() throws IOException, InterruptedException;
    }

    /** Runs the task on a daemon thread; an {@link IOException} ends it silently. */
    public static void start(String name, Work work) {
        Thread thread = new Thread(null, () -> {
            try {
                work.run();
            } catch (IOException e) {
                return; // the connection or the listener was closed by either side
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads the headers of an HTTP message; names are in lower case. */
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

    /** Reads a line; returns it without its line end. */
    public static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0 || line.length() > LONGEST_LINE) {
                throw new IOException(c < 0 ? "connection closed within a line" : "line is too long");
            }
            line.append((char) c);
        }
        int end = line.length() - (line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? 1 : 0);
        return line.substring(0, end);
    }
}
