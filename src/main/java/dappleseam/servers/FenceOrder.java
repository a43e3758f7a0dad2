package dappleseam.servers;

/**
 * Whether a node answers PING in its order among commands, so that the answer proves which replies came before it. That is tested behind commands
 * whose replies are proven otherwise; a node that answers PING at once, ahead of a command, proves nothing by it.
 */
final class FenceOrder {
    /** Least time in ms that a tested command has to take: an answer to PING that waits for nothing comes sooner. */
    private static final double MIN_COMMAND_MS = 20;
    /** Tests after which the order stays unknown, as a node's commands may be too quick to tell. */
    private static final int MAX_TESTS = 8;

    private enum State { NOT_NEEDED, UNKNOWN, IN_ORDER, OVERTAKING }

    private State state = State.NOT_NEEDED;
    private int tests;

    /** Records that the node gives replies that only the answer to a PING can prove. */
    void need() {
        if (state == State.NOT_NEEDED) {
            state = State.UNKNOWN;
        }
    }

    /** Whether a PING is to be sent behind the next command as a test; counts as one. */
    boolean beginTest() {
        return state == State.UNKNOWN && tests++ < MAX_TESTS;
    }

    /** Records a test: whether the answer to PING came before the reply to the command; else how long that took, in ms. */
    void recordTest(boolean overtaken, double commandMs) {
        if (overtaken) {
            state = State.OVERTAKING;
        } else if (state == State.UNKNOWN && commandMs >= MIN_COMMAND_MS) {
            state = State.IN_ORDER;
        }
    }

    /** Whether the answer to a PING proves which replies came before it. */
    boolean isInOrder() {
        return state == State.IN_ORDER;
    }
}
