package dappleseam.fleet.share;

/**
 * The queries per second that a member announces: {@code current} since {@code ageMs}, {@code previous} before that, 0 to
 * {@link #MAX_PER_S} each. An increase takes effect once all members know it, a decrease immediately. All members that have the
 * announcement therefore apply the same rate at the same time as the member itself.
 */
public record AnnouncedTraffic(int previous, int current, long ageMs) {
    public static final int MAX_PER_S = 10_000_000;
    /** Minimum relative change of the rate that is announced. */
    private static final double MIN_CHANGE = 1.0 / 6;

    public AnnouncedTraffic {
        if (previous < 0 || current < 0 || previous > MAX_PER_S || current > MAX_PER_S || ageMs < 0) {
            throw new IllegalArgumentException("traffic field out of range");
        }
    }

    /**
     * The first announcement of a process. {@code presumedPerS}: the rate that members without an announcement presume, which stays in
     * effect until they have it.
     */
    public static AnnouncedTraffic initial(double perS, double presumedPerS) {
        return new AnnouncedTraffic((int) Math.min(of(perS).current, Math.max(0, presumedPerS)), of(perS).current, 0);
    }

    /** A rate that has always been the same. */
    public static AnnouncedTraffic of(double perS) {
        int rate = (int) Math.min(MAX_PER_S, Math.round(Math.max(0, perS)));
        return new AnnouncedTraffic(rate, rate, 0);
    }

    /** The rate in effect. {@code propagationMs}: time until all members have an announcement. */
    public int effective(double propagationMs) {
        return ageMs >= propagationMs ? current : Math.min(previous, current);
    }

    /**
     * The announcement to follow this one. Returns this one if the change is too small, or if an increase has to wait until this one
     * is in effect.
     */
    public AnnouncedTraffic next(double perS, double propagationMs) {
        int rate = of(perS).current;
        if (Math.abs(rate - current) <= Math.max(1, MIN_CHANGE * current)) {
            return this;
        }
        int effective = effective(propagationMs);
        if (rate <= effective) {
            return new AnnouncedTraffic(rate, rate, 0);
        }
        if (rate < current) {
            return new AnnouncedTraffic(previous, rate, ageMs);
        }
        return ageMs >= propagationMs ? new AnnouncedTraffic(effective, rate, 0) : this;
    }

    public AnnouncedTraffic agedBy(double ms) {
        return new AnnouncedTraffic(previous, current, ageMs + Math.round(Math.max(0, ms)));
    }
}
