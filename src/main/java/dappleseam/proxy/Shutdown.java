package dappleseam.proxy;

import dappleseam.clients.ClientFrontend;
import dappleseam.wire.IoLoop;

/**
 * A graceful shutdown, as one sequence of states on the I/O thread. Guards clients against the time until the next start: those that are
 * connected are served until shortly before the platform would kill. Whatever is read before the last state is answered; in that nothing is read.
 */
final class Shutdown {
    /** What is done from then on, in this order; none is entered twice. */
    private enum State {
        /** All is as ever: clients go on connecting for a while. */
        ACCEPTING,
        /** Those that are connected are served. */
        SERVING,
        /** Connections are closed as they fall idle. */
        CLOSING,
        /** What is open is aborted, too, and what comes meanwhile. */
        ABORTING,
        /** Nothing more is read. */
        ENDED
    }

    /** Times in ms after SIGTERM: until no more connections are accepted, and between looks. */
    private static final double ACCEPT_MORE_MS = 450;
    private static final double LOOK_AGAIN_MS = 10;
    /** Times in ms before the kill from which idle clients are closed, what is left is aborted, and nothing more is taken. */
    private static final double CLOSE_LEAD_MS = 350;
    private static final double ABORT_LEAD_MS = 200;
    private static final double END_LEAD_MS = 100;
    /** Rounds of answering and closing in one go: what comes while a connection is closed is answered in the next. */
    private static final int ROUNDS = 4;

    private final IoLoop loop;
    private final ClientFrontend front;
    private final Runnable abortAll;
    private final Runnable whenEnded;
    /** When the platform may kill. */
    private double killAt;
    /** When the process was told to end; NaN before. */
    private double beganAt = Double.NaN;
    private State state = State.ACCEPTING;

    /** Made at the start, when there is time: loading it late would take of the time to the kill. {@code abortAll} answers all that is open. */
    Shutdown(IoLoop loop, ClientFrontend front, Runnable abortAll, Runnable whenEnded) {
        this.loop = loop;
        this.front = front;
        this.abortAll = abortAll;
        this.whenEnded = whenEnded;
    }

    /** Told so many ms ago, to be killed so many ms later. Where another process takes the clients, those here are sent there at once. */
    void begin(boolean handOver, double toldMsAgo, double killAfterMs) {
        beganAt = loop.nowMs() - toldMsAgo;
        killAt = beganAt + killAfterMs;
        if (handOver) {
            front.handOver();
            state = State.CLOSING;
        }
        step();
    }

    /** The platform may kill so long after it told this process to end, if that is earlier than was known: the settings are others. */
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
            loop.scheduleAt(loop.nowMs() + LOOK_AGAIN_MS, this::step);
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
     * Answers all that is open and closes its connections in one go, and again until the end: a client that is answered sends its next query
     * at once, and what would be taken between the last answer and the end would be lost.
     */
    private void abortAndClose() {
        for (int i = 0; i < ROUNDS; i++) {
            abortAll.run();
            front.closeIdle();
        }
    }

    private void end() {
        state = State.ENDED;
        front.stopReading(); // first: what this reads is aborted with the rest
        abortAll.run();
        whenEnded.run();
    }
}
