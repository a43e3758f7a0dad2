package dappleseam.fleet.share;

/**
 * The queries per second that a member announces: {@code current} since {@code ageMs}, {@code previous} before that, 0 to
 * {@link #MAX_PER_S} each. An increase takes effect once all members know it, a decrease immediately. All members that have the
 * announcement therefore apply the same rate at the same time as the member itself.
 */
public record Traffic(int before, int now, long ageMs) {
    public static final int MOST = 10_000_000;
    /** Minimum relative change of the rate that is announced. */
    private static final double NEWS = 1.0 / 6;

    public Traffic {
        if (before < 0 || now < 0 || before > MOST || now > MOST || ageMs < 0) {
            throw new IllegalArgumentException("traffic field out of range");
        }
    }

    /**
     * The first announcement of a process. {@code presumedPerS}: the rate that members without an announcement presume, which stays in
     * effect until they have it.
     */
    public static Traffic first(double perS, double usualPerS) {
        return new Traffic((int) Math.min(of(perS).now, Math.max(0, usualPerS)), of(perS).now, 0);
    }

    /** A rate that has always been the same. */
    public static Traffic of(double perS) {
        int rate = (int) Math.min(MOST, Math.round(Math.max(0, perS)));
        return new Traffic(rate, rate, 0);
    }

    /** The rate in effect. {@code propagationMs}: time until all members have an announcement. */
    public int inForce(double knownMs) {
        return ageMs >= knownMs ? now : Math.min(before, now);
    }

    /**
     * The announcement to follow this one. Returns this one if the change is too small, or if an increase has to wait until this one
     * is in effect.
     */
    public Traffic next(double perS, double knownMs) {
        int rate = of(perS).now;
        if (Math.abs(rate - now) <= Math.max(1, NEWS * now)) {
            return this;
        }
        int inForce = inForce(knownMs);
        if (rate <= inForce) {
            return new Traffic(rate, rate, 0);
        }
        if (rate < now) {
            return new Traffic(before, rate, ageMs);
        }
        return ageMs >= knownMs ? new Traffic(inForce, rate, 0) : this;
    }

    public Traffic olderBy(double ms) {
        return new Traffic(before, now, ageMs + Math.round(Math.max(0, ms)));
    }
}
