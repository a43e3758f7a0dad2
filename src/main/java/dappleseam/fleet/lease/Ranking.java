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

/** The order in which members try a lease: rendezvous hashing (Thaler, Ravishankar 1998), so that leases spread and few move with a member. */
public final class Ranking {
    private Ranking() {}

    /** All of them, the first to try first. */
    public static List<MemberName> order(LeaseName lease, List<MemberName> members) {
        Map<MemberName, Long> weights = new HashMap<>();
        members.forEach(member -> weights.put(member, weight(lease.text(), member)));
        List<MemberName> order = new ArrayList<>(members);
        order.sort(Comparator.comparing((MemberName m) -> weights.get(m)).thenComparing(MemberName::text).reversed());
        return order;
    }

    /** How many of those come before that member; -1 where it is not among them. */
    public static int rank(LeaseName lease, MemberName member, List<MemberName> members) {
        return rank(lease.text(), member, members);
    }

    /** The same for anything that members take turns with; {@code what}: in ASCII. */
    public static int rank(String what, MemberName member, List<MemberName> members) {
        long own = weight(what, member);
        int before = 0;
        boolean found = false;
        for (MemberName other : members) {
            long weight = weight(what, other);
            found |= other.equals(member);
            before += weight > own || weight == own && other.text().compareTo(member.text()) > 0 ? 1 : 0;
        }
        return found ? before : -1;
    }

    private static long weight(String what, MemberName member) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest((what + '/' + member.text()).getBytes(StandardCharsets.US_ASCII));
            return ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has it", e);
        }
    }
}
