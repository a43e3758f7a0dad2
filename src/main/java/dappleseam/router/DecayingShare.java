package dappleseam.router;

/** Exponentially decaying share of the recent queries that concern one key or node. */
final class DecayingShare {
    private final double retention;
    private double value;
    private long lastQuery;

    /** Averages over about the last {@code window} queries. */
    DecayingShare(double window) {
        retention = 1 - 1 / window;
    }

    /** Counts the query with this number. */
    void add(long queryNumber) {
        value = value * Math.pow(retention, queryNumber - lastQuery) + 1 - retention;
        lastQuery = queryNumber;
    }

    /** The share as of the query with this number; 0 before the first one. */
    double at(long queryNumber) {
        return lastQuery == 0 ? 0 : value * Math.pow(retention, queryNumber - lastQuery) / (1 - Math.pow(retention, queryNumber));
    }
}
