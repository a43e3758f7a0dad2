package dappleseam.fleet.share;

/**
 * Queries a second that a member takes, as it tells: {@code before}, and {@code now} since {@code ageMs}, 0 to {@link #MAX_PER_S} each. More of it counts once it is known to all, less at once: whoever has
 * heard of it counts it as the member itself does, and at the same time.
 */
public record AnnouncedTraffic(int previous, int current, long ageMs) {
    public static final int MAX_PER_S = 10_000_000;
    /** Share by which traffic has to be another before that is told. */
    private static final double NEWS = 1.0 / 6;

    public AnnouncedTraffic {
        if (previous < 0 || current < 0 || previous > MAX_PER_S || current > MAX_PER_S || ageMs < 0) {
            throw new IllegalArgumentException("no traffic");
        }
    }

    /** The first that a process tells; {@code usualPerS}: what others that have not heard it may take it for, which holds until they have. */
    public static AnnouncedTraffic first(double perS, double usualPerS) {
        return new AnnouncedTraffic((int) Math.min(of(perS).current, Math.max(0, usualPerS)), of(perS).current, 0);
    }

    /** The same since ever. */
    public static AnnouncedTraffic of(double perS) {
        int rate = (int) Math.min(MAX_PER_S, Math.round(Math.max(0, perS)));
        return new AnnouncedTraffic(rate, rate, 0);
    }

    /** What counts; {@code knownMs}: until it is known to all. */
    public int inForce(double knownMs) {
        return ageMs >= knownMs ? current : Math.min(previous, current);
    }

    /** What to tell next, of which this is the last; the same where that is no news, or has to wait for what was told to count. */
    public AnnouncedTraffic next(double perS, double knownMs) {
        int rate = of(perS).current;
        if (Math.abs(rate - current) <= Math.max(1, NEWS * current)) {
            return this;
        }
        int inForce = inForce(knownMs);
        if (rate <= inForce) {
            return new AnnouncedTraffic(rate, rate, 0);
        }
        if (rate < current) {
            return new AnnouncedTraffic(previous, rate, ageMs);
        }
        return ageMs >= knownMs ? new AnnouncedTraffic(inForce, rate, 0) : this;
    }

    public AnnouncedTraffic olderBy(double ms) {
        return new AnnouncedTraffic(previous, current, ageMs + Math.round(Math.max(0, ms)));
    }
}
