package dappleseam.router;

/** Id of a query; a client that retries gets a new one. */
public record QueryId(int value) {
    @Override
    public boolean equals(Object other) {
        return other instanceof QueryId that && that.value == value;
    }

    @Override
    public int hashCode() {
        return value;
    }
}
