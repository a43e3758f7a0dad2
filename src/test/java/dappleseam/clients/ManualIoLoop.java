package dappleseam.clients;

import dappleseam.query.Command;
import dappleseam.router.QueryId;
import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import dappleseam.wire.IoLoop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.xnio.StreamConnection;

/** A loop whose time passes when the test says so; it stands in for the queries' side, too. */
public final class ManualIoLoop implements IoLoop, QueryHandler {
    public final List<Map.Entry<Double, Runnable>> scheduled = new ArrayList<>();
    public final List<PendingReply> replies = new ArrayList<>();
    public final BufferPool pool = new BufferPool(64);
    public double now = 1000;
    public int disconnected;
    public int rejected;

    @Override
    public double nowMs() {
        return now;
    }

    @Override
    public PendingTask scheduleAt(double whenMs, Runnable then) {
        Map.Entry<Double, Runnable> one = Map.entry(whenMs, then);
        scheduled.add(one);
        return () -> scheduled.remove(one);
    }

    /** Lets time pass, and does what falls due meanwhile in its order. */
    public void advanceTo(double untilMs) {
        for (; now < untilMs; now++) {
            List.copyOf(scheduled).stream().filter(d -> d.getKey() <= now && scheduled.remove(d)).forEach(d -> d.getValue().run());
        }
    }

    @Override
    public PendingTask connect(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up,
                         Consumer<String> failed) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean mayConnect() {
        return false;
    }

    @Override
    public Link createLink(StreamConnection connection, Link.Listener events) {
        return new Link(connection, pool, ByteBuffer.allocate(1024), events);
    }

    @Override
    public BufferPool pool() {
        return pool;
    }

    @Override
    public QueryId submit(Command command, PendingReply one, double waitedMs) {
        replies.add(one);
        return new QueryId(replies.size());
    }

    @Override
    public void reject(Command command, PendingReply one) {
        rejected++;
        one.replyBusy(0);
    }

    @Override
    public void clientLeft(QueryId id) {
        disconnected++;
    }
}
