package dappleseam.router;

/** What may be in flight: grows by one for each full round of good answers, and is cut by a share. */
final class Limit {
    double size;
    double least;
    private double lastCut;
    private final double kept;

    Limit(double first, double least, double kept) {
        size = Math.max(first, least);
        this.least = least;
        this.kept = kept;
    }

    void grow(int out) {
        size += out + 1 >= size / 2 ? 1 / size : 0;
    }

    void answered(boolean slow, int out, double atMs, double sentAtMs) {
        if (slow) {
            cut(atMs, sentAtMs);
        } else {
            grow(out);
        }
    }

    /** Cuts for an execution sent since the last cut: what was out already tells nothing of the new size. */
    void cut(double atMs, double sentAtMs) {
        if (sentAtMs >= lastCut) {
            lastCut = atMs;
            size = Math.max(least, size * kept);
        }
    }
}
