package dappleseam.proxy;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/** Writes log lines from a thread of its own; a line that finds no room is dropped. */
final class BackgroundLog extends Handler {
    private static final int MOST_LINES = 1000;
    private static final BackgroundLog INSTANCE = new BackgroundLog();
    /** Held here, as the platform forgets a logger, and its level, that nobody holds. */
    private static final Logger LIBRARIES = Logger.getLogger("org");

    private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(MOST_LINES);
    private final Formatter texts = new SimpleFormatter();

    private BackgroundLog() {}

    /** Takes over what System.Logger writes by way of the platform's own logging. */
    static void start() {
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(INSTANCE);
        LIBRARIES.setLevel(Level.WARNING);
        Thread writer = new Thread(INSTANCE::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    private void write() {
        FileOutputStream err = new FileOutputStream(FileDescriptor.err);
        try {
            while (true) {
                err.write(lines.take().getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt(); // nobody reads the log: it fills up, and lines are dropped
        }
    }

    /** Waits until all lines so far are on their way, for so long at most. */
    static void written(long mostMs) {
        long until = System.nanoTime() + mostMs * 1_000_000;
        try {
            while (!INSTANCE.lines.isEmpty() && System.nanoTime() < until) {
                Thread.sleep(1);
            }
            Thread.sleep(1); // the last one taken is being written
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void publish(LogRecord entry) {
        if (isLoggable(entry)) {
            StringWriter line = new StringWriter();
            line.append(entry.getInstant().toString()).append(' ').append(entry.getLevel().getName()).append(' ')
                    .append(texts.formatMessage(entry)).append('\n');
            if (entry.getThrown() != null) {
                entry.getThrown().printStackTrace(new PrintWriter(line));
            }
            lines.offer(line.toString());
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
