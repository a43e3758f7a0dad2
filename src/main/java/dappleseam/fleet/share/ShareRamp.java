package dappleseam.fleet.share;

/**
 * The share of fleet-wide limits that a proxy applies. It falls within a second, since other members take up the difference, and rises
 * gradually, so that no limit jumps. Without recent announcements it returns gradually to the configured share. Performs no I/O; times
 * are ms of one clock.
 */
public final class ShareRamp {
    /** Maximum factor of growth per second, and of decline while there is no recent announcement. */
    public static final double MAX_GROWTH_PER_SECOND = 1.2;
    /** Age in ms above which an announced share is stale: a dozen announcement intervals. */
    public static final double STALE_AFTER_MS = 5000;
    /**
     * Time in ms for which the announced share must be lower before the applied one falls. When the traffic of all members rises
     * together, that of the others takes effect a moment before this member's own.
     */
    private static final double MIN_LOWER_MS = 600;
    /** Minimum relative change at which the limits are adjusted. */
    private static final double MIN_CHANGE = 0.02;
    private static final double MS_PER_S = 1000;

    private double lowerSince = Double.POSITIVE_INFINITY;
    private double current;
    private double applied;
    private double updatedAt = Double.NaN;

    /** {@code configured}: the share according to the settings alone, greater than 0, at most 1. */
    public ShareRamp(double configured) {
        current = configured;
        applied = configured;
    }

    /**
     * Moves the share towards its target and returns whether {@link #share} has changed. {@code announced}: the calculated share, NaN
     * if there never was one; {@code ageMs}: its age; {@code configured}: the share according to the current settings.
     */
    public boolean update(double nowMs, double announced, double ageMs, double configured) {
        boolean isStale = Double.isNaN(announced) || !(ageMs <= STALE_AFTER_MS);
        double target = isStale ? configured : announced;
        double maxFactor = Double.isNaN(updatedAt) ? 1 : Math.pow(MAX_GROWTH_PER_SECOND, Math.max(0, nowMs - updatedAt) / MS_PER_S);
        updatedAt = nowMs;
        lowerSince = target >= current ? Double.POSITIVE_INFINITY : Math.min(lowerSince, nowMs);
        if (target > current) {
            current = Math.min(target, current * maxFactor);
        } else if (isStale) {
            current = Math.max(target, current / maxFactor);
        } else if (nowMs >= lowerSince + MIN_LOWER_MS) {
            current = target;
        }
        boolean isChanged = Math.abs(current - applied) > MIN_CHANGE * applied || current == target && current != applied && target == configured;
        applied = isChanged ? current : applied;
        return isChanged;
    }

    public double share() {
        return applied;
    }
}
