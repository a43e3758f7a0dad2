package dappleseam.fleet.share;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Announcements spread and expire, and members announce only themselves. */
class AnnouncementStoreTest {
    private static final Generation GENERATION = new Generation(5, 5);

    private static MemberName name(int number) {
        return new MemberName("p" + number);
    }

    private static NodeObservation failing(long node, long ageMs) {
        return new NodeObservation(new NodeId(node), 0, true, ageMs);
    }

    private static Announcement announcementOf(AnnouncementStore store, double nowMs, int memberNumber) {
        return store.current(nowMs).stream().filter(b -> b.member().equals(name(memberNumber))).findFirst().orElse(null);
    }

    @Test
    void onlyChangesAreAnnounced() {
        AnnouncementStore store = new AnnouncementStore(name(0), 10, 3000, Announcement.NO_LOCATION);
        store.announce(0, GENERATION, 100, List.of());
        assertThat(store.nextBatch(0, 2)).hasSize(1);
        while (!store.nextBatch(1, 2).isEmpty()) {
            continue;
        }
        store.announce(1000, GENERATION, 110, List.of());
        assertThat(store.nextBatch(1000, 2)).as("a change by a tenth is too small").isEmpty();
        store.announce(2000, GENERATION, 100, List.of(failing(7, 100)));
        assertThat(store.nextBatch(2500, 2)).singleElement().satisfies(b -> assertThat(b.observations()).containsExactly(failing(7, 600)));
        store.announce(2600, GENERATION, 100, List.of(failing(7, 700)));
        assertThat(announcementOf(store, 2600, 0).number()).as("only the age differs").isEqualTo(2);
        store.announce(2610, GENERATION, 100, List.of());
        store.announce(2620, GENERATION, 100, List.of(failing(8, 0)));
        assertThat(announcementOf(store, 2620, 0).observations()).as("a flapping state is delayed").isEmpty();
        store.announce(23_000, GENERATION, 100, List.of());
        assertThat(store.nextBatch(23_000, 2)).as("repeated before it expires").hasSize(1);
    }

    @Test
    void theLatestAnnouncementWinsInAnyOrderAndExpires() {
        AnnouncementStore store = new AnnouncementStore(name(0), 10, 3000, Announcement.NO_LOCATION);
        Announcement first = new Announcement(name(1), GENERATION, 1, Announcement.NO_LOCATION, AnnouncedTraffic.of(5), List.of(failing(7, 0)));
        Announcement second = new Announcement(name(1), GENERATION, 2, Announcement.NO_LOCATION, AnnouncedTraffic.of(6), List.of());
        Announcement older = new Announcement(name(1), new Generation(4, 9), 99, Announcement.NO_LOCATION, AnnouncedTraffic.of(7), List.of());
        Announcement own = new Announcement(name(0), GENERATION, 99, Announcement.NO_LOCATION, AnnouncedTraffic.of(8), List.of());
        store.receive(0, List.of(second, first, older, own));
        assertThat(announcementOf(store, 0, 1)).isEqualTo(second);
        assertThat(announcementOf(store, 0, 0)).as("no other member announces for this one").isNull();
        assertThat(announcementOf(store, AnnouncementStore.MAX_AGE_MS + 1, 1)).isNull();
        assertThat(store.nextBatch(AnnouncementStore.MAX_AGE_MS + 1, 2)).isEmpty();
        for (int i = 10; i < 100; i++) {
            store.receive(0, List.of(new Announcement(name(i), GENERATION, 1, Announcement.NO_LOCATION, AnnouncedTraffic.of(1), List.of())));
        }
        assertThat(store.current(0)).as("bounded").hasSizeLessThanOrEqualTo(10);
    }

    /** Two hundred members each gossip to two others, four times a period, and a third is lost: all learn of it within a few periods. */
    @Test
    void anObservationReachesTwoHundredMembersDespiteLoss() {
        int members = 200;
        SplittableRandom random = new SplittableRandom(1);
        List<AnnouncementStore> stores = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            stores.add(new AnnouncementStore(name(i), 1000, 3000, Announcement.NO_LOCATION));
        }
        int worst = 0;
        long datagrams = 0;
        double now = 0;
        for (int i = 0; i < members; i++) {
            stores.get(i).announce(now, GENERATION, 50, List.of());
        }
        for (int trial = 0; trial < 10; trial++) {
            int observer = random.nextInt(members);
            int node = trial;
            now += 30_000;
            int rounds = 0;
            boolean all = false;
            while (!all && rounds < 100) {
                for (int i = 0; i < members; i++) {
                    stores.get(i).announce(now, GENERATION, 50, i == observer ? List.of(failing(node, 0)) : List.of());
                    for (int recipient = 0; recipient < 2; recipient++) {
                        List<Announcement> batch = stores.get(i).nextBatch(now, members);
                        datagrams += batch.isEmpty() ? 0 : 1;
                        if (random.nextInt(3) > 0) {
                            stores.get(random.nextInt(members)).receive(now, batch);
                        }
                    }
                }
                now += 250;
                rounds++;
                double at = now;
                all = stores.stream().allMatch(b -> announcementOf(b, at, observer) != null && announcementOf(b, at, observer).observations().stream().anyMatch(s -> s.node().value() == node));
            }
            worst = Math.max(worst, rounds);
        }
        assertThat(worst).as("rounds, four per period").isLessThanOrEqualTo(20);
        assertThat(datagrams).isPositive();
    }
}
