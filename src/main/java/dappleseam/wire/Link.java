package dappleseam.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * An open non-blocking connection on XNIO's conduits: passes received bytes to its {@link Listener}, and writes queued output as the peer
 * accepts it. Only for the I/O thread.
 */
public final class Link {
    /** Maximum reads in a row before other connections are served. */
    private static final int READS = 8;
    /** Read buffer size of a nested read: usually nothing has arrived, at most some hundred commands. */
    private static final int LOOK = 8 << 10;
    /** Maximum bytes read ahead while delivery is paused, more than a hundred commands; a close behind more input than that is not seen. */
    private static final int AHEAD = 16 << 10;

    /** Callbacks for the events of a connection. */
    public interface Events {
        /** Bytes have arrived; all of them must be consumed before this returns. */
        void received(ByteBuffer bytes);

        /**
         * The connection failed or was closed by the peer. At most one of this and {@link #endOfStream} is called, once, and never after
         * {@link Link#close}.
         */
        void ended(String cause);

        /** The peer has closed the connection in order, and all that it wrote has arrived; not called for a reset. */
        default void finished() {
            ended("closed by the peer");
        }

        /**
         * All available input was delivered, or read ahead as far as possible (see {@link Link#hasUnreadInput}), and the connection is still
         * open.
         */
        default void caughtUp() {}

        /** All queued output is written. */
        default void drained() {}
    }

    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final ByteBuffer scratch;
    private final Events events;
    private final Chain out;
    private long written;
    private boolean closed;
    private boolean paused;
    /** The last read stopped before all available input was read. */
    private boolean hasMore;
    /** Input read while delivery is paused; null while input is delivered at once. */
    private ByteBuffer ahead;

    /** {@code scratch} is a read buffer shared by all connections of the thread, as input is consumed at once. */
    public Link(StreamConnection connection, BufferPool pool, ByteBuffer scratch, Events events) {
        this.connection = connection;
        this.scratch = scratch;
        this.events = events;
        out = new Chain(pool);
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.getReadSetter().set(channel -> readable());
        sink.getWriteSetter().set(channel -> flush());
    }

    /** Ends {@link #pauseReading} and {@link #pauseDelivery}: delivers input that was read ahead, and reads on. */
    public void resume() {
        if (!closed) {
            paused = false;
            source.resumeReads();
        }
        if (ahead != null) {
            ByteBuffer before = ahead;
            ahead = null;
            if (!closed) {
                handOn(before.flip());
            }
        }
    }

    /** Delivers no input until {@link #resume}, but reads ahead in order to see a close: backpressure must not hide one. */
    public void hold() {
        if (!closed && ahead == null) {
            ahead = ByteBuffer.allocate(AHEAD);
        }
    }

    /** Whether there may be input that was not read, or could not be read ahead, so that a close behind it would not be seen. */
    public boolean isBlind() {
        return hasMore || ahead != null && !ahead.hasRemaining();
    }

    /** Whether input was read ahead and is not delivered yet. */
    public boolean hasReadAhead() {
        return ahead != null && ahead.position() > 0;
    }

    /** Stops reading until {@link #resume}; a close is not seen meanwhile. */
    public void pause() {
        if (!closed) {
            paused = true;
            source.suspendReads();
        }
    }

    /** The output queue; {@link #flush} sends it. */
    public Chain out() {
        return out;
    }

    /** Bytes queued for output since the connection was opened. */
    public long queued() {
        return written + out.size();
    }

    /** Bytes written to the kernel since the connection was opened; they may have reached the peer. */
    public long written() {
        return written;
    }

    public boolean isClosed() {
        return closed;
    }

    /** Discards the queued output that is not written to the kernel. */
    public void dropUnwritten() {
        out.release();
        sink.suspendWrites();
    }

    /** Writes as much of the queued output as the peer accepts; the rest follows once the connection is writable. */
    public void flush() {
        if (closed) {
            return;
        }
        try {
            written += out.writeTo(sink);
            if (out.size() > 0) {
                sink.resumeWrites();
                return;
            }
            if (sink.isWriteResumed()) {
                sink.suspendWrites();
            }
        } catch (IOException | RuntimeException e) {
            end("write: " + e.getMessage());
            return;
        }
        events.drained();
    }

    /** Whether no input and no close has arrived on a connection on which none is expected. A byte read by this check is lost. */
    public boolean isQuiet() {
        try {
            return !closed && source.read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Reads and delivers the available input now. Must not be called while the bytes of another connection are handled, as both share the read
     * buffer.
     */
    public void readable() {
        read(scratch);
    }

    /** As {@link #readAvailable}, but can be called while the bytes of another connection are handled. */
    public void look() {
        if (!paused) {
            read(ByteBuffer.allocate(LOOK));
        }
    }

    /** Reads until no input is left, so that a close behind the last bytes is seen before they are acted upon. */
    private void read(ByteBuffer into) {
        int count = 1;
        for (int i = 0; i < READS && !closed && count > 0; i++) {
            try {
                count = ahead != null ? readAhead() : source.read(into.clear());
                if (count > 0 && ahead == null) {
                    events.received(into.flip());
                }
            } catch (IOException e) {
                end("read: " + e.getMessage());
                return;
            } catch (RuntimeException e) { // an internal error ends this connection only
                end("internal error: " + e);
                return;
            }
            if (count < 0) {
                finish();
                return;
            }
            if (paused) {
                break;
            }
        }
        hasMore = !closed && count > 0;
        if (!closed && !hasMore) {
            events.caughtUp();
        }
    }

    private void handOn(ByteBuffer before) {
        try {
            events.received(before);
        } catch (RuntimeException e) { // see read
            end("internal error: " + e);
        }
        if (!closed) { // a close may follow input that could not be read ahead
            read(ByteBuffer.allocate(LOOK));
        }
    }

    private int readAhead() throws IOException {
        int count = ahead.hasRemaining() ? source.read(ahead) : 0;
        if (!ahead.hasRemaining()) {
            source.suspendReads();
        }
        return count;
    }

    private void finish() {
        if (!closed) {
            close();
            events.finished();
        }
    }

    private void end(String cause) {
        if (!closed) {
            close();
            events.ended(cause);
        }
    }

    /** Closes at once on the I/O thread, so that no input can arrive between a last read and the close. */
    public void closeAtOnce() {
        if (!closed) {
            closed = true;
            out.release();
            IoUtils.safeClose(connection);
        }
    }

    /** Closes the connection; the socket itself is closed by a worker thread. */
    public void close() {
        if (!closed) {
            closed = true;
            out.release();
            // XNIO runs an extra select, over all that is ready, for each connection closed on the I/O thread. Under load, with clients
            // connecting and disconnecting, that took a quarter of the thread's time.
            source.suspendReads();
            sink.suspendWrites();
            connection.getWorker().execute(() -> IoUtils.safeClose(connection));
        }
    }
}
