package dappleseam.wire;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.StreamConnection;

/** The I/O thread as protocol code sees it: its clock, timers, connections and buffers. */
public interface IoLoop {
    /**
     * The machine's monotonic clock in ms with fractions, the same in all its processes and well above 0. Wall clocks are not used as they may
     * be stepped.
     */
    double nowMs();

    /** Runs {@code task} at that time or soon after. */
    PendingTask scheduleAt(double whenMs, Runnable task);

    /** Runs {@code task} after the connections that are ready have been served. */
    void executeNextTurn(Runnable task);

    /** Opens a connection. Calls exactly one of {@code onConnected} and {@code onFailure}, unless the returned task is cancelled before. */
    PendingTask connect(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> onConnected, Consumer<String> onFailure);

    /** As {@link #connect}, for the one connection with a reserved descriptor: connections to nodes and clients may use up all others. */
    default PendingTask connectReserved(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> onConnected, Consumer<String> onFailure) {
        return connect(to, timeoutMs, onConnected, onFailure);
    }

    /** Whether a descriptor is available for another connection to a peer. */
    boolean mayConnect();

    /** Wraps an open connection. */
    Link createLink(StreamConnection connection, Link.Listener listener);

    /** The buffers of this thread. */
    BufferPool pool();

    /** A scheduled call or a connection attempt. */
    interface PendingTask {
        /** Cancels the task if it is still pending. */
        void cancelTask();
    }
}
