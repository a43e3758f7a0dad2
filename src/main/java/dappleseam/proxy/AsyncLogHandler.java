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

/** Writes log lines to standard error on a thread of its own; lines are dropped while the queue is full. */
final class AsyncLogHandler extends Handler {
    private static final int MAX_QUEUED_LINES = 1000;
    private static final AsyncLogHandler INSTANCE = new AsyncLogHandler();
    /** A strong reference: java.util.logging holds loggers weakly, and would lose the level. */
    private static final Logger LIBRARY_LOGGER = Logger.getLogger("org");

    private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final Formatter formatter = new SimpleFormatter();

    private AsyncLogHandler() {}

    /** Replaces the handlers of java.util.logging, which System.Logger writes to. */
    static void start() {
        LogManager.getLogManager().reset();
        Logger.getLogger("").addHandler(INSTANCE);
        LIBRARY_LOGGER.setLevel(Level.WARNING);
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
            Thread.currentThread().interrupt(); // nobody reads the log: the queue fills up, and lines are dropped
        }
    }

    /** Waits until all queued lines have been passed to the writer, for that long at most. */
    static void awaitWritten(long maxMs) {
        long until = System.nanoTime() + maxMs * 1_000_000;
        try {
            while (!INSTANCE.lines.isEmpty() && System.nanoTime() < until) {
                Thread.sleep(1);
            }
            Thread.sleep(1); // the last line taken from the queue is being written
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void publish(LogRecord entry) {
        if (isLoggable(entry)) {
            StringWriter line = new StringWriter();
            line.append(entry.getInstant().toString()).append(' ').append(entry.getLevel().getName()).append(' ')
                    .append(formatter.formatMessage(entry)).append('\n');
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
