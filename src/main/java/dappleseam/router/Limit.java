package dappleseam.router;

/** An adaptive limit of executions in flight; below one it is the probability of allowing one. */
final class Limit {
    double size;
    double minimum;
    double lastCut;

    Limit(double size, double least) {
        this.size = size;
        this.minimum = least;
    }
}
