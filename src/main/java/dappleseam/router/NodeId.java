package dappleseam.router;

/** A cache node or the origin, as the list names it. The number says nothing about the machine. */
public record NodeId(long value) {
    // Written out, as linking a record's own takes a hundredth of a second of each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof NodeId that && that.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
