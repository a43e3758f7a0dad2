package dappleseam.query;

import dappleseam.wire.BufferPool;
import dappleseam.wire.Chain;
import java.nio.ByteBuffer;

/**
 * A large value being transferred from a node to a client, of which a bounded part is buffered here. Either side may be slow or
 * disconnect. Once the transfer has started there is no other execution, and an incomplete value is never presented as complete.
 */
public final class Transfer {
    /** Buffered bytes from which reading from the node pauses, and down to which it resumes. */
    private static final int MOST = 64 << 10;
    private static final int FEW = 8 << 10;
    /** Buffered bytes from which reading pauses while buffers are scarce. */
    private static final int MOST_SCARCE = 16 << 10;
    /** Time in ms without a byte after which a large value counts as stalled; peers may take seconds. */
    public static final double STALLED_MS = 10_000;

    /** The side of the node. */
    public interface Source {
        /** Stops reading from the node until {@link #resume}. */
        void pause();

        void resume();

        /** The rest of the value is not needed. */
        void abandoned();
    }

    /** The side of the client. */
    public interface Taker {
        /** More bytes are available, or the value has ended. */
        void more();
    }

    private enum State { UNDER_WAY, WHOLE, BROKEN }

    public final long length;
    private final Source source;
    private final BufferPool pool;
    private final Chain held;
    private Taker taker = () -> { };
    private Runnable whenOver = () -> { };
    private State state = State.UNDER_WAY;
    private boolean paused;
    private boolean over;
    private boolean wanted = true;

    /** {@code length} is the length of the whole value. */
    public Transfer(long length, BufferPool pool, Source source) {
        this.length = length;
        this.source = source;
        this.pool = pool;
        held = new Chain(pool);
    }

    /** Connects the client; {@code onFinished} runs once, when the client has the whole value or never will. */
    public void into(Taker client, Runnable whenTold) {
        taker = client;
        whenOver = whenTold;
    }

    // the node's side

    /** Takes the next {@code count} bytes of {@code in}. */
    public void put(ByteBuffer in, int count) {
        if (!wanted) {
            in.position(in.position() + count);
            return;
        }
        held.put(in, count);
        if (!paused && held.size() >= (pool.isScarce() ? MOST_SCARCE : MOST)) {
            paused = true;
            source.pause();
        }
        taker.more();
    }

    /** The node's answer has ended correctly. */
    public void whole() {
        end(State.WHOLE);
    }

    /** The connection to the node broke, or what followed the value makes it doubtful. */
    public void broken() {
        end(State.BROKEN);
    }

    private void end(State how) {
        if (state == State.UNDER_WAY) {
            state = how;
            if (wanted) {
                taker.more();
            }
        }
    }

    // the client's side

    /** Moves up to {@code most} buffered bytes to {@code out}. */
    public void takeTo(Chain out, long most) {
        out.takePart(held, most);
        if (paused && held.size() <= FEW && state == State.UNDER_WAY) {
            paused = false;
            source.resume();
        }
    }

    /** All bytes were moved out, and the node's answer ended correctly. */
    public boolean isDone() {
        return state == State.WHOLE && held.size() == 0;
    }

    public boolean isBroken() {
        return state == State.BROKEN;
    }

    /** The client has received the whole value. */
    public void delivered() {
        tellOver();
    }

    /** The client has disconnected, or cannot get the rest. */
    public void abandon() {
        if (wanted) {
            wanted = false;
            held.release();
            if (state == State.UNDER_WAY) {
                source.abandoned();
            }
            tellOver();
        }
    }

    private void tellOver() {
        if (!over) {
            over = true;
            whenOver.run();
        }
    }
}
