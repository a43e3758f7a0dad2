package dappleseam.clients;

import dappleseam.diagnostics.CloseReason;
import dappleseam.diagnostics.ReasonCounter;
import dappleseam.diagnostics.RefusalReason;
import dappleseam.query.Command;
import dappleseam.router.QueryId;
import dappleseam.wire.BufferPool;
import dappleseam.wire.IoLoop;
import dappleseam.wire.Link;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.xnio.StreamConnection;

/** An I/O loop whose clock is advanced by the test. Also a query handler that records the queries and leaves the replies to the test. */
public final class ManualIoLoop implements IoLoop, QueryHandler {
    public final List<Map.Entry<Double, Runnable>> scheduled = new ArrayList<>();
    public final List<PendingReply> replies = new ArrayList<>();
    public final BufferPool pool = new BufferPool(64);
    public double now = 1000;
    public final ReasonCounter<CloseReason> closes = new ReasonCounter<>(CloseReason.class);
    public int disconnected;
    public int rejected;

    @Override
    public double nowMs() {
        return now;
    }

    @Override
    public PendingTask scheduleAt(double whenMs, Runnable task) {
        Map.Entry<Double, Runnable> pendingEntry = Map.entry(whenMs, task);
        scheduled.add(pendingEntry);
        return () -> scheduled.remove(pendingEntry);
    }

    /** Advances the clock to {@code untilMs} in steps of 1 ms, and runs the tasks that fall due. */
    public void advanceTo(double untilMs) {
        for (; now < untilMs; now++) {
            runDue();
        }
    }

    /** Runs the tasks that are due, those for the next turn among them. */
    void runDue() {
        List.copyOf(scheduled).stream().filter(d -> d.getKey() <= now && scheduled.remove(d)).forEach(d -> d.getValue().run());
    }

    @Override
    public void executeNextTurn(Runnable task) {
        scheduleAt(now, task);
    }

    @Override
    public PendingTask connect(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> onConnected,
                         Consumer<String> onFailure) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean mayConnect() {
        return false;
    }

    @Override
    public Link createLink(StreamConnection connection, Link.Listener listener) {
        return new Link(connection, pool, ByteBuffer.allocate(1024), this::executeNextTurn, listener);
    }

    @Override
    public BufferPool pool() {
        return pool;
    }

    @Override
    public QueryId submit(Command command, PendingReply reply, double waitedMs) {
        replies.add(reply);
        return new QueryId(replies.size());
    }

    @Override
    public double clientTimeoutMs(String facts) {
        return 1000;
    }

    @Override
    public void reject(Command command, PendingReply reply, RefusalReason reason) {
        rejected++;
        reply.replyBusy(0);
    }

    @Override
    public boolean resumeValue(QueryId id) {
        return false;
    }

    @Override
    public void clientLeft(QueryId id) {
        disconnected++;
    }
}
