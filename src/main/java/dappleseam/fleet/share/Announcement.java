package dappleseam.fleet.share;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import java.util.List;

/**
 * What a member announces about itself; other members only pass it on. Of the announcements of one process, the one with the greatest
 * {@code number} is valid. {@code location}: 0 to {@link #MAX_LOCATION}, or {@link #NO_LOCATION} if it is not known; {@code traffic}:
 * the queries that the member receives; {@code observations}: at most {@link #MAX_OBSERVATIONS}.
 */
public record Announcement(MemberName member, Generation generation, long number, int location, AnnouncedTraffic traffic, List<NodeObservation> observations) implements Comparable<Announcement> {
    public static final int MAX_OBSERVATIONS = 8;
    public static final int NO_LOCATION = -1;
    public static final int MAX_LOCATION = 1_000_000;
    /** Maximum encoded bytes apart from the name and the observations. */
    private static final int OVERHEAD_BYTES = 55;
    /** Maximum encoded bytes of one observation. */
    private static final int OBSERVATION_BYTES = 30;

    public Announcement {
        if (number < 0 || location < NO_LOCATION || location > MAX_LOCATION || observations.size() > MAX_OBSERVATIONS) {
            throw new IllegalArgumentException("announcement field out of range");
        }
        observations = List.copyOf(observations);
    }

    /** Orders by generation, then by number. */
    @Override
    public int compareTo(Announcement other) {
        int byGeneration = generation.compareTo(other.generation);
        return byGeneration != 0 ? byGeneration : Long.compare(number, other.number);
    }

    /** The same announcement after it was held for so many ms. */
    Announcement agedBy(double ms) {
        return new Announcement(member, generation, number, location, traffic.agedBy(ms), observations.stream().map(s -> s.agedBy(ms)).toList());
    }

    /** Upper bound of the encoded size in a datagram. */
    public int maxEncodedBytes() {
        return OVERHEAD_BYTES + member.text().length() + OBSERVATION_BYTES * observations.size();
    }
}
