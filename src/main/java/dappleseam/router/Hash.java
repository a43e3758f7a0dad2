package dappleseam.router;

/** The hash that places tokens and keys on the ring; the same at every proxy. */
public final class Hash {
    private Hash() {}

    /** Finalizer of splitmix64: each input bit affects half of the output bits. */
    public static long mix(long x) {
        long z = x + 0x9E3779B97F4A7C15L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** Hashes to a uniformly distributed fraction from 0 to 1. */
    static double fraction(long x) {
        return (mix(x) >>> 11) * 0x1p-53;
    }
}
