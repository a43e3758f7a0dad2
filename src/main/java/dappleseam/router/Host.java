package dappleseam.router;

/** What the router can do. Every call takes effect at the time of the event being handled. */
public interface Host {
    /** Starts the query's next execution, numbered 0, 1, 2 ... A time-out of 0: until the client quits. */
    void execute(QueryId query, NodeId node, double timeoutMs);

    void cancel(QueryId query, int execution);

    /** Final answer: trying again is harmless, after {@code retryAfterMs} where that is over 0. */
    void reject(QueryId query, double retryAfterMs);

    /** Final answer that promises nothing about what was done. */
    void abort(QueryId query);

    /** Closes this proxy's connections to the node that carry nothing. */
    void closeIdle(NodeId node);

    /** Asks for changes of the list from now on; what was missed comes first. */
    void followList();

    /** Calls {@link Router#timerFired} after the delay. */
    void startTimer(TimerId timer, double delayMs);

    void log(String text);
}
