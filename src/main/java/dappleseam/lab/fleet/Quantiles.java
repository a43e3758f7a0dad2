package dappleseam.lab.fleet;

import java.util.List;

/** Quantiles of a sample, by nearest rank. */
final class Quantiles {
    private Quantiles() {}

    /** The smallest value that the given share of the sample (above 0, up to 1) does not exceed; NaN for an empty sample. */
    static double quantile(List<Double> values, double share) {
        double[] sorted = values.stream().mapToDouble(d -> d).sorted().toArray();
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.max(0, Math.ceil(share * sorted.length) - 1)];
    }
}
