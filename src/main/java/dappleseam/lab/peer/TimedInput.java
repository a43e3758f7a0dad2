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
        super(new TimestampingStream(socket, openedNanos));
    }

    /** The earliest time at which the bytes of the latest read can have arrived, by {@link System#nanoTime}. */
    public long receivedNanos() {
        return ((TimestampingStream) in).receivedNanos;
    }

    /** The current time less the time that the calling thread has waited for a processor since {@code before}. */
    public static long nowExcludingWait(ThreadTimes before) {
        double waitedMs = ThreadTimes.ofCurrentThread().since(before).waitedMs();
        return System.nanoTime() - (Double.isNaN(waitedMs) ? 0 : Math.round(waitedMs * NANOS_PER_MS));
    }

    /** Stamps each read of the socket. */
    private static final class TimestampingStream extends FilterInputStream {
        /** The last time at which there was nothing to read: the next bytes arrive after it. */
        private long lastEmptyNanos;
        private long receivedNanos;

        TimestampingStream(InputStream socket, long openedNanos) {
            super(socket);
            lastEmptyNanos = openedNanos;
            receivedNanos = openedNanos;
        }

        @Override
        public int available() throws IOException {
            long before = System.nanoTime();
            int availableBytes = in.available();
            lastEmptyNanos = availableBytes == 0 ? before : lastEmptyNanos;
            return availableBytes;
        }

        @Override
        public int read(byte[] bytes, int from, int length) throws IOException {
            boolean hadInput = available() > 0;
            ThreadTimes before = ThreadTimes.ofCurrentThread();
            int count = in.read(bytes, from, length);
            receivedNanos = hadInput ? lastEmptyNanos : Math.max(lastEmptyNanos, nowExcludingWait(before));
            lastEmptyNanos = receivedNanos; // the next bytes arrive after these
            return count;
        }
    }
}
