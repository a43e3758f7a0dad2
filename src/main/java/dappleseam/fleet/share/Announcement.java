package dappleseam.fleet.share;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import java.util.List;

/**
 * What a member tells of itself, and nobody else of it: of one process's, the one with the greatest number holds. {@code location}: where it is, 0 to {@link #MAX_LOCATION}, or
 * {@link #NO_LOCATION} in particular; {@code traffic}: queries that it takes; {@code sights}: at most {@link #MAX_OBSERVATIONS}.
 */
public record Announcement(MemberName member, Generation generation, long number, int location, AnnouncedTraffic traffic, List<NodeObservation> observations) implements Comparable<Announcement> {
    public static final int MAX_OBSERVATIONS = 8;
    public static final int NO_LOCATION = -1;
    public static final int MAX_LOCATION = 1_000_000;
    /** Bytes in a datagram, at most, of one without sights beside its name, and of a sight. */
    private static final int FRAME_BYTES = 55;
    private static final int SIGHT_BYTES = 30;

    public Announcement {
        if (number < 0 || location < NO_LOCATION || location > MAX_LOCATION || observations.size() > MAX_OBSERVATIONS) {
            throw new IllegalArgumentException("no bulletin");
        }
        observations = List.copyOf(observations);
    }

    /** By process, then by number. */
    @Override
    public int compareTo(Announcement other) {
        int byLife = generation.compareTo(other.generation);
        return byLife != 0 ? byLife : Long.compare(number, other.number);
    }

    /** The same as somebody passes it on who had it for so long. */
    Announcement olderBy(double ms) {
        return new Announcement(member, generation, number, location, traffic.olderBy(ms), observations.stream().map(s -> s.olderBy(ms)).toList());
    }

    /** At most so many bytes in a datagram. */
    public int maxEncodedBytes() {
        return FRAME_BYTES + member.text().length() + SIGHT_BYTES * observations.size();
    }
}
