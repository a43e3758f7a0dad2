package dappleseam.wire;

import dappleseam.diagnostics.RateLimitedLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * An open non-blocking connection on XNIO's conduits: passes received bytes to its {@link Listener}, and writes queued output as the peer
 * accepts it. Only for the I/O thread.
 */
public final class Link {
    private static final double LOG_INTERVAL_MS = 1000;
    private static final double NANOS_PER_MS = 1e6;
    private static final RateLimitedLog ERROR_LOG = new RateLimitedLog(System.getLogger(Link.class.getName()), LOG_INTERVAL_MS);
    /** Maximum reads in a pass, after which other connections are served. */
    private static final int MAX_READS = 8;
    /** Read buffer size of a nested read: usually nothing has arrived, at most some hundred commands. */
    private static final int NESTED_READ_BYTES = 8 << 10;
    /** Maximum bytes read ahead while delivery is paused, more than a hundred commands; a close behind more input than that is not seen. */
    private static final int READ_AHEAD_BYTES = 16 << 10;
    /** Bytes of the first buffer for input read ahead; most paused connections need none. */
    private static final int MIN_READ_AHEAD_BYTES = 512;
    private static final ByteBuffer NO_INPUT = ByteBuffer.allocate(0);

    /** Callbacks for the events of a connection. */
    public interface Listener {
        /** Bytes have arrived; all of them must be consumed before this returns. */
        void received(ByteBuffer bytes);

        /**
         * The connection failed or was closed by the peer. At most one of this and {@link #endOfStream} is called, once, and never after
         * {@link Link#close}.
         */
        void disconnected(String cause);

        /** The peer has closed the connection in order, and all that it wrote has arrived; not called for a reset. */
        default void endOfStream() {
            disconnected("closed by the peer");
        }

        /** As {@link #disconnected}, for an error of the listener itself. */
        default void failed(Throwable error) {
            disconnected("internal error: " + error);
        }

        /** How many more bytes may be read in this pass, of which {@code passBytes} have been read; 0 ends the pass. */
        default int readAllowance(long passBytes) {
            return Integer.MAX_VALUE;
        }

        /**
         * All available input was delivered, or read ahead as far as possible (see {@link Link#hasUnreadInput}), and the connection is still
         * open.
         */
        default void readComplete() {}

        /** All queued output is written. */
        default void flushed() {}
    }

    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final ByteBuffer scratch;
    private final Listener listener;
    private final BufferChain out;
    private long bytesWritten;
    private boolean closed;
    private boolean paused;
    /** The socket is not read any more; input read ahead before is still delivered. */
    private boolean readingEnded;
    /** The last pass ended before a read found no input: there may be more, or none that anything else would tell of. */
    private boolean hasMore;
    private final NextTurnTask nextPass;
    /** Input read while delivery is paused; null while input is delivered at once. */
    private ByteBuffer undelivered;

    /**
     * {@code scratch} is a read buffer shared by all connections of the thread, as input is consumed at once. {@code nextTurn} runs a task on the
     * I/O thread after the other connections that are ready have been served.
     */
    public Link(StreamConnection connection, BufferPool pool, ByteBuffer scratch, Executor nextTurn, Listener listener) {
        this.connection = connection;
        this.scratch = scratch;
        nextPass = new NextTurnTask(nextTurn, this::readNextPass);
        this.listener = listener;
        out = new BufferChain(pool);
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.getReadSetter().set(channel -> readSelected());
        sink.getWriteSetter().set(channel -> flush());
    }

    /** Ends {@link #pauseReading} and {@link #pauseDelivery}: delivers input that was read ahead, and reads on. */
    public void resume() {
        if (!closed && !readingEnded) {
            paused = false;
            source.resumeReads();
            scheduleNextPass();
        }
        if (undelivered != null) {
            ByteBuffer input = undelivered;
            undelivered = null;
            if (!closed) {
                deliver(input.flip());
            }
        }
    }

    /** Delivers no input until {@link #resume}, but reads ahead in order to see a close: backpressure must not hide one. */
    public void pauseDelivery() {
        if (!closed && undelivered == null) {
            undelivered = NO_INPUT;
        }
    }

    /** Whether there may be input that was not read, or could not be read ahead, so that a close behind it would not be seen. */
    public boolean hasUnreadInput() {
        return hasMore || undelivered != null && undelivered.position() == READ_AHEAD_BYTES;
    }

    /** Whether input was read ahead and is not delivered yet. */
    public boolean hasUndeliveredInput() {
        return undelivered != null && undelivered.position() > 0;
    }

    /** Stops reading until {@link #resume}; a close is not seen meanwhile. */
    public void pauseReading() {
        if (!closed) {
            paused = true;
            hasMore = true; // what arrives meanwhile is not seen
            source.suspendReads();
        }
    }

    /** Stops reading for good. Input that was read ahead is still delivered by {@link #resume}; a close is not seen any more. */
    public void endReading() {
        if (!closed) {
            pauseReading();
            readingEnded = true;
            hasMore = false;
        }
    }

    /** Whether the socket is not read any more. */
    public boolean hasEndedReading() {
        return readingEnded;
    }

    /** The output queue; {@link #flush} sends it. */
    public BufferChain out() {
        return out;
    }

    /** Bytes queued for output since the connection was opened. */
    public long bytesQueued() {
        return bytesWritten + out.size();
    }

    /** Bytes written to the kernel since the connection was opened; they may have reached the peer. */
    public long bytesWritten() {
        return bytesWritten;
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
            bytesWritten += out.writeTo(sink);
            if (out.size() > 0) {
                sink.resumeWrites();
                return;
            }
            if (sink.isWriteResumed()) {
                sink.suspendWrites();
            }
        } catch (IOException | RuntimeException e) {
            handleFailure("write: " + e.getMessage());
            return;
        }
        guard(listener::flushed);
    }

    /** The task, for a timer or another connection's event: an error in it ends this connection only. */
    public Runnable guarded(Runnable task) {
        return () -> guard(task);
    }

    private void guard(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) { // what other peers are owed goes on
            handleError(e);
        }
    }

    /** Whether no input and no close has arrived on a connection on which none is expected. A byte read by this check is lost. */
    public boolean hasNoInput() {
        try {
            return !closed && source.read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Reads and delivers the available input now, unless reading is paused. Must not be called while the bytes of another connection are handled, as
     * both share the read buffer.
     */
    public void readAvailable() {
        if (!paused) {
            read(scratch);
        }
    }

    /** As {@link #readAvailable}, but can be called while the bytes of another connection are handled. */
    public void readAvailableNested() {
        if (!paused) {
            read(ByteBuffer.allocate(NESTED_READ_BYTES));
        }
    }

    /** A pass that is scheduled follows in this turn: one more would be the connection's second. */
    private void readSelected() {
        if (!nextPass.isQueued()) {
            readAvailable();
        }
    }

    /** Reads until no input is left, so that a close behind the last bytes is seen before they are acted upon. */
    private void read(ByteBuffer into) {
        int count = 1;
        long passBytes = 0;
        for (int i = 0; i < MAX_READS && !closed && count > 0; i++) {
            try {
                int allowance = listener.readAllowance(passBytes);
                if (allowance <= 0) {
                    break;
                }
                count = undelivered != null ? readAhead(into) : source.read(into.clear().limit(Math.min(into.capacity(), allowance)));
                passBytes += count;
                if (count > 0 && undelivered == null) {
                    listener.received(into.flip());
                }
            } catch (IOException e) {
                handleFailure("read: " + e.getMessage());
                return;
            } catch (RuntimeException | Error e) { // an internal error ends this connection only
                handleError(e);
                return;
            }
            if (count < 0) {
                handleEndOfStream();
                return;
            }
            if (paused) {
                break;
            }
        }
        hasMore = !closed && count > 0;
        scheduleNextPass();
        if (!closed && !hasMore) {
            guard(listener::readComplete);
        }
    }

    /**
     * Has another pass made if the last one did not find the end of the input. The selector signals only what is left in the socket: without this,
     * input whose last byte was taken by the last read of a pass would never be reported as complete.
     */
    private void scheduleNextPass() {
        if (hasMore && !paused && !closed) {
            nextPass.queue();
        }
    }

    private void readNextPass() {
        if (hasMore && !closed) { // else a pass was made meanwhile
            readAvailable();
        }
    }

    private void deliver(ByteBuffer input) {
        guard(() -> listener.received(input));
        if (!closed && readingEnded) {
            guard(listener::readComplete);
        } else if (!closed) { // a close may follow input that could not be read ahead
            read(ByteBuffer.allocate(NESTED_READ_BYTES));
        }
    }

    private int readAhead(ByteBuffer into) throws IOException {
        int room = READ_AHEAD_BYTES - undelivered.position();
        int total = 0;
        int count = 1;
        while (count > 0 && total < room) {
            count = source.read(into.clear().limit(Math.min(into.capacity(), room - total)));
            if (count > 0) {
                appendUndelivered(into.flip());
                total += count;
            }
        }
        if (total == room) {
            source.suspendReads();
        }
        return total > 0 || room == 0 ? total : count;
    }

    private void appendUndelivered(ByteBuffer input) {
        int needed = undelivered.position() + input.remaining();
        if (needed > undelivered.capacity()) {
            int capacity = Math.max(MIN_READ_AHEAD_BYTES, Math.min(READ_AHEAD_BYTES, 2 * needed));
            undelivered = ByteBuffer.allocate(capacity).put(undelivered.flip());
        }
        undelivered.put(input);
    }

    private void handleEndOfStream() {
        if (!closed) {
            close();
            guard(listener::endOfStream);
        }
    }

    private void handleFailure(String cause) {
        if (!closed) {
            close();
            guard(() -> listener.disconnected(cause));
        }
    }

    private void handleError(Throwable error) {
        ERROR_LOG.warn(System.nanoTime() / NANOS_PER_MS, "a connection is closed after an internal error: " + error);
        if (!closed) {
            close();
            guard(() -> listener.failed(error));
        }
    }

    /**
     * Closes the connection in order: all output written so far reaches the peer. What is still queued is dropped. No listener is called any more;
     * {@code onClosed} runs once the socket is closed.
     */
    public LingeringClose closeLingering(Runnable onClosed) {
        closed = true;
        out.release();
        return LingeringClose.begin(connection, onClosed);
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
