package dappleseam.clients;

import dappleseam.query.Command;
import dappleseam.router.QueryId;
import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.xnio.StreamConnection;

/** An I/O loop whose clock is advanced by the test. Also a query handler that records the queries and leaves the replies to the test. */
public final class ByHand implements Loop, Queries {
    public final List<Map.Entry<Double, Runnable>> due = new ArrayList<>();
    public final List<Owed> owed = new ArrayList<>();
    public final BufferPool pool = new BufferPool(64);
    public double now = 1000;
    public int left;
    public int rejected;

    @Override
    public double nowMs() {
        return now;
    }

    @Override
    public Deadline at(double whenMs, Runnable then) {
        Map.Entry<Double, Runnable> one = Map.entry(whenMs, then);
        due.add(one);
        return () -> due.remove(one);
    }

    /** Advances the clock to {@code untilMs} in steps of 1 ms, and runs the tasks that fall due. */
    public void pass(double untilMs) {
        for (; now < untilMs; now++) {
            List.copyOf(due).stream().filter(d -> d.getKey() <= now && due.remove(d)).forEach(d -> d.getValue().run());
        }
    }

    @Override
    public Deadline dial(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up,
                         Consumer<String> failed) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean mayDial() {
        return false;
    }

    @Override
    public Link link(StreamConnection connection, Link.Events events) {
        return new Link(connection, pool, ByteBuffer.allocate(1024), events);
    }

    @Override
    public BufferPool pool() {
        return pool;
    }

    @Override
    public QueryId take(Command command, Owed one, double waitedMs) {
        owed.add(one);
        return new QueryId(owed.size());
    }

    @Override
    public void reject(Command command, Owed one) {
        rejected++;
        one.busy(0);
    }

    @Override
    public void clientLeft(QueryId id) {
        left++;
    }
}
