package dappleseam.fleet.lease;

import dappleseam.fleet.membership.MemberName;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The order in which members compete for a lease, by rendezvous hashing (Thaler, Ravishankar 1998): leases spread evenly, and only few move when a
 * member joins or leaves.
 */
public final class Ranking {
    private Ranking() {}

    /** All members, in the order in which they compete for the lease. */
    public static List<MemberName> order(LeaseName lease, List<MemberName> members) {
        Map<MemberName, Long> weights = new HashMap<>();
        members.forEach(member -> weights.put(member, weight(lease.text(), member)));
        List<MemberName> order = new ArrayList<>(members);
        order.sort(Comparator.comparing((MemberName m) -> weights.get(m)).thenComparing(MemberName::text).reversed());
        return order;
    }

    /** Number of members ranked before {@code member}; -1 if it is not among {@code members}. */
    public static int rank(LeaseName lease, MemberName member, List<MemberName> members) {
        return rank(lease.text(), member, members);
    }

    /** The same for anything else that members take turns at; {@code key} is ASCII. */
    public static int rank(String key, MemberName member, List<MemberName> members) {
        long own = weight(key, member);
        int before = 0;
        boolean found = false;
        for (MemberName other : members) {
            long weight = weight(key, other);
            found |= other.equals(member);
            before += weight > own || weight == own && other.text().compareTo(member.text()) > 0 ? 1 : 0;
        }
        return found ? before : -1;
    }

    private static long weight(String key, MemberName member) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest((key + '/' + member.text()).getBytes(StandardCharsets.US_ASCII));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", e);
        }
    }
}
