package dappleseam.fleet.share;

import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import java.util.List;

/**
 * What a member tells of itself, and nobody else of it: of one process's, the one with the greatest number holds. {@code ageMs}: how long ago it said so; {@code ratePerS}: queries that it takes a second, 0 to
 * {@link #MOST_RATE}; {@code sights}: at most {@link #MOST_SIGHTS}.
 */
public record Bulletin(MemberName who, Life life, long number, long ageMs, int ratePerS, List<Sight> sights) implements Comparable<Bulletin> {
    public static final int MOST_SIGHTS = 8;
    public static final int MOST_RATE = 10_000_000;
    /** Bytes in a datagram, at most, of one without sights beside its name, and of a sight. */
    private static final int FRAME_BYTES = 45;
    private static final int SIGHT_BYTES = 30;

    public Bulletin {
        if (number < 0 || ageMs < 0 || ratePerS < 0 || ratePerS > MOST_RATE || sights.size() > MOST_SIGHTS) {
            throw new IllegalArgumentException("no bulletin");
        }
        sights = List.copyOf(sights);
    }

    /** Said just now. */
    public Bulletin(MemberName who, Life life, long number, int ratePerS, List<Sight> sights) {
        this(who, life, number, 0, ratePerS, sights);
    }

    /** By process, then by number. */
    @Override
    public int compareTo(Bulletin other) {
        int byLife = life.compareTo(other.life);
        return byLife != 0 ? byLife : Long.compare(number, other.number);
    }

    /** The same as somebody passes it on who had it for so long. */
    Bulletin olderBy(double ms) {
        return new Bulletin(who, life, number, ageMs + Math.round(Math.max(0, ms)), ratePerS, sights.stream().map(s -> s.olderBy(ms)).toList());
    }

    /** At most so many bytes in a datagram. */
    public int bytes() {
        return FRAME_BYTES + who.text().length() + SIGHT_BYTES * sights.size();
    }
}
