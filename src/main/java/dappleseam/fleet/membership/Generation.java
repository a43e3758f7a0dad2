package dappleseam.fleet.membership;

/**
 * One process that goes by a member's name. {@code start} is the wall clock in ms at its start, or one more than that of a life it
 * heard of; from 0 to {@link #MAX_START}. {@code nonce} is drawn at its start. Of two lives the greater one is in force.
 */
public record Generation(long start, long nonce) implements Comparable<Generation> {
    /** Latest start: some thousands of years from now. What is beyond is no start. */
    public static final long MAX_START = 1L << 47;

    public Generation {
        if (start < 0 || start > MAX_START) {
            throw new IllegalArgumentException("no start of a life");
        }
    }

    @Override
    public int compareTo(Generation other) {
        int byStart = Long.compare(start, other.start);
        return byStart != 0 ? byStart : Long.compare(nonce, other.nonce);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Generation that && that.start == start && that.nonce == nonce;
    }

    @Override
    public int hashCode() {
        return Long.hashCode(start) * 31 + Long.hashCode(nonce);
    }
}
