package dappleseam.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/** One open connection on XNIO's conduits: hands on what comes, and writes out as the peer takes it. */
public final class Link {
    /** Reads in a row before other connections have their turn. */
    private static final int READS = 8;
    /** Bytes read at once by a look: mostly there are none, and some hundred commands at most. */
    private static final int LOOK = 8 << 10;
    /** Bytes read ahead at most while held: more than a hundred commands; an end behind more is not seen. */
    private static final int AHEAD = 16 << 10;

    /** What happens on a connection. */
    public interface Listener {
        /** Bytes have come; all of them are to be used up before this returns. */
        void received(ByteBuffer bytes);

        /** The connection broke, or the peer has ended it. At most once with {@link #finished}, and never after close. */
        void disconnected(String cause);

        /** The peer has ended the connection in order: all that it wrote has come. A reset is no such end. */
        default void endOfStream() {
            disconnected("closed by the peer");
        }

        /** All that had come is handed on, and the connection has not ended; where {@link Link#hasUnreadInput}, as much as can be held. */
        default void readComplete() {}

        /** All that was put out is written. */
        default void flushed() {}
    }

    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final ByteBuffer scratch;
    private final Listener events;
    private final BufferChain out;
    private long bytesWritten;
    private boolean closed;
    private boolean paused;
    /** The last read left off before all was read. */
    private boolean hasMore;
    /** What has come while held; null while it is handed on at once. */
    private ByteBuffer ahead;

    /** {@code scratch} is shared by all connections of the thread: what is read is used up at once. */
    public Link(StreamConnection connection, BufferPool pool, ByteBuffer scratch, Listener events) {
        this.connection = connection;
        this.scratch = scratch;
        this.events = events;
        out = new BufferChain(pool);
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.getReadSetter().set(channel -> readAvailable());
        sink.getWriteSetter().set(channel -> flush());
    }

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

    /** Hands on nothing more until {@link #resume}, and goes on looking for an end: backpressure must not hide one. */
    public void pauseDelivery() {
        if (!closed && ahead == null) {
            ahead = ByteBuffer.allocate(AHEAD);
        }
    }

    /** Whether an end could not be seen now: more has come than is read, or read ahead. */
    public boolean hasUnreadInput() {
        return hasMore || ahead != null && !ahead.hasRemaining();
    }

    /** Whether something has come that is not handed on yet. */
    public boolean hasUndeliveredInput() {
        return ahead != null && ahead.position() > 0;
    }

    /** Reads no more until {@link #resume}. */
    public void pauseReading() {
        if (!closed) {
            paused = true;
            source.suspendReads();
        }
    }

    /** Where messages are written; {@link #flush} sends them. */
    public BufferChain out() {
        return out;
    }

    /** Bytes put out since the start. */
    public long bytesQueued() {
        return bytesWritten + out.size();
    }

    /** Bytes handed to the kernel since the start: they may have come to the peer. */
    public long bytesWritten() {
        return bytesWritten;
    }

    public boolean isClosed() {
        return closed;
    }

    /** Takes back what was put out and has not gone to the system. */
    public void dropUnwritten() {
        out.release();
        sink.suspendWrites();
    }

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
            end("write: " + e.getMessage());
            return;
        }
        events.flushed();
    }

    /** Whether nothing has come, not even an end, on a connection on which nothing is due; what has, is lost. */
    public boolean hasNoInput() {
        try {
            return !closed && source.read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Reads what is there now, without waiting to be told; not while another connection's bytes are handled. */
    public void readAvailable() {
        read(scratch);
    }

    /** The same while another connection's bytes may be in hand. */
    public void readAvailableNested() {
        if (!paused) {
            read(ByteBuffer.allocate(LOOK));
        }
    }

    /** Reads until nothing is left, so that an end behind the last bytes is seen before anything is done about them. */
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
            } catch (RuntimeException e) { // a fault ends this connection and no other
                end("fault: " + e);
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
            events.readComplete();
        }
    }

    private void handOn(ByteBuffer before) {
        try {
            events.received(before);
        } catch (RuntimeException e) { // as above
            end("fault: " + e);
        }
        if (!closed) { // an end may be behind what could not be read ahead
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
            events.endOfStream();
        }
    }

    private void end(String cause) {
        if (!closed) {
            close();
            events.disconnected(cause);
        }
    }

    /** Closes here and now, for the I/O thread: nothing can come between a last look at what has come and this. */
    public void closeImmediately() {
        if (!closed) {
            closed = true;
            out.release();
            IoUtils.safeClose(connection);
        }
    }

    public void close() {
        if (!closed) {
            closed = true;
            out.release();
            // Guards the I/O thread: XNIO selects anew for each connection closed on it, over all that is ready. Under load,
            // when clients come and go, that took a quarter of its time.
            source.suspendReads();
            sink.suspendWrites();
            connection.getWorker().execute(() -> IoUtils.safeClose(connection));
        }
    }
}
