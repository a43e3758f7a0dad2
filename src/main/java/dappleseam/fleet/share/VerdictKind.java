package dappleseam.fleet.share;

/** The other members' combined judgement of one process of a cache. */
public enum VerdictKind {
    /** One member reports that it fails, which is worth a trial. */
    HINT,
    /** At least two members report that it fails, and fewer that it works. */
    FAILS,
    /** The report that it fails has been withdrawn or outvoted. */
    WORKS
}
