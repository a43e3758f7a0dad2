package dappleseam.router;

/** Hash of the cache key of a query; {@link #NONE} for a query without a key. */
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
