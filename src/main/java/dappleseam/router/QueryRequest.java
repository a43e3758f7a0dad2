package dappleseam.router;

/**
 * A client's request. {@code remainingMs} is the time until the client stops waiting, {@code estimatedWorkMs} the time the request is
 * expected to take on an idle node, 0 if unknown; {@code isRetry} is set if the client says that it has tried before.
 */
public record QueryRequest(int grade, Key key, double remainingMs, double estimatedWorkMs, boolean write, boolean isRetry) {}
