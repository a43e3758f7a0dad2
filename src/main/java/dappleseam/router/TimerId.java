package dappleseam.router;

/** Id of a timer that a router started through its host. */
public record TimerId(int value) {}
