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

/** A loop whose time passes when the test says so; it stands in for the queries' side, too. */
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

    /** Lets time pass, and does what falls due meanwhile in its order. */
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
