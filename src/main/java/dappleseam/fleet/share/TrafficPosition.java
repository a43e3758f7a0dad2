package dappleseam.fleet.share;

import dappleseam.fleet.membership.MemberName;
import dappleseam.router.Hash;
import java.util.Comparator;
import java.util.Map;

/**
 * Where a member stands among all on a line from 0 to 1: in the order of their hashed names, each at the middle of its part of all traffic. Whoever divides the line into parts has each part
 * served by as much traffic, and a member more or less shifts no border by more than its own part.
 */
public final class TrafficPosition {
    private static final Comparator<MemberName> ORDER = Comparator.comparingLong((MemberName name) -> Hash.mix(name.text().hashCode())).thenComparing(MemberName::text);

    private TrafficPosition() {}

    /** {@code traffic}: of each member in any one unit, over 0; {@code self} is among them. */
    public static double of(MemberName self, Map<MemberName, Double> traffic) {
        double before = 0;
        double all = 0;
        for (Map.Entry<MemberName, Double> entry : traffic.entrySet()) {
            all += entry.getValue();
            before += ORDER.compare(entry.getKey(), self) < 0 ? entry.getValue() : 0;
        }
        return (before + traffic.get(self) / 2) / all;
    }
}
