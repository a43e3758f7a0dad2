package dappleseam.router;

/** What may be in flight, in executions; under one it is the chance of one. */
final class Limit {
    double size;
    double least;
    double lastCut;

    Limit(double size, double least) {
        this.size = size;
        this.least = least;
    }
}
