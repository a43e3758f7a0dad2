package dappleseam.fleet.share;

import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import java.util.List;

/**
 * What a member tells of itself, and nobody else of it: of one process's, the one with the greatest number holds. {@code location}: where it is, 0 to {@link #LAST_LOCATION}, or
 * {@link #NOWHERE} in particular; {@code traffic}: queries that it takes; {@code sights}: at most {@link #MOST_SIGHTS}.
 */
public record Bulletin(MemberName who, Life life, long number, int location, Traffic traffic, List<Sight> sights) implements Comparable<Bulletin> {
    public static final int MOST_SIGHTS = 8;
    public static final int NOWHERE = -1;
    public static final int LAST_LOCATION = 1_000_000;
    /** Bytes in a datagram, at most, of one without sights beside its name, and of a sight. */
    private static final int FRAME_BYTES = 55;
    private static final int SIGHT_BYTES = 30;

    public Bulletin {
        if (number < 0 || location < NOWHERE || location > LAST_LOCATION || sights.size() > MOST_SIGHTS) {
            throw new IllegalArgumentException("no bulletin");
        }
        sights = List.copyOf(sights);
    }

    /** By process, then by number. */
    @Override
    public int compareTo(Bulletin other) {
        int byLife = life.compareTo(other.life);
        return byLife != 0 ? byLife : Long.compare(number, other.number);
    }

    /** The same as somebody passes it on who had it for so long. */
    Bulletin olderBy(double ms) {
        return new Bulletin(who, life, number, location, traffic.olderBy(ms), sights.stream().map(s -> s.olderBy(ms)).toList());
    }

    /** At most so many bytes in a datagram. */
    public int bytes() {
        return FRAME_BYTES + who.text().length() + SIGHT_BYTES * sights.size();
    }
}
