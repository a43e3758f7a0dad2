package dappleseam.proxy;

import dappleseam.clients.ClientFrontend;
import dappleseam.wire.IoLoop;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * A graceful shutdown, as a sequence of states on the I/O thread. Connected clients are served until shortly before the platform would kill the
 * process, so that the gap until the next start is short for them. Everything read before the last state is answered; in the last state nothing is read.
 */
final class Shutdown {
    private static final Logger LOG = System.getLogger(Shutdown.class.getName());

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
    private static final double ACCEPT_DURATION_MS = 450;
    private static final double POLL_INTERVAL_MS = 10;
    /** Times in ms before the kill at which idle clients are closed, open queries are aborted, and reading stops. */
    private static final double CLOSE_LEAD_MS = 350;
    private static final double ABORT_LEAD_MS = 200;
    private static final double END_LEAD_MS = 100;
    /** Rounds of aborting and closing per step: a query that is read while a connection closes is answered in the next round. */
    private static final int ABORT_ROUNDS = 4;

    private final IoLoop loop;
    private final ClientFrontend front;
    private final Runnable abortAll;
    private final Runnable onEnded;
    /** When the platform may kill the process. */
    private double killAt;
    /** When the process received SIGTERM; NaN before. */
    private double signalledAt = Double.NaN;
    private State state = State.ACCEPTING;

    /** Created at the start, as loading the class at shutdown would use up time before the kill. {@code abortAll} answers all open queries. */
    Shutdown(IoLoop loop, ClientFrontend front, Runnable abortAll, Runnable onEnded) {
        this.loop = loop;
        this.front = front;
        this.abortAll = abortAll;
        this.onEnded = onEnded;
    }

    /**
     * Starts the shutdown. SIGTERM came {@code signalledMsAgo}, and the kill follows {@code killAfterMs} after the signal. With {@code handOver}
     * another process takes the clients, and this one closes its connections as they become idle.
     */
    void begin(boolean handOver, double signalledMsAgo, double killAfterMs) {
        signalledAt = loop.nowMs() - signalledMsAgo;
        killAt = signalledAt + killAfterMs;
        if (handOver) {
            front.handOver();
            state = State.CLOSING;
        }
        LOG.log(Level.INFO, "told to end: answering what was taken, {0}", // from here on the other process alone gets new clients
                handOver ? "another process takes the clients" : "no other process is here");
        step();
    }

    /** Brings the kill forward to that time after SIGTERM if it is earlier than known so far, after a change of settings. */
    void shortenKillDelay(double killAfterMs) {
        if (!Double.isNaN(signalledAt)) {
            killAt = Math.min(killAt, signalledAt + killAfterMs);
        }
    }

    private void step() {
        State next = dueState();
        if (state == State.ACCEPTING && next != State.ACCEPTING) {
            front.stopListening();
        }
        state = next;
        switch (state) {
            case CLOSING -> front.closeIdle();
            case ABORTING -> abortAndClose();
            default -> { }
        }
        boolean isLeft = front.hasClients() || front.isDeliveringLargeReply() || front.isListening();
        if (state == State.ENDED || state != State.ACCEPTING && !isLeft) {
            end();
        } else {
            loop.scheduleAt(loop.nowMs() + POLL_INTERVAL_MS, this::step);
        }
    }

    private State dueState() {
        double now = loop.nowMs();
        State byTime = now >= killAt - END_LEAD_MS ? State.ENDED
                : now >= killAt - ABORT_LEAD_MS ? State.ABORTING
                : now >= killAt - CLOSE_LEAD_MS ? State.CLOSING
                : now >= signalledAt + ACCEPT_DURATION_MS ? State.SERVING : State.ACCEPTING;
        return byTime.compareTo(state) > 0 ? byTime : state;
    }

    /**
     * Answers all open queries and closes their connections in the same step, repeatedly: a client that is answered sends its next query
     * at once, and a query read between the last answer and the end would be lost.
     */
    private void abortAndClose() {
        for (int i = 0; i < ABORT_ROUNDS; i++) {
            abortAll.run();
            front.closeIdle();
        }
    }

    private void end() {
        state = State.ENDED;
        front.stopReading(); // first, as queries that this reads are aborted with the rest
        abortAll.run();
        onEnded.run();
    }
}
