package dappleseam.proxy;

import dappleseam.clients.ClientFront;
import dappleseam.wire.Loop;

/**
 * A graceful shutdown, as a sequence of states on the I/O thread. Connected clients are served until shortly before the platform would kill the
 * process, so that the gap until the next start is short for them. Everything read before the last state is answered; in the last state nothing is read.
 */
final class Shutdown {
    /** The states in order; none is entered twice. */
    private enum State {
        /** Normal operation: clients may still connect for a while. */
        ACCEPTING,
        /** Connected clients are served; no new connections. */
        SERVING,
        /** Connections are closed as they become idle. */
        CLOSING,
        /** Open queries are aborted, too, and those that arrive meanwhile. */
        ABORTING,
        /** Nothing more is read. */
        ENDED
    }

    /** Time in ms after SIGTERM until no more connections are accepted, and interval in ms between steps. */
    private static final double ACCEPT_MORE_MS = 450;
    private static final double LOOK_AGAIN_MS = 10;
    /** Times in ms before the kill at which idle clients are closed, open queries are aborted, and reading stops. */
    private static final double CLOSE_LEAD_MS = 350;
    private static final double ABORT_LEAD_MS = 200;
    private static final double END_LEAD_MS = 100;
    /** Rounds of aborting and closing per step: a query that is read while a connection closes is answered in the next round. */
    private static final int ROUNDS = 4;

    private final Loop loop;
    private final ClientFront front;
    private final Runnable abortAll;
    private final Runnable whenEnded;
    /** When the platform may kill the process. */
    private double killAt;
    /** When the process received SIGTERM; NaN before. */
    private double beganAt = Double.NaN;
    private State state = State.ACCEPTING;

    /** Created at the start, as loading the class at shutdown would use up time before the kill. {@code abortAll} answers all open queries. */
    Shutdown(Loop loop, ClientFront front, Runnable abortAll, Runnable whenEnded) {
        this.loop = loop;
        this.front = front;
        this.abortAll = abortAll;
        this.whenEnded = whenEnded;
    }

    /**
     * Starts the shutdown. SIGTERM came {@code signalledMsAgo}, and the kill follows {@code killAfterMs} after the signal. With {@code handOver}
     * another process takes the clients, and this one closes its connections as they become idle.
     */
    void begin(boolean handOver, double toldMsAgo, double killAfterMs) {
        beganAt = loop.nowMs() - toldMsAgo;
        killAt = beganAt + killAfterMs;
        if (handOver) {
            front.handOver();
            state = State.CLOSING;
        }
        step();
    }

    /** Brings the kill forward to that time after SIGTERM if it is earlier than known so far, after a change of settings. */
    void killWithin(double killAfterMs) {
        if (!Double.isNaN(beganAt)) {
            killAt = Math.min(killAt, beganAt + killAfterMs);
        }
    }

    private void step() {
        State due = due();
        if (state == State.ACCEPTING && due != State.ACCEPTING) {
            front.stopListening();
        }
        state = due;
        switch (state) {
            case CLOSING -> front.closeIdle();
            case ABORTING -> abortAndClose();
            default -> { }
        }
        if (state == State.ENDED || state != State.ACCEPTING && !front.hasClients() && !front.isListening()) {
            end();
        } else {
            loop.at(loop.nowMs() + LOOK_AGAIN_MS, this::step);
        }
    }

    private State due() {
        double now = loop.nowMs();
        State byTime = now >= killAt - END_LEAD_MS ? State.ENDED
                : now >= killAt - ABORT_LEAD_MS ? State.ABORTING
                : now >= killAt - CLOSE_LEAD_MS ? State.CLOSING
                : now >= beganAt + ACCEPT_MORE_MS ? State.SERVING : State.ACCEPTING;
        return byTime.compareTo(state) > 0 ? byTime : state;
    }

    /**
     * Answers all open queries and closes their connections in the same step, repeatedly: a client that is answered sends its next query
     * at once, and a query read between the last answer and the end would be lost.
     */
    private void abortAndClose() {
        for (int i = 0; i < ROUNDS; i++) {
            abortAll.run();
            front.closeIdle();
        }
    }

    private void end() {
        state = State.ENDED;
        front.takeNoMore(); // first, as queries that this reads are aborted with the rest
        abortAll.run();
        whenEnded.run();
    }
}
