package dappleseam.router;

import java.util.Arrays;

/** Sliding-window counts of executions sent, good and bad, in a ring buffer of time buckets. */
final class OutcomeCounts {
    static final int SENT = 0;
    static final int GOOD = 1;
    static final int BAD = 2;
    private static final int KINDS = 3;

    private final int buckets;
    private final double bucketMs;
    private final int[] counts;
    private long newestBucket;

    OutcomeCounts(int buckets, double bucketMs) {
        this.buckets = buckets;
        this.bucketMs = bucketMs;
        counts = new int[buckets * KINDS];
    }

    void add(double atMs, int kind) {
        advance(atMs);
        counts[(int) (newestBucket % buckets) * KINDS + kind]++;
    }

    /** The count over at least the span ending now, limited to the time that the buckets cover. */
    int count(double atMs, double spanMs, int kind) {
        advance(atMs);
        int sum = 0;
        int span = (int) Math.min(buckets, Math.ceil(spanMs / bucketMs) + 1);
        for (int i = 0; i < span && i <= newestBucket; i++) {
            sum += counts[(int) ((newestBucket - i) % buckets) * KINDS + kind];
        }
        return sum;
    }

    /** Share of bad among good and bad; 0 with fewer than {@code minSamples} of both together. */
    double badShare(double atMs, double spanMs, int minSamples) {
        double bad = count(atMs, spanMs, BAD);
        double all = bad + count(atMs, spanMs, GOOD);
        return all < minSamples ? 0 : bad / all;
    }

    void clear() {
        Arrays.fill(counts, 0);
    }

    private void advance(double atMs) {
        long bucket = (long) (atMs / bucketMs);
        if (bucket - newestBucket >= buckets) {
            clear();
            newestBucket = bucket;
        }
        while (newestBucket < bucket) {
            newestBucket++;
            int from = (int) (newestBucket % buckets) * KINDS;
            Arrays.fill(counts, from, from + KINDS, 0);
        }
    }
}
