package dappleseam.router;

/** What may be in flight: grows by one for each full round of good answers, and is cut by a share. */
final class Limit {
    double size;
    double least;
    double lastCut;
    private final double kept;

    Limit(double first, double least, double kept) {
        size = first;
        this.least = least;
        this.kept = kept;
    }

    void grow(int out) {
        size += out >= size / 2 ? 1 / size : 0;
    }

    /** Cuts unless it was cut less than {@code everyMs} ago: one bad moment counts once. */
    void cut(double atMs, double everyMs) {
        if (atMs - lastCut >= everyMs) {
            lastCut = atMs;
            size = Math.max(least, size * kept);
        }
    }
}
