package dappleseam.query;

import dappleseam.wire.Large;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
import java.nio.ByteBuffer;

/** Receives the large values that arrive on one connection to a node; passes each to its execution, or discards it. */
public final class Inflow implements Large, Transfer.Source {
    /** The connection on which the values arrive. */
    public interface Connection extends Link.Events {
        /** The execution whose answer starts with a large value; null if no answer is expected. */
        Execution begins();

        Link link();

        /** The rest of the value being received is not needed any more. */
        void abandoned();
    }

    private final Loop loop;
    private final Connection connection;
    private Transfer transfer;
    private boolean paused;
    private long came;

    public Inflow(Loop loop, Connection connection) {
        this.loop = loop;
        this.connection = connection;
    }

    public boolean isUnderWay() {
        return transfer != null;
    }

    @Override
    public void begins(long length) {
        Execution execution = connection.begins();
        if (execution != null && !execution.hasEnded()) {
            transfer = new Transfer(length, loop.pool(), this);
            watch(transfer);
            execution.end(Ending.begun(transfer));
        }
    }

    @Override
    public void part(ByteBuffer in, int count) {
        came += count;
        if (transfer != null) {
            transfer.put(in, count);
        } else {
            in.position(in.position() + count); // discarded
        }
    }

    /** Closes the connection if the node stalls in the middle of a value, so that the client does not wait forever. */
    private void watch(Transfer watched) {
        long before = came;
        loop.at(loop.nowMs() + Transfer.STALLED_MS, () -> {
            if (transfer == watched && came == before && !paused) {
                connection.ended("stalled in the middle of a value");
            } else if (transfer == watched) {
                watch(watched);
            }
        });
    }

    @Override
    public void pause() {
        paused = true;
        connection.link().pause();
    }

    @Override
    public void resume() {
        paused = false;
        connection.link().resume();
    }

    @Override
    public void abandoned() {
        transfer = null;
        connection.abandoned();
    }

    /** The answer has ended correctly. */
    public void whole() {
        Transfer passed = transfer;
        transfer = null;
        if (passed != null) {
            passed.whole();
        }
    }

    /** The connection cannot be used any more. */
    public void broken() {
        Transfer cut = transfer;
        transfer = null;
        if (cut != null) {
            cut.broken();
        }
    }
}
