package dappleseam.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * The orderly end of a connection whose last output may still be on its way: only the output is ended, and the socket stays open until the peer closes, too.
 * A socket that is closed over unread input, or that receives input after its close, resets the connection, and the system discards the output that the
 * peer has not taken. Only for the I/O thread.
 */
public final class LingeringClose {
    private final StreamConnection connection;
    private final Runnable onClosed;
    private boolean isClosed;

    private LingeringClose(StreamConnection connection, Runnable onClosed) {
        this.connection = connection;
        this.onClosed = onClosed;
    }

    /** Ends the output of a connection, all of which is written to the kernel. {@code onClosed} runs once the socket is closed, at once if that fails. */
    static LingeringClose begin(StreamConnection connection, Runnable onClosed) {
        LingeringClose close = new LingeringClose(connection, onClosed);
        close.endOutput();
        return close;
    }

    private void endOutput() {
        ConduitStreamSinkChannel sink = connection.getSinkChannel();
        ConduitStreamSourceChannel source = connection.getSourceChannel();
        source.getReadSetter().set(this::awaitEndOfInput);
        try {
            sink.suspendWrites();
            sink.shutdownWrites();
            sink.flush();
            source.resumeReads();
        } catch (IOException e) {
            close();
        }
    }

    /**
     * Notices the peer's close. A request that crosses the end of the output gets no answer, so its last byte must stay unread: the peer may send it
     * again on another connection. What is behind it can't be seen then.
     */
    private void awaitEndOfInput(ConduitStreamSourceChannel source) {
        try {
            int count = source.read(ByteBuffer.allocate(1));
            if (count < 0) {
                close();
            } else if (count > 0) {
                source.suspendReads();
            }
        } catch (IOException e) {
            close();
        }
    }

    public boolean isClosed() {
        return isClosed;
    }

    /** Closes the socket now; the socket itself is closed by a worker thread. */
    public void close() {
        if (!isClosed) {
            isClosed = true;
            connection.getSourceChannel().suspendReads();
            connection.getWorker().execute(() -> IoUtils.safeClose(connection));
            onClosed.run();
        }
    }
}
