package dappleseam.router;

/** Exponentially decaying share of the recent queries that concern one key or node. */
final class Share {
    private final double kept;
    private double value;
    private long turn;

    /** Averages over about the last {@code window} queries. */
    Share(double memory) {
        kept = 1 - 1 / memory;
    }

    /** Counts the query with this number. */
    void add(long atTurn) {
        value = value * Math.pow(kept, atTurn - turn) + 1 - kept;
        turn = atTurn;
    }

    /** The share as of the query with this number; 0 before the first one. */
    double at(long atTurn) {
        return turn == 0 ? 0 : value * Math.pow(kept, atTurn - turn) / (1 - Math.pow(kept, atTurn));
    }
}
