package dappleseam.fleet.share;

import dappleseam.fleet.membership.MemberName;
import dappleseam.router.Hash;
import java.util.Comparator;
import java.util.Map;

/**
 * A member's position on a line from 0 to 1. Members are ordered by their hashed names, and each takes a segment in proportion to its
 * traffic, with its position in the middle. Equal parts of the line therefore carry equal traffic, and adding or removing a member
 * moves no border by more than the member's own segment.
 */
public final class TrafficPosition {
    private static final Comparator<MemberName> ORDER = Comparator.comparingLong((MemberName name) -> Hash.mix(name.text().hashCode())).thenComparing(MemberName::text);

    private TrafficPosition() {}

    /** {@code traffic}: of each member, {@code self} included, in any common unit, greater than 0. */
    public static double of(MemberName self, Map<MemberName, Double> traffic) {
        double preceding = 0;
        double total = 0;
        for (Map.Entry<MemberName, Double> entry : traffic.entrySet()) {
            total += entry.getValue();
            preceding += ORDER.compare(entry.getKey(), self) < 0 ? entry.getValue() : 0;
        }
        return (preceding + traffic.get(self) / 2) / total;
    }
}
