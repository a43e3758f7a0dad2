package dappleseam.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.MemberName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Ranks spread evenly over members, and few leases move when a member leaves. */
class RankingTest {
    private static List<MemberName> members(int count) {
        List<MemberName> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(new MemberName("proxy-" + i));
        }
        return members;
    }

    private static Map<Integer, MemberName> firstRanked(List<MemberName> members) {
        Map<Integer, MemberName> firsts = new HashMap<>();
        for (int i = 0; i < 1000; i++) {
            LeaseName lease = new LeaseName("lease-" + i);
            firsts.put(i, members.stream().filter(m -> Ranking.rank(lease, m, members) == 0).findFirst().orElseThrow());
        }
        return firsts;
    }

    @Test
    void leasesSpreadOverAllMembers() {
        Map<MemberName, Integer> counts = new HashMap<>();
        firstRanked(members(50)).values().forEach(m -> counts.merge(m, 1, Integer::sum));
        assertThat(counts).hasSize(50);
        assertThat(counts.values()).allMatch(c -> c >= 5 && c <= 40);
    }

    @Test
    void onlyLeasesOfARemovedMemberMove() {
        List<MemberName> all = members(50);
        Map<Integer, MemberName> before = firstRanked(all);
        MemberName removed = all.remove(17);
        firstRanked(all).forEach((lease, first) -> assertThat(before.get(lease)).isIn(first, removed));
    }

    @Test
    void orderMatchesRank() {
        LeaseName lease = new LeaseName("a");
        List<MemberName> order = Ranking.order(lease, members(20));
        assertThat(order).hasSize(20);
        assertThat(order).allSatisfy(m -> assertThat(Ranking.rank(lease, m, members(20))).isEqualTo(order.indexOf(m)));
    }

    @Test
    void unknownMemberHasNoRank() {
        assertThat(Ranking.rank(new LeaseName("a"), new MemberName("x"), members(3))).isEqualTo(-1);
        assertThat(members(3).stream().map(m -> Ranking.rank(new LeaseName("a"), m, members(3)))).containsExactlyInAnyOrder(0, 1, 2);
    }
}
