package dappleseam.lab.peer;

import dappleseam.diagnostics.ThreadTimes;
import java.io.BufferedInputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * Input from a socket that knows the earliest time at which its latest bytes can have arrived. On a busy machine a thread reads late: the time that it waited for a processor, or was busy elsewhere
 * while bytes had already arrived, must not count as lateness of the sender.
 */
public final class TimedInput extends BufferedInputStream {
    private static final double NANOS_PER_MS = 1e6;

    /** {@code openedNanos}: the earliest time at which the connection can have been opened, by {@link System#nanoTime}. */
    public TimedInput(InputStream socket, long openedNanos) {
        super(new Stamped(socket, openedNanos));
    }

    /** The earliest time at which the bytes of the latest read can have arrived, by {@link System#nanoTime}. */
    public long receivedNanos() {
        return ((Stamped) in).receivedNanos;
    }

    /** The current time less the time that the calling thread has waited for a processor since {@code before}. */
    public static long nanosLess(ThreadTimes before) {
        double waitedMs = ThreadTimes.ofCurrentThread().since(before).waitedMs();
        return System.nanoTime() - (Double.isNaN(waitedMs) ? 0 : Math.round(waitedMs * NANOS_PER_MS));
    }

    /** Stamps each read of the socket. */
    private static final class Stamped extends FilterInputStream {
        /** The last time at which there was nothing to read: the next bytes arrive after it. */
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
            emptyNanos = receivedNanos; // the next bytes arrive after these
            return count;
        }
    }
}
