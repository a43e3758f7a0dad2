package dappleseam.router;

/** A wake-up the router asked for. */
public record TimerId(int value) {}
