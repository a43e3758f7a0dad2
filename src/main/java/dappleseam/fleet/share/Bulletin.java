package dappleseam.fleet.share;

import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import java.util.List;

/**
 * What a member announces about itself; other members only pass it on. Of the announcements of one process, the one with the greatest
 * {@code number} is valid. {@code location}: 0 to {@link #MAX_LOCATION}, or {@link #NO_LOCATION} if it is not known; {@code traffic}:
 * the queries that the member receives; {@code observations}: at most {@link #MAX_OBSERVATIONS}.
 */
public record Bulletin(MemberName who, Life life, long number, int location, Traffic traffic, List<Sight> sights) implements Comparable<Bulletin> {
    public static final int MOST_SIGHTS = 8;
    public static final int NOWHERE = -1;
    public static final int LAST_LOCATION = 1_000_000;
    /** Maximum encoded bytes apart from the name and the observations. */
    private static final int FRAME_BYTES = 55;
    /** Maximum encoded bytes of one observation. */
    private static final int SIGHT_BYTES = 30;

    public Bulletin {
        if (number < 0 || location < NOWHERE || location > LAST_LOCATION || sights.size() > MOST_SIGHTS) {
            throw new IllegalArgumentException("announcement field out of range");
        }
        sights = List.copyOf(sights);
    }

    /** Orders by generation, then by number. */
    @Override
    public int compareTo(Bulletin other) {
        int byLife = life.compareTo(other.life);
        return byLife != 0 ? byLife : Long.compare(number, other.number);
    }

    /** The same announcement after it was held for so many ms. */
    Bulletin olderBy(double ms) {
        return new Bulletin(who, life, number, location, traffic.olderBy(ms), sights.stream().map(s -> s.olderBy(ms)).toList());
    }

    /** Upper bound of the encoded size in a datagram. */
    public int bytes() {
        return FRAME_BYTES + who.text().length() + SIGHT_BYTES * sights.size();
    }
}
