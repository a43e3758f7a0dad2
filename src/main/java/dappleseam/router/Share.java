package dappleseam.router;

/** Share of one thing among the latest queries; the older ones are forgotten evenly. */
final class Share {
    private final double kept;
    private double value;
    private long turn;

    /** Over about the latest {@code memory} queries. */
    Share(double memory) {
        kept = 1 - 1 / memory;
    }

    void add(long atTurn) {
        value = value * Math.pow(kept, atTurn - turn) + 1 - kept;
        turn = atTurn;
    }

    double at(long atTurn) {
        return turn == 0 ? 0 : value * Math.pow(kept, atTurn - turn) / (1 - Math.pow(kept, atTurn));
    }
}
