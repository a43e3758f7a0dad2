package dappleseam.query;

/** What executions are sent to: a cache node or the origin. */
public interface Backend {
    void begin(Execution execution);

    /** Waits no longer; says how far the execution had come. */
    Reached giveUp(Execution execution);

    /** Closes the connections that carry nothing. */
    void closeIdle();

    /** Takes nothing new, and closes each connection once it carries nothing. */
    void retire();
}
