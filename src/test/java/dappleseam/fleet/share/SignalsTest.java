package dappleseam.fleet.share;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Verdicts and announced observations: hints, agreement, repeated votes, a bad own link, age and restarted processes. */
class SignalsTest {
    private static final Life LIFE = new Life(5, 5);
    private static final MemberName SELF = new MemberName("self");
    private static final NodeId CACHE = new NodeId(7);
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final Signals signals = new Signals(SELF);
    private final List<Bulletin> bulletins = new ArrayList<>();

    private void says(String who, long startedAt, boolean fails, long ageMs) {
        bulletins.add(new Bulletin(new MemberName(who), LIFE, 1, Bulletin.NOWHERE, Traffic.of(10), List.of(new Sight(CACHE, startedAt, fails, ageMs), new Sight(CACHE, startedAt, fails, ageMs))));
    }

    private List<Said> words() {
        signals.hear(bulletins, b -> !b.who().text().startsWith("gone"));
        return signals.words(what -> 3);
    }

    private static Seen seen(long node, boolean fails, double heardAt) {
        return new Seen(new NodeId(node), 5, fails, fails ? 900 : NEVER, heardAt);
    }

    @Test
    void oneIsAHintTwoAgreeAndAnEchoIsNoWitness() {
        says("a", 5, true, 0);
        assertThat(words()).containsExactly(new Said(CACHE, 5, Word.HINT, 1, 0, 0));
        bulletins.add(bulletins.get(0)); // the same announcement, passed on by another member
        assertThat(words()).hasSize(1).allMatch(s -> s.fails() == 2 == (s.word() == Word.FAILS));
        bulletins.remove(1);
        says("self", 5, true, 0);
        says("gone-1", 5, true, 0);
        says("b", 6, true, 0);
        says("c", 5, true, Sight.OLDEST_MS + 1);
        assertThat(words()).as("ignores own votes, votes of members that have gone, about another process, or too old")
                .containsExactlyInAnyOrder(new Said(CACHE, 5, Word.HINT, 1, 0, 0), new Said(CACHE, 6, Word.HINT, 1, 0, 0));
        says("d", 5, true, 0);
        assertThat(words()).contains(new Said(CACHE, 5, Word.FAILS, 2, 0, 3));
    }

    /** A single answer of the list service outvotes any number of failures; the verdict contains the retry rank. */
    @Test
    void oneAnswerOfTheListServiceIsEnough() {
        for (String who : List.of("a", "b", "c")) {
            bulletins.add(new Bulletin(new MemberName(who), LIFE, 1, Bulletin.NOWHERE, Traffic.of(10), List.of(new Sight(ListTurns.SERVICE, 0, true, 0))));
        }
        assertThat(words()).containsExactly(new Said(ListTurns.SERVICE, 0, Word.FAILS, 3, 0, 3));
        bulletins.add(new Bulletin(new MemberName("d"), LIFE, 1, Bulletin.NOWHERE, Traffic.of(10), List.of(new Sight(ListTurns.SERVICE, 0, false, 0))));
        assertThat(words()).containsExactly(new Said(ListTurns.SERVICE, 0, Word.WORKS, 3, 1, 3));
        assertThat(words()).isEmpty();
    }

    @Test
    void whoSaysThatItWorksOutvotesAsManyAndTheEndIsSaidOnce() {
        says("a", 5, true, 0);
        says("b", 5, true, 0);
        assertThat(words()).extracting(Said::word).containsExactly(Word.FAILS);
        says("c", 5, false, 0);
        assertThat(words()).extracting(Said::word).containsExactly(Word.FAILS);
        says("d", 5, false, 0);
        assertThat(words()).containsExactly(new Said(CACHE, 5, Word.WORKS, 2, 2, 3));
        assertThat(words()).isEmpty();
    }

    /** After a cache recovers, most members that found it silent have not tried it again. A single working vote does not clear it. */
    @Test
    void whatTwoSawToWorkVoidsWhatOthersSawBefore() {
        for (String who : List.of("a", "b", "c", "d", "e")) {
            says(who, 5, true, 9000);
        }
        says("f", 5, false, 500);
        assertThat(words()).extracting(Said::word).containsExactly(Word.FAILS);
        says("g", 5, false, 4000);
        assertThat(words()).containsExactly(new Said(CACHE, 5, Word.WORKS, 5, 2, 3));
        says("h", 5, true, 3000);
        assertThat(words()).as("one newer failing vote, and one working vote newer still").isEmpty();
        says("i", 5, true, 300);
        assertThat(words()).extracting(Said::word).as("flapping").containsExactly(Word.FAILS);
    }

    @Test
    void anAnswerIsSaidForAsLongAsItIsLaterThanWhatOthersSaw() {
        says("a", 5, true, 9000);
        signals.hear(bulletins, b -> true);
        assertThat(signals.own(6000, List.of(seen(7, false, 900)), true)).containsExactly(new Sight(CACHE, 5, false, 5100));
        assertThat(signals.own(10_000, List.of(seen(7, false, 900)), true)).isEmpty();
    }

    @Test
    void ownFindingsAreSaidAndAnswersOnlyWhereSomebodyElseAccuses() {
        List<Seen> mine = List.of(seen(7, false, 900), seen(8, true, 100), seen(9, false, 900), seen(10, false, 900));
        assertThat(signals.own(1000, mine, true)).containsExactly(new Sight(new NodeId(8), 5, true, 100));
        says("a", 5, true, 0);
        signals.hear(bulletins, b -> true);
        assertThat(signals.own(1000, mine, true)).containsExactlyInAnyOrder(new Sight(new NodeId(8), 5, true, 100), new Sight(CACHE, 5, false, 100));
        assertThat(signals.own(4000, mine, true)).as("the answer is three seconds old").containsExactly(new Sight(new NodeId(8), 5, true, 3100));
        assertThat(signals.own(40_000, mine, true)).isEmpty();
    }

    @Test
    void whoMayBeIllItselfConvictsNobody() {
        List<Seen> mine = List.of(seen(7, true, 100), seen(8, true, 100), seen(9, false, 900), seen(10, false, 900));
        assertThat(signals.own(1000, mine, true)).as("half of all caches, so its own link is suspected").isEmpty();
        assertThat(signals.own(1000, mine.subList(1, 4), false)).as("its status is slow").isEmpty();
        assertThat(signals.own(1000, mine.subList(1, 4), true)).hasSize(1);
    }
}
