package dappleseam.router;

/** What a query concerns. {@link #NONE} for a query that concerns nothing in particular. */
public record Key(long value) {
    public static final Key NONE = new Key(0);

    @Override
    public boolean equals(Object other) {
        return other instanceof Key that && that.value == value;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(value);
    }
}
