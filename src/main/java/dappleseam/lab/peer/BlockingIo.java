package dappleseam.lab.peer;

import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Helpers for the parts of the laboratory that use blocking sockets. */
public final class BlockingIo {
    private static final long STACK_BYTES = 128 << 10;
    private static final int MAX_LINE_LENGTH = 8192;

    private BlockingIo() {}

    /** The task of a thread that ends with its socket. */
    public interface Task {
        void run() throws IOException, InterruptedException;
    }

    /** Runs the task on a daemon thread; an {@link IOException} ends it silently. */
    public static void startThread(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
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
    public static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            }
        }
        return headers;
    }

    /** Reads a line; returns it without its line end. */
    public static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0 || line.length() > MAX_LINE_LENGTH) {
                throw new IOException(c < 0 ? "connection closed within a line" : "line is too long");
            }
            line.append((char) c);
        }
        int end = line.length() - (line.length() > 0 && line.charAt(line.length() - 1) == '\r' ? 1 : 0);
        return line.substring(0, end);
    }
}
