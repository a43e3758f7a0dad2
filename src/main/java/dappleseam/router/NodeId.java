package dappleseam.router;

/** A cache node or the origin, as the list names it. The number says nothing about the machine. */
public record NodeId(long value) {}
