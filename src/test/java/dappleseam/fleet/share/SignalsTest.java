package dappleseam.fleet.share;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What others' words come to, and what is said oneself: hints, agreement, liars, one's own bad link, age and new starts. */
class SignalsTest {
    private static final Generation LIFE = new Generation(5, 5);
    private static final MemberName SELF = new MemberName("self");
    private static final NodeId CACHE = new NodeId(7);
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final FailureVoting signals = new FailureVoting(SELF);
    private final List<Announcement> bulletins = new ArrayList<>();

    private void says(String who, long startedAt, boolean fails, long ageMs) {
        bulletins.add(new Announcement(new MemberName(who), LIFE, 1, Announcement.NO_LOCATION, AnnouncedTraffic.of(10), List.of(new NodeObservation(CACHE, startedAt, fails, ageMs), new NodeObservation(CACHE, startedAt, fails, ageMs))));
    }

    private List<PeerVerdict> words() {
        signals.receive(bulletins, b -> !b.member().text().startsWith("gone"));
        return signals.verdicts(what -> 3);
    }

    private static LocalObservation seen(long node, boolean fails, double heardAt) {
        return new LocalObservation(new NodeId(node), 5, fails, fails ? 900 : NEVER, heardAt);
    }

    @Test
    void oneIsAHintTwoAgreeAndAnEchoIsNoWitness() {
        says("a", 5, true, 0);
        assertThat(words()).containsExactly(new PeerVerdict(CACHE, 5, VerdictKind.HINT, 1, 0, 0));
        bulletins.add(bulletins.get(0)); // the same, told on by another
        assertThat(words()).hasSize(1).allMatch(s -> s.failingVotes() == 2 == (s.kind() == VerdictKind.FAILS));
        bulletins.remove(1);
        says("self", 5, true, 0);
        says("gone-1", 5, true, 0);
        says("b", 6, true, 0);
        says("c", 5, true, NodeObservation.MAX_AGE_MS + 1);
        assertThat(words()).as("not its own word, not of one that has gone, of another process, or too old")
                .containsExactlyInAnyOrder(new PeerVerdict(CACHE, 5, VerdictKind.HINT, 1, 0, 0), new PeerVerdict(CACHE, 6, VerdictKind.HINT, 1, 0, 0));
        says("d", 5, true, 0);
        assertThat(words()).contains(new PeerVerdict(CACHE, 5, VerdictKind.FAILS, 2, 0, 3));
    }

    /** Of the list service one answer is proof, however many have failed; the turn comes with the word. */
    @Test
    void oneAnswerOfTheListServiceIsEnough() {
        for (String who : List.of("a", "b", "c")) {
            bulletins.add(new Announcement(new MemberName(who), LIFE, 1, Announcement.NO_LOCATION, AnnouncedTraffic.of(10), List.of(new NodeObservation(ListRetrySchedule.LIST_SERVICE, 0, true, 0))));
        }
        assertThat(words()).containsExactly(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.FAILS, 3, 0, 3));
        bulletins.add(new Announcement(new MemberName("d"), LIFE, 1, Announcement.NO_LOCATION, AnnouncedTraffic.of(10), List.of(new NodeObservation(ListRetrySchedule.LIST_SERVICE, 0, false, 0))));
        assertThat(words()).containsExactly(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.WORKS, 3, 1, 3));
        assertThat(words()).isEmpty();
    }

    @Test
    void whoSaysThatItWorksOutvotesAsManyAndTheEndIsSaidOnce() {
        says("a", 5, true, 0);
        says("b", 5, true, 0);
        assertThat(words()).extracting(PeerVerdict::kind).containsExactly(VerdictKind.FAILS);
        says("c", 5, false, 0);
        assertThat(words()).extracting(PeerVerdict::kind).containsExactly(VerdictKind.FAILS);
        says("d", 5, false, 0);
        assertThat(words()).containsExactly(new PeerVerdict(CACHE, 5, VerdictKind.WORKS, 2, 2, 3));
        assertThat(words()).isEmpty();
    }

    /** A cache that is back: most that found it silent have not come to try it since. One that says it works acquits nothing. */
    @Test
    void whatTwoSawToWorkVoidsWhatOthersSawBefore() {
        for (String who : List.of("a", "b", "c", "d", "e")) {
            says(who, 5, true, 9000);
        }
        says("f", 5, false, 500);
        assertThat(words()).extracting(PeerVerdict::kind).containsExactly(VerdictKind.FAILS);
        says("g", 5, false, 4000);
        assertThat(words()).containsExactly(new PeerVerdict(CACHE, 5, VerdictKind.WORKS, 5, 2, 3));
        says("h", 5, true, 3000);
        assertThat(words()).as("one of later, and one that works of later still").isEmpty();
        says("i", 5, true, 300);
        assertThat(words()).extracting(PeerVerdict::kind).as("it flaps").containsExactly(VerdictKind.FAILS);
    }

    @Test
    void anAnswerIsSaidForAsLongAsItIsLaterThanWhatOthersSaw() {
        says("a", 5, true, 9000);
        signals.receive(bulletins, b -> true);
        assertThat(signals.localObservations(6000, List.of(seen(7, false, 900)), true)).containsExactly(new NodeObservation(CACHE, 5, false, 5100));
        assertThat(signals.localObservations(10_000, List.of(seen(7, false, 900)), true)).isEmpty();
    }

    @Test
    void ownFindingsAreSaidAndAnswersOnlyWhereSomebodyElseAccuses() {
        List<LocalObservation> mine = List.of(seen(7, false, 900), seen(8, true, 100), seen(9, false, 900), seen(10, false, 900));
        assertThat(signals.localObservations(1000, mine, true)).containsExactly(new NodeObservation(new NodeId(8), 5, true, 100));
        says("a", 5, true, 0);
        signals.receive(bulletins, b -> true);
        assertThat(signals.localObservations(1000, mine, true)).containsExactlyInAnyOrder(new NodeObservation(new NodeId(8), 5, true, 100), new NodeObservation(CACHE, 5, false, 100));
        assertThat(signals.localObservations(4000, mine, true)).as("an answer of three seconds ago").containsExactly(new NodeObservation(new NodeId(8), 5, true, 3100));
        assertThat(signals.localObservations(40_000, mine, true)).isEmpty();
    }

    @Test
    void whoMayBeIllItselfConvictsNobody() {
        List<LocalObservation> mine = List.of(seen(7, true, 100), seen(8, true, 100), seen(9, false, 900), seen(10, false, 900));
        assertThat(signals.localObservations(1000, mine, true)).as("half of all: its own link").isEmpty();
        assertThat(signals.localObservations(1000, mine.subList(1, 4), false)).as("it stands slow").isEmpty();
        assertThat(signals.localObservations(1000, mine.subList(1, 4), true)).hasSize(1);
    }
}
