package dappleseam.control;

/**
 * Whether this process takes clients: the one state behind the control server's answers, PING and what the I/O thread does with connections.
 * Thread-safe: operators' calls, signals and the start each come on a thread of their own.
 */
public final class ServiceState {
    /** What a process is, from its start to its end. */
    public enum Phase {
        /** It does not listen yet, and takes clients once it does. */
        STARTING,
        /** It does not listen yet, and sends clients away once it does. */
        STARTING_OUT_OF_SERVICE,
        /** It listens and takes clients. */
        IN_SERVICE,
        /** It listens and sends clients away. */
        OUT_OF_SERVICE,
        /** It has been told to end. No other phase follows. */
        ENDING
    }

    private volatile Phase phase = Phase.STARTING;

    public Phase phase() {
        return phase;
    }

    /** Whether clients are taken: what the control server and PING tell. */
    public boolean takesClients() {
        return phase == Phase.IN_SERVICE;
    }

    /** Whether an operator has sent clients away. */
    public boolean isOutOfService() {
        return phase == Phase.OUT_OF_SERVICE || phase == Phase.STARTING_OUT_OF_SERVICE;
    }

    /** Sends clients away until {@link #returnToService}, also if the process does not listen yet. False if the process is ending. */
    public synchronized boolean takeOutOfService() {
        phase = switch (phase) {
            case STARTING, STARTING_OUT_OF_SERVICE -> Phase.STARTING_OUT_OF_SERVICE;
            case IN_SERVICE, OUT_OF_SERVICE -> Phase.OUT_OF_SERVICE;
            case ENDING -> Phase.ENDING;
        };
        return phase != Phase.ENDING;
    }

    /** Takes clients from now on, or once the process listens. False if the process is ending. */
    public synchronized boolean returnToService() {
        phase = switch (phase) {
            case STARTING, STARTING_OUT_OF_SERVICE -> Phase.STARTING;
            case IN_SERVICE, OUT_OF_SERVICE -> Phase.IN_SERVICE;
            case ENDING -> Phase.ENDING;
        };
        return phase != Phase.ENDING;
    }

    /** The process listens for clients from now on. */
    public synchronized void startedListening() {
        phase = switch (phase) {
            case STARTING, IN_SERVICE -> Phase.IN_SERVICE;
            case STARTING_OUT_OF_SERVICE, OUT_OF_SERVICE -> Phase.OUT_OF_SERVICE;
            case ENDING -> Phase.ENDING;
        };
    }

    /** The process has been told to end. */
    public synchronized void end() {
        phase = Phase.ENDING;
    }
}
