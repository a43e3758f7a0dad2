package dappleseam.query;

/** What executions are sent to: a cache node or the origin. */
public interface Backend {
    void begin(Execution execution);

    /** Waits no longer; says how far the execution had come. */
    Reached giveUp(Execution execution);

    /** Takes back what has not been written whole, as where its query is over; says whether it did, and it never runs. */
    boolean takeBack(Execution execution);

    /** What is allowed of connections from now on. */
    void limit(Connections limits);

    /** Closes the connections that carry nothing. */
    void closeIdle();

    /** Ends what still waits for a connection: it must not begin at a node that drains. */
    void endWaiting();

    /** Takes nothing new, and closes each connection once it carries nothing. */
    void retire();
}
