package dappleseam.query;

import dappleseam.wire.BufferPool;
import dappleseam.wire.BufferChain;
import java.nio.ByteBuffer;

/**
 * A large value being transferred from a node to a client, of which a bounded part is buffered here. Either side may be slow or
 * disconnect. An incomplete value is never presented as complete; one that broke off may be continued by another transfer, of the same value from another node.
 */
public final class Transfer {
    /** Buffered bytes from which reading from the node pauses, and down to which it resumes. */
    private static final int PAUSE_BYTES = 64 << 10;
    private static final int RESUME_BYTES = 8 << 10;
    /** Buffered bytes from which reading pauses while buffers are scarce. */
    private static final int PAUSE_BYTES_SCARCE = 8 << 10;
    /** The same while they are nearly used up. */
    private static final int PAUSE_BYTES_NEARLY_USED_UP = 1;
    /** Time in ms without a byte after which a large value counts as stalled; peers may take seconds. */
    public static final double STALL_TIMEOUT_MS = 10_000;

    /** The side of the node. */
    public interface Source {
        /** Stops reading from the node until {@link #resume}. */
        void pause();

        void resume();

        /** The rest of the value is not needed. */
        void abandoned();
    }

    /** The side of the client. */
    public interface Sink {
        /** More bytes are available, or the value has ended. */
        void dataAvailable();
    }

    private enum State { IN_PROGRESS, COMPLETE, FAILED }

    public final long length;
    private final Source source;
    private final BufferPool pool;
    private final BufferChain held;
    private Sink sink = () -> { };
    private Runnable finishedCallback = () -> { };
    private State state = State.IN_PROGRESS;
    private boolean paused;
    /** All of the value is taken at once, so that it can be passed on whole. */
    private boolean holdsWhole;
    private boolean isFinished;
    private boolean isWanted = true;
    private long arrivedBytes;
    /** What the client has already from an earlier transfer; null if this is the first one. */
    private ValuePrefix known;
    /** How much of that has been skipped here. */
    private ValuePrefix skipped;

    /** {@code length} is the length of the whole value. */
    public Transfer(long length, BufferPool pool, Source source) {
        this.length = length;
        this.source = source;
        this.pool = pool;
        held = new BufferChain(pool);
    }

    /** Connects the client; {@code onFinished} runs once, when the client has the whole value or never will. */
    public void connect(Sink newSink, Runnable onFinished) {
        sink = newSink;
        finishedCallback = onFinished;
    }

    // the node's side

    /** Takes the next {@code count} bytes of {@code in}. */
    public void put(ByteBuffer in, int count) {
        if (!isWanted) {
            in.position(in.position() + count);
            return;
        }
        arrivedBytes += count;
        held.put(in, count);
        if (!paused && !holdsWhole && held.size() >= pauseBytes()) {
            paused = true;
            source.pause();
        }
        sink.dataAvailable();
    }

    private int pauseBytes() {
        if (pool.isNearlyUsedUp()) {
            return PAUSE_BYTES_NEARLY_USED_UP;
        }
        return pool.isScarce() ? PAUSE_BYTES_SCARCE : PAUSE_BYTES;
    }

    /** The node's answer has ended correctly. */
    public void complete() {
        end(State.COMPLETE);
    }

    /** The connection to the node broke, or what followed the value makes it doubtful. */
    public void fail() {
        end(State.FAILED);
    }

    private void end(State finalState) {
        if (state == State.IN_PROGRESS) {
            state = finalState;
            if (isWanted) {
                sink.dataAvailable();
            }
        }
    }

    // the client's side

    /** Skips the bytes that the client has from an earlier transfer of the same value; {@link #differs} tells if it is not the same. */
    public void continueFrom(ValuePrefix prefix) {
        known = prefix;
        skipped = new ValuePrefix();
    }

    /** Whether the value does not begin with the bytes that the client has. */
    public boolean differs() {
        return skipped != null && skipped.size() == known.size() && !skipped.isSameAs(known);
    }

    /** Skips what has arrived of the known bytes; once that is done, the prefix may grow. */
    public void skipKnown() {
        if (skipped == null) {
            return;
        }
        long count = Math.min(known.size() - skipped.size(), held.size());
        skipped.append(held, count);
        held.discard(count);
        if (skipped.size() == known.size() && !differs()) {
            skipped = null;
        }
        resumeIfDrained();
    }

    /** Moves up to {@code most} buffered bytes to {@code out}, and appends them to the prefix. Nothing is moved before all known bytes are skipped. */
    public void moveTo(BufferChain out, long most, ValuePrefix prefix) {
        if (skipped != null) {
            return;
        }
        long count = Math.min(most, held.size());
        prefix.append(held, count);
        out.moveUpTo(held, count);
        resumeIfDrained();
    }

    private void resumeIfDrained() {
        if (paused && held.size() <= RESUME_BYTES && (held.size() == 0 || !pool.isScarce()) && state == State.IN_PROGRESS) {
            paused = false;
            source.resume();
        }
    }

    /** Takes all of the value before any of it is moved out; the client's side has room for it. */
    public void holdWhole() {
        holdsWhole = true;
        if (paused && state == State.IN_PROGRESS) {
            paused = false;
            source.resume();
        }
    }

    /** Bytes of the value that have arrived so far. */
    public long arrivedBytes() {
        return arrivedBytes;
    }

    /** Whether more of the value is to come. */
    public boolean isArriving() {
        return state == State.IN_PROGRESS;
    }

    /** All bytes were moved out, and the node's answer ended correctly. */
    public boolean isDone() {
        return state == State.COMPLETE && held.size() == 0 && skipped == null;
    }

    public boolean isFailed() {
        return state == State.FAILED;
    }

    /** The client has received the whole value. */
    public void delivered() {
        notifyFinished();
    }

    /** The client has disconnected, or cannot get the rest. */
    public void abandon() {
        if (isWanted) {
            isWanted = false;
            held.release();
            if (state == State.IN_PROGRESS) {
                source.abandoned();
            }
            notifyFinished();
        }
    }

    private void notifyFinished() {
        if (!isFinished) {
            isFinished = true;
            finishedCallback.run();
        }
    }
}
