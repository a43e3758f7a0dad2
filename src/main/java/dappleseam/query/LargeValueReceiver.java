package dappleseam.query;

import dappleseam.wire.LargeValueHandler;
import dappleseam.wire.Link;
import dappleseam.wire.IoLoop;
import java.nio.ByteBuffer;

/** The long values that come on one connection to a node, each handed to whoever waits for it, or passed over. */
public final class LargeValueReceiver implements LargeValueHandler, Transfer.Source {
    /** The connection they come on. */
    public interface Connection extends Link.Listener {
        /** The execution whose answer begins with a long value; null where none is owed. */
        Execution answeringExecution();

        Link link();

        /** Nobody wants the rest of the value that comes. */
        void abandoned();
    }

    private final IoLoop loop;
    private final Connection connection;
    private Transfer transfer;
    private boolean paused;
    private long came;

    public LargeValueReceiver(IoLoop loop, Connection connection) {
        this.loop = loop;
        this.connection = connection;
    }

    public boolean isReceiving() {
        return transfer != null;
    }

    @Override
    public void valueStarted(long length) {
        Execution execution = connection.answeringExecution();
        if (execution != null && !execution.hasEnded()) {
            transfer = new Transfer(length, loop.pool(), this);
            watch(transfer);
            execution.end(ExecutionResult.begun(transfer));
        }
    }

    @Override
    public void valueBytes(ByteBuffer in, int count) {
        came += count;
        if (transfer != null) {
            transfer.put(in, count);
        } else {
            in.position(in.position() + count); // nobody waits for it any more
        }
    }

    /** Guards a client against a node that stops in the middle of a value. */
    private void watch(Transfer watched) {
        long before = came;
        loop.scheduleAt(loop.nowMs() + Transfer.STALLED_MS, () -> {
            if (transfer == watched && came == before && !paused) {
                connection.disconnected("a value stopped half-way");
            } else if (transfer == watched) {
                watch(watched);
            }
        });
    }

    @Override
    public void pause() {
        paused = true;
        connection.link().pauseReading();
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

    /** The answer has ended as it should. */
    public void complete() {
        Transfer passed = transfer;
        transfer = null;
        if (passed != null) {
            passed.whole();
        }
    }

    /** The connection is of no further use. */
    public void fail() {
        Transfer cut = transfer;
        transfer = null;
        if (cut != null) {
            cut.broken();
        }
    }
}
