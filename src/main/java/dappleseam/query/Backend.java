package dappleseam.query;

/** A cache node or the origin, to which executions are sent. */
public interface Backend {
    /** Sends an execution, over a new connection if necessary. */
    void begin(Execution execution);

    /** Stops waiting for the answer; returns whether the request had been written completely. */
    WriteProgress stopWaiting(Execution execution);

    /** Drops an execution whose request has not been written, for example as its query is over. Returns whether it did: then it never runs. */
    boolean cancelUnsent(Execution execution);

    /** Sets the policy for connections from now on. */
    void setPolicy(ConnectionPolicy policy);

    /** Closes idle connections. */
    void closeIdle();

    /** Fails executions that still wait for a connection: they must not begin at a draining node. */
    void failWaiting();

    /** Accepts no further executions, and closes each connection as soon as it is idle. */
    void retire();
}
