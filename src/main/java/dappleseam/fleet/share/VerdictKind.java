package dappleseam.fleet.share;

/** What other members say of one process of a cache, all together. */
public enum VerdictKind {
    /** One says that it fails: worth a look. */
    HINT,
    /** Two or more say that it fails, and fewer that it works. */
    FAILS,
    /** They say so no more. */
    WORKS
}
