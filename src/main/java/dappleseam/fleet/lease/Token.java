package dappleseam.fleet.lease;

/**
 * A ballot, and once it is won what fences all that its holder does: a resource refuses a lower one than it has seen (Burrows 2006,
 * sequencers). {@code round}: 0 to {@link #MAX_ROUND}; {@code nonce}: the process's, so that no two make the same.
 */
public record Token(long round, long nonce) implements Comparable<Token> {
    /** Below all that are ever made. */
    public static final Token NONE = new Token(0, Long.MIN_VALUE);
    /** More rounds than a thousand a second for a thousand years; what is beyond was never made. */
    public static final long MAX_ROUND = 1L << 45;

    public Token {
        if (round < 0 || round > MAX_ROUND) {
            throw new IllegalArgumentException("no round");
        }
    }

    @Override
    public int compareTo(Token other) {
        int byRound = Long.compare(round, other.round);
        return byRound != 0 ? byRound : Long.compare(nonce, other.nonce);
    }

    /** As {@link #parse} takes it, and as logs and stores have it: the round, a dot, the nonce in hexadecimal. */
    public String text() {
        return round + "." + Long.toHexString(nonce);
    }

    /** An {@link IllegalArgumentException} where the text is none. */
    public static Token parse(String text) {
        int dot = text.indexOf('.');
        if (dot < 0) {
            throw new IllegalArgumentException("no token");
        }
        return new Token(Long.parseLong(text.substring(0, dot)), Long.parseUnsignedLong(text.substring(dot + 1), 16));
    }

    public boolean isBelow(Token other) {
        return compareTo(other) < 0;
    }
}
