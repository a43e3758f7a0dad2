package dappleseam.router;

/** What may be in flight, in executions; under one it is the chance of one. */
final class Limit {
    double size;
    double lastCut;

    Limit(double size) {
        this.size = size;
    }
}
