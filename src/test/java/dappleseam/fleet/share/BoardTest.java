package dappleseam.fleet.share;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Announcements spread and expire, and members announce only themselves. */
class BoardTest {
    private static final Life LIFE = new Life(5, 5);

    private static MemberName name(int number) {
        return new MemberName("p" + number);
    }

    private static Sight fails(long node, long ageMs) {
        return new Sight(new NodeId(node), 0, true, ageMs);
    }

    private static Bulletin of(Board board, double nowMs, int member) {
        return board.now(nowMs).stream().filter(b -> b.who().equals(name(member))).findFirst().orElse(null);
    }

    @Test
    void whatIsNewIsToldAndWhatIsNotIsNot() {
        Board board = new Board(name(0), 10, 3000, Bulletin.NOWHERE);
        board.say(0, LIFE, 100, List.of());
        assertThat(board.toTell(0, 2)).hasSize(1);
        while (!board.toTell(1, 2).isEmpty()) {
            continue;
        }
        board.say(1000, LIFE, 110, List.of());
        assertThat(board.toTell(1000, 2)).as("a change by a tenth is too small").isEmpty();
        board.say(2000, LIFE, 100, List.of(fails(7, 100)));
        assertThat(board.toTell(2500, 2)).singleElement().satisfies(b -> assertThat(b.sights()).containsExactly(fails(7, 600)));
        board.say(2600, LIFE, 100, List.of(fails(7, 700)));
        assertThat(of(board, 2600, 0).number()).as("only the age differs").isEqualTo(2);
        board.say(2610, LIFE, 100, List.of());
        board.say(2620, LIFE, 100, List.of(fails(8, 0)));
        assertThat(of(board, 2620, 0).sights()).as("a flapping state is delayed").isEmpty();
        board.say(23_000, LIFE, 100, List.of());
        assertThat(board.toTell(23_000, 2)).as("repeated before it expires").hasSize(1);
    }

    @Test
    void theLaterOneHoldsInAnyOrderAndDiesByAge() {
        Board board = new Board(name(0), 10, 3000, Bulletin.NOWHERE);
        Bulletin first = new Bulletin(name(1), LIFE, 1, Bulletin.NOWHERE, Traffic.of(5), List.of(fails(7, 0)));
        Bulletin second = new Bulletin(name(1), LIFE, 2, Bulletin.NOWHERE, Traffic.of(6), List.of());
        Bulletin older = new Bulletin(name(1), new Life(4, 9), 99, Bulletin.NOWHERE, Traffic.of(7), List.of());
        Bulletin own = new Bulletin(name(0), LIFE, 99, Bulletin.NOWHERE, Traffic.of(8), List.of());
        board.heard(0, List.of(second, first, older, own));
        assertThat(of(board, 0, 1)).isEqualTo(second);
        assertThat(of(board, 0, 0)).as("no other member announces for this one").isNull();
        assertThat(of(board, Board.OLDEST_MS + 1, 1)).isNull();
        assertThat(board.toTell(Board.OLDEST_MS + 1, 2)).isEmpty();
        for (int i = 10; i < 100; i++) {
            board.heard(0, List.of(new Bulletin(name(i), LIFE, 1, Bulletin.NOWHERE, Traffic.of(1), List.of())));
        }
        assertThat(board.now(0)).as("bounded").hasSizeLessThanOrEqualTo(10);
    }

    /** Two hundred members each gossip to two others, four times a period, and a third is lost: all learn of it within a few periods. */
    @Test
    void oneWordReachesTwoHundredThroughLoss() {
        int members = 200;
        SplittableRandom random = new SplittableRandom(1);
        List<Board> boards = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            boards.add(new Board(name(i), 1000, 3000, Bulletin.NOWHERE));
        }
        int worst = 0;
        long datagrams = 0;
        double now = 0;
        for (int i = 0; i < members; i++) {
            boards.get(i).say(now, LIFE, 50, List.of());
        }
        for (int word = 0; word < 10; word++) {
            int speaker = random.nextInt(members);
            int node = word;
            now += 30_000;
            int looks = 0;
            boolean all = false;
            while (!all && looks < 100) {
                for (int i = 0; i < members; i++) {
                    boards.get(i).say(now, LIFE, 50, i == speaker ? List.of(fails(node, 0)) : List.of());
                    for (int told = 0; told < 2; told++) {
                        List<Bulletin> news = boards.get(i).toTell(now, members);
                        datagrams += news.isEmpty() ? 0 : 1;
                        if (random.nextInt(3) > 0) {
                            boards.get(random.nextInt(members)).heard(now, news);
                        }
                    }
                }
                now += 250;
                looks++;
                double at = now;
                all = boards.stream().allMatch(b -> of(b, at, speaker) != null && of(b, at, speaker).sights().stream().anyMatch(s -> s.node().value() == node));
            }
            worst = Math.max(worst, looks);
        }
        assertThat(worst).as("rounds, four per period").isLessThanOrEqualTo(20);
        assertThat(datagrams).isPositive();
    }
}
