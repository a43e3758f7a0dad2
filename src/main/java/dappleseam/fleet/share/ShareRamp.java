package dappleseam.fleet.share;

/**
 * The share that a proxy goes by: less within a second, as others take it up; more by steps, so that no limit jumps; and back to the one in its settings by steps where nothing was told for a while. Free
 * of I/O; times are ms of one clock.
 */
public final class ShareRamp {
    /** Factor by which it grows in a second at most, and falls where it is only that nothing was told. */
    public static final double GROWTH_A_SECOND = 1.2;
    /** Age in ms from which what was told counts no more: a dozen times that it is told anew. */
    public static final double OLD_MS = 5000;
    /** Time in ms for which it has to be lower before it falls: where the traffic of all rises together, others' counts a moment before one's own. */
    private static final double LOWER_MS = 600;
    /** Share by which it has to be another for the limits to go along. */
    private static final double NEWS = 0.02;
    private static final double MS_PER_S = 1000;

    private double lowerFrom = Double.POSITIVE_INFINITY;
    private double current;
    private double applied;
    private double lookedAt = Double.NaN;

    /** {@code usual}: the share by the settings alone, over 0 to 1. */
    public ShareRamp(double usual) {
        current = usual;
        applied = usual;
    }

    /** {@code told}: NaN where nothing ever was; {@code usual}: by the settings as they are now. Whether {@link #share} has become another. */
    public boolean update(double nowMs, double told, double ageMs, double usual) {
        boolean isOld = Double.isNaN(told) || !(ageMs <= OLD_MS);
        double goal = isOld ? usual : told;
        double step = Double.isNaN(lookedAt) ? 1 : Math.pow(GROWTH_A_SECOND, Math.max(0, nowMs - lookedAt) / MS_PER_S);
        lookedAt = nowMs;
        lowerFrom = goal >= current ? Double.POSITIVE_INFINITY : Math.min(lowerFrom, nowMs);
        if (goal > current) {
            current = Math.min(goal, current * step);
        } else if (isOld) {
            current = Math.max(goal, current / step);
        } else if (nowMs >= lowerFrom + LOWER_MS) {
            current = goal;
        }
        boolean isNews = Math.abs(current - applied) > NEWS * applied || current == goal && current != applied && goal == usual;
        applied = isNews ? current : applied;
        return isNews;
    }

    public double share() {
        return applied;
    }
}
