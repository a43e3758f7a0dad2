package dappleseam.lab.peer;

import dappleseam.diagnostics.ThreadTimes;
import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Bytes from a socket, with the earliest time at which the latest of them can have come. A thread of a busy machine reads late: what it waited for a processor, or did elsewhere while bytes were there
 * already, is no lateness of their sender's.
 */
public final class TimedInput extends BufferedInputStream {
    private static final double NANOS_PER_MS = 1e6;

    /** {@code openedNanos}: the earliest time at which the connection can have been there, by {@link System#nanoTime}. */
    public TimedInput(InputStream socket, long openedNanos) {
        super(new Stamped(socket, openedNanos));
    }

    /** By {@link System#nanoTime}. */
    public long receivedNanos() {
        return ((Stamped) in).receivedNanos;
    }

    /** Now, less what the calling thread has waited for a processor since those times were taken. */
    public static long nanosLess(ThreadTimes before) {
        double waitedMs = ThreadTimes.ofCurrentThread().since(before).waitedMs();
        return System.nanoTime() - (Double.isNaN(waitedMs) ? 0 : Math.round(waitedMs * NANOS_PER_MS));
    }

    private static final class Stamped extends FilterInputStream {
        /** What comes next comes after this: nothing else was there to read then. */
        private long emptyNanos;
        private long receivedNanos;

        Stamped(InputStream socket, long openedNanos) {
            super(socket);
            emptyNanos = openedNanos;
            receivedNanos = openedNanos;
        }

        @Override
        public int available() throws IOException {
            long before = System.nanoTime();
            int there = in.available();
            emptyNanos = there == 0 ? before : emptyNanos;
            return there;
        }

        @Override
        public int read(byte[] bytes, int from, int length) throws IOException {
            boolean isThere = available() > 0;
            ThreadTimes before = ThreadTimes.ofCurrentThread();
            int count = in.read(bytes, from, length);
            receivedNanos = isThere ? emptyNanos : Math.max(emptyNanos, nanosLess(before));
            emptyNanos = receivedNanos; // what comes next comes after this
            return count;
        }
    }
}
