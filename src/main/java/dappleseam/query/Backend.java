package dappleseam.query;

/** What executions are sent to: a cache node or the origin. */
public interface Backend {
    void begin(Execution execution);

    /** Waits no longer; says how far the execution had come. */
    WriteProgress stopWaiting(Execution execution);

    /** Takes back what has not been written whole, as where its query is over; says whether it did, and it never runs. */
    boolean cancelUnsent(Execution execution);

    /** What is allowed of connections from now on. */
    void setPolicy(ConnectionPolicy limits);

    /** Closes the connections that carry nothing. */
    void closeIdle();

    /** Ends what still waits for a connection: it must not begin at a node that drains. */
    void failWaiting();

    /** Takes nothing new, and closes each connection once it carries nothing. */
    void retire();
}
