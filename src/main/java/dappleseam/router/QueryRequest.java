package dappleseam.router;

/**
 * What a client asks for. {@code workMs} is the work that it is guessed to take on an idle node, 0 where nothing
 * tells; {@code again} where the client says that it asks once more.
 */
public record QueryRequest(int grade, Key key, double leftMs, double workMs, boolean write, boolean again) {}
