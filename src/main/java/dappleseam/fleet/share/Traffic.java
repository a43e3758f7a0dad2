package dappleseam.fleet.share;

/**
 * Queries a second that a member takes, as it tells: {@code before}, and {@code now} since {@code ageMs}, 0 to {@link #MOST} each. More of it counts once it is known to all, less at once: whoever has
 * heard of it counts it as the member itself does, and at the same time.
 */
public record Traffic(int before, int now, long ageMs) {
    public static final int MOST = 10_000_000;
    /** Share by which traffic has to be another before that is told. */
    private static final double NEWS = 1.0 / 6;

    public Traffic {
        if (before < 0 || now < 0 || before > MOST || now > MOST || ageMs < 0) {
            throw new IllegalArgumentException("no traffic");
        }
    }

    /** The first that a process tells; {@code usualPerS}: what others that have not heard it may take it for, which holds until they have. */
    public static Traffic first(double perS, double usualPerS) {
        return new Traffic((int) Math.min(of(perS).now, Math.max(0, usualPerS)), of(perS).now, 0);
    }

    /** The same since ever. */
    public static Traffic of(double perS) {
        int rate = (int) Math.min(MOST, Math.round(Math.max(0, perS)));
        return new Traffic(rate, rate, 0);
    }

    /** What counts; {@code knownMs}: until it is known to all. */
    public int inForce(double knownMs) {
        return ageMs >= knownMs ? now : Math.min(before, now);
    }

    /** What to tell next, of which this is the last; the same where that is no news, or has to wait for what was told to count. */
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
