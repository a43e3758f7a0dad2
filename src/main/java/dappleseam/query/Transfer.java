package dappleseam.query;

import dappleseam.wire.BufferPool;
import dappleseam.wire.BufferChain;
import java.nio.ByteBuffer;

/**
 * A long value on its way from a node to a client, with a bounded part of it held here. Either side may be slow or end. Once it
 * has begun there is no other execution, and what is not whole is never made to look so.
 */
public final class Transfer {
    /** Bytes held here from which the node is not read, and few enough to read it again. */
    private static final int MOST = 64 << 10;
    private static final int FEW = 8 << 10;
    /** The same from which it is not read while buffers are scarce. */
    private static final int MOST_SCARCE = 16 << 10;
    /** Time in ms without a byte after which a long value will not go on: peers may take seconds. */
    public static final double STALLED_MS = 10_000;

    /** The node's side. */
    public interface Source {
        /** Read no more of the node until {@link #resume}. */
        void pause();

        void resume();

        /** Nobody wants the rest. */
        void abandoned();
    }

    /** The client's side. */
    public interface Taker {
        /** There is more to take, or the value has ended. */
        void more();
    }

    private enum State { UNDER_WAY, WHOLE, BROKEN }

    public final long length;
    private final Source source;
    private final BufferPool pool;
    private final BufferChain held;
    private Taker taker = () -> { };
    private Runnable whenOver = () -> { };
    private State state = State.UNDER_WAY;
    private boolean paused;
    private boolean over;
    private boolean wanted = true;

    public Transfer(long length, BufferPool pool, Source source) {
        this.length = length;
        this.source = source;
        this.pool = pool;
        held = new BufferChain(pool);
    }

    /** {@code whenOver} is told once: the client has all of it, or never will. */
    public void connect(Taker client, Runnable whenTold) {
        taker = client;
        whenOver = whenTold;
    }

    // the node's side

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

    /** The node's answer has ended as it should. */
    public void whole() {
        end(State.WHOLE);
    }

    /** It has not: the node's connection broke, or what followed makes the value doubtful. */
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

    /** Moves what is held, up to so many bytes. */
    public void moveTo(BufferChain out, long most) {
        out.moveUpTo(held, most);
        if (paused && held.size() <= FEW && state == State.UNDER_WAY) {
            paused = false;
            source.resume();
        }
    }

    /** All of it was taken, and the node's answer ended as it should. */
    public boolean isDone() {
        return state == State.WHOLE && held.size() == 0;
    }

    public boolean isFailed() {
        return state == State.BROKEN;
    }

    /** The client has all of it. */
    public void delivered() {
        tellOver();
    }

    /** The client has gone, or cannot be given the rest. */
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
