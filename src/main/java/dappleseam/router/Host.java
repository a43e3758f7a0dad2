package dappleseam.router;

/** The environment of a router, which carries out its decisions. Every call takes effect at the time of the event being handled. */
public interface Host {
    /** Starts the query's next execution, numbered 0, 1, 2 ... A timeout of 0 means until the client stops waiting. */
    void execute(QueryId query, NodeId node, double timeoutMs);

    /** Cancels an execution in flight, whose result is not needed any more. */
    void cancel(QueryId query, int execution);

    /** Final answer: the query had no effect or is idempotent, so the client may retry, after {@code retryAfterMs} if that is over 0. */
    void reject(QueryId query, double retryAfterMs);

    /** Final answer: the query failed, and may or may not have had an effect. */
    void abort(QueryId query);

    /** Closes this proxy's idle connections to the node. */
    void closeIdle(NodeId node);

    /** Asks the list service for changes from now on, beginning with those missed so far. */
    void followList();

    /** Calls {@link Router#timerFired} after the delay. */
    void startTimer(TimerId timer, double delayMs);

    void log(String text);
}
