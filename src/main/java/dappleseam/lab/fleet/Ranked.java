package dappleseam.lab.fleet;

import java.util.List;

/** Figures by their rank. */
final class Ranked {
    private Ranked() {}

    /** The least that so large a share of them, over 0 to 1, does not exceed; NaN of none. */
    static double at(List<Double> values, double share) {
        double[] sorted = values.stream().mapToDouble(d -> d).sorted().toArray();
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.max(0, Math.ceil(share * sorted.length) - 1)];
    }
}
