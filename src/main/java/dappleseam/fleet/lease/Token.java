package dappleseam.fleet.lease;

/**
 * A ballot number, and once the lease is won the fencing token of its holder: a resource refuses a token lower than the highest it has seen (the
 * sequencers of Burrows 2006). {@code round}: 0 to {@link #MAX_ROUND}; {@code nonce}: the process's, so that no two processes create the same token.
 */
public record Token(long round, long nonce) implements Comparable<Token> {
    /** Lower than every real token. */
    public static final Token NONE = new Token(0, Long.MIN_VALUE);
    /** Enough for a thousand rounds a second for a thousand years; a higher round is invalid. */
    public static final long MAX_ROUND = 1L << 45;

    public Token {
        if (round < 0 || round > MAX_ROUND) {
            throw new IllegalArgumentException("round out of range");
        }
    }

    @Override
    public int compareTo(Token other) {
        int byRound = Long.compare(round, other.round);
        return byRound != 0 ? byRound : Long.compare(nonce, other.nonce);
    }

    /** The format of logs and stores, read by {@link #parse}: the round, a dot, the nonce in hexadecimal. */
    public String text() {
        return round + "." + Long.toHexString(nonce);
    }

    /** Parses {@link #text}; throws an {@link IllegalArgumentException} if it is malformed. */
    public static Token parse(String text) {
        int dot = text.indexOf('.');
        if (dot < 0) {
            throw new IllegalArgumentException("malformed token");
        }
        return new Token(Long.parseLong(text.substring(0, dot)), Long.parseUnsignedLong(text.substring(dot + 1), 16));
    }

    public boolean isBelow(Token other) {
        return compareTo(other) < 0;
    }
}
