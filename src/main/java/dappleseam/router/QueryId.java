package dappleseam.router;

/** One try of one client. A client that tries again gets a fresh id. */
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
