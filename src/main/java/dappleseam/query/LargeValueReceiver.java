package dappleseam.query;

import dappleseam.wire.LargeValueHandler;
import dappleseam.wire.Link;
import dappleseam.wire.IoLoop;
import java.nio.ByteBuffer;

/** Receives the large values that arrive on one connection to a node; passes each to its execution, or discards it. */
public final class LargeValueReceiver implements LargeValueHandler, Transfer.Source {
    /** Bytes read in a pass while buffers are scarce: many values that arrive at once must not take the last ones. */
    private static final int SCARCE_PASS_BYTES = 8 << 10;

    /** The connection on which the values arrive. */
    public interface Connection extends Link.Listener {
        /** The execution whose answer starts with a large value; null if no answer is expected. */
        Execution answeringExecution();

        Link link();

        /** The rest of the value being received is not needed any more. */
        void abandoned();
    }

    private final IoLoop loop;
    private final Connection connection;
    private Transfer transfer;
    private boolean paused;
    private long receivedBytes;

    public LargeValueReceiver(IoLoop loop, Connection connection) {
        this.loop = loop;
        this.connection = connection;
    }

    /** How many more bytes may be read in a pass. */
    public int readAllowance(long passBytes) {
        return loop.pool().isScarce() ? (int) (SCARCE_PASS_BYTES - passBytes) : Integer.MAX_VALUE;
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
            execution.end(ExecutionResult.streaming(transfer));
        }
    }

    @Override
    public void valueBytes(ByteBuffer in, int count) {
        receivedBytes += count;
        if (transfer != null) {
            transfer.put(in, count);
        } else {
            in.position(in.position() + count); // discarded
        }
    }

    /** Closes the connection if the node stalls in the middle of a value, so that the client does not wait forever. */
    private void watch(Transfer watched) {
        long before = receivedBytes;
        loop.scheduleAt(loop.nowMs() + Transfer.STALL_TIMEOUT_MS, () -> {
            if (transfer == watched && receivedBytes == before && !paused) {
                connection.disconnected("stalled in the middle of a value");
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

    /** The answer has ended correctly. */
    public void complete() {
        Transfer completed = transfer;
        transfer = null;
        if (completed != null) {
            completed.complete();
        }
    }

    /** The connection cannot be used any more. */
    public void fail() {
        Transfer failed = transfer;
        transfer = null;
        if (failed != null) {
            failed.fail();
        }
    }
}
