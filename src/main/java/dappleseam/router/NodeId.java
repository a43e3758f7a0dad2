package dappleseam.router;

/** Id of a cache node or the origin in the list; an opaque number. */
public record NodeId(long value) {
    // Explicit, as linking the generated method takes a hundredth of a second at each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof NodeId that && that.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
