package dappleseam.fleet.share;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Bulletins spread, die and are never another's. */
class BoardTest {
    private static final Generation LIFE = new Generation(5, 5);

    private static MemberName name(int number) {
        return new MemberName("p" + number);
    }

    private static NodeObservation fails(long node, long ageMs) {
        return new NodeObservation(new NodeId(node), 0, true, ageMs);
    }

    private static Announcement of(AnnouncementStore board, double nowMs, int member) {
        return board.current(nowMs).stream().filter(b -> b.member().equals(name(member))).findFirst().orElse(null);
    }

    @Test
    void whatIsNewIsToldAndWhatIsNotIsNot() {
        AnnouncementStore board = new AnnouncementStore(name(0), 10, 3000, Announcement.NO_LOCATION);
        board.announce(0, LIFE, 100, List.of());
        assertThat(board.nextBatch(0, 2)).hasSize(1);
        while (!board.nextBatch(1, 2).isEmpty()) {
            continue;
        }
        board.announce(1000, LIFE, 110, List.of());
        assertThat(board.nextBatch(1000, 2)).as("a tenth more is no news").isEmpty();
        board.announce(2000, LIFE, 100, List.of(fails(7, 100)));
        assertThat(board.nextBatch(2500, 2)).singleElement().satisfies(b -> assertThat(b.observations()).containsExactly(fails(7, 600)));
        board.announce(2600, LIFE, 100, List.of(fails(7, 700)));
        assertThat(of(board, 2600, 0).number()).as("only its age is another").isEqualTo(2);
        board.announce(2610, LIFE, 100, List.of());
        board.announce(2620, LIFE, 100, List.of(fails(8, 0)));
        assertThat(of(board, 2620, 0).observations()).as("what flaps waits").isEmpty();
        board.announce(23_000, LIFE, 100, List.of());
        assertThat(board.nextBatch(23_000, 2)).as("told anew before it dies").hasSize(1);
    }

    @Test
    void theLaterOneHoldsInAnyOrderAndDiesByAge() {
        AnnouncementStore board = new AnnouncementStore(name(0), 10, 3000, Announcement.NO_LOCATION);
        Announcement first = new Announcement(name(1), LIFE, 1, Announcement.NO_LOCATION, AnnouncedTraffic.of(5), List.of(fails(7, 0)));
        Announcement second = new Announcement(name(1), LIFE, 2, Announcement.NO_LOCATION, AnnouncedTraffic.of(6), List.of());
        Announcement older = new Announcement(name(1), new Generation(4, 9), 99, Announcement.NO_LOCATION, AnnouncedTraffic.of(7), List.of());
        Announcement own = new Announcement(name(0), LIFE, 99, Announcement.NO_LOCATION, AnnouncedTraffic.of(8), List.of());
        board.receive(0, List.of(second, first, older, own));
        assertThat(of(board, 0, 1)).isEqualTo(second);
        assertThat(of(board, 0, 0)).as("nobody else speaks for it").isNull();
        assertThat(of(board, AnnouncementStore.OLDEST_MS + 1, 1)).isNull();
        assertThat(board.nextBatch(AnnouncementStore.OLDEST_MS + 1, 2)).isEmpty();
        for (int i = 10; i < 100; i++) {
            board.receive(0, List.of(new Announcement(name(i), LIFE, 1, Announcement.NO_LOCATION, AnnouncedTraffic.of(1), List.of())));
        }
        assertThat(board.current(0)).as("bounded").hasSizeLessThanOrEqualTo(10);
    }

    /** Two hundred members tell two others each, four times a period; a third of it is lost: one's word is with all within a few periods. */
    @Test
    void oneWordReachesTwoHundredThroughLoss() {
        int members = 200;
        SplittableRandom random = new SplittableRandom(1);
        List<AnnouncementStore> boards = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            boards.add(new AnnouncementStore(name(i), 1000, 3000, Announcement.NO_LOCATION));
        }
        int worst = 0;
        long datagrams = 0;
        double now = 0;
        for (int i = 0; i < members; i++) {
            boards.get(i).announce(now, LIFE, 50, List.of());
        }
        for (int word = 0; word < 10; word++) {
            int speaker = random.nextInt(members);
            int node = word;
            now += 30_000;
            int looks = 0;
            boolean all = false;
            while (!all && looks < 100) {
                for (int i = 0; i < members; i++) {
                    boards.get(i).announce(now, LIFE, 50, i == speaker ? List.of(fails(node, 0)) : List.of());
                    for (int told = 0; told < 2; told++) {
                        List<Announcement> news = boards.get(i).nextBatch(now, members);
                        datagrams += news.isEmpty() ? 0 : 1;
                        if (random.nextInt(3) > 0) {
                            boards.get(random.nextInt(members)).receive(now, news);
                        }
                    }
                }
                now += 250;
                looks++;
                double at = now;
                all = boards.stream().allMatch(b -> of(b, at, speaker) != null && of(b, at, speaker).observations().stream().anyMatch(s -> s.node().value() == node));
            }
            worst = Math.max(worst, looks);
        }
        assertThat(worst).as("looks, four a period").isLessThanOrEqualTo(20);
        assertThat(datagrams).isPositive();
    }
}
