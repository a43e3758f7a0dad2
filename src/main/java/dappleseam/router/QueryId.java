package dappleseam.router;

/** One try of one client. A client that tries again gets a fresh id. */
public record QueryId(int value) {}
