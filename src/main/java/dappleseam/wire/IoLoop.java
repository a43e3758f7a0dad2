package dappleseam.wire;

import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.StreamConnection;

/** What the one I/O thread offers to those who speak to a peer. */
public interface IoLoop {
    /** The machine's monotonic clock in ms with fractions, the same in all its processes and well over 0; wall clocks are stepped. */
    double nowMs();

    /** Calls {@code due} at that time, or soon after. */
    PendingTask scheduleAt(double whenMs, Runnable due);

    /** Opens a connection; exactly one of the two is called, unless the deadline is called off before. */
    PendingTask connect(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up, Consumer<String> failed);

    /** The same for the one connection that has a descriptor kept for it: nodes and clients may hold all others. */
    default PendingTask connectReserved(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up, Consumer<String> failed) {
        return connect(to, timeoutMs, up, failed);
    }

    /** Whether there is a descriptor left for another connection to a peer. */
    boolean mayConnect();

    Link createLink(StreamConnection connection, Link.Listener events);

    BufferPool pool();

    /** Something to come that can be called off. */
    interface PendingTask {
        void cancelTask();
    }
}
