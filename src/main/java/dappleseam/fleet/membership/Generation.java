package dappleseam.fleet.membership;

/**
 * Identifies one process that runs under a member's name. {@code start}: wall clock in ms at its start, or one more than the start of
 * an earlier generation that it learnt of, 0 to {@link #MAX_START}; {@code nonce}: random, drawn at its start. The greater of two
 * generations is the current one.
 */
public record Generation(long start, long nonce) implements Comparable<Generation> {
    /** Greatest valid start, some thousands of years from now. */
    public static final long MAX_START = 1L << 47;

    public Generation {
        if (start < 0 || start > MAX_START) {
            throw new IllegalArgumentException("start out of range");
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
