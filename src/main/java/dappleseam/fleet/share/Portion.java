package dappleseam.fleet.share;

/**
 * The share of fleet-wide limits that a proxy applies. It falls within a second, since other members take up the difference, and rises
 * gradually, so that no limit jumps. Without recent announcements it returns gradually to the configured share. Performs no I/O; times
 * are ms of one clock.
 */
public final class Portion {
    /** Maximum factor of growth per second, and of decline while there is no recent announcement. */
    public static final double GROWTH_A_SECOND = 1.2;
    /** Age in ms above which an announced share is stale: a dozen announcement intervals. */
    public static final double OLD_MS = 5000;
    /**
     * Time in ms for which the announced share must be lower before the applied one falls. When the traffic of all members rises
     * together, that of the others takes effect a moment before this member's own.
     */
    private static final double LOWER_MS = 600;
    /** Minimum relative change at which the limits are adjusted. */
    private static final double NEWS = 0.02;
    private static final double MS_PER_S = 1000;

    private double lowerFrom = Double.POSITIVE_INFINITY;
    private double current;
    private double applied;
    private double lookedAt = Double.NaN;

    /** {@code configured}: the share according to the settings alone, greater than 0, at most 1. */
    public Portion(double usual) {
        current = usual;
        applied = usual;
    }

    /**
     * Moves the share towards its target and returns whether {@link #share} has changed. {@code announced}: the calculated share, NaN
     * if there never was one; {@code ageMs}: its age; {@code configured}: the share according to the current settings.
     */
    public boolean look(double nowMs, double told, double ageMs, double usual) {
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
