package dappleseam.fleet.share;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Verdicts and announced observations: hints, agreement, repeated votes, a bad own link, age and restarted processes. */
class FailureVotingTest {
    private static final Generation GENERATION = new Generation(5, 5);
    private static final MemberName SELF = new MemberName("self");
    private static final NodeId CACHE = new NodeId(7);
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private final FailureVoting voting = new FailureVoting(SELF);
    private final List<Announcement> announcements = new ArrayList<>();

    private void addAnnouncement(String member, long startedAt, boolean failing, long ageMs) {
        announcements.add(new Announcement(new MemberName(member), GENERATION, 1, Announcement.NO_LOCATION, AnnouncedTraffic.of(10), List.of(new NodeObservation(CACHE, startedAt, failing, ageMs), new NodeObservation(CACHE, startedAt, failing, ageMs))));
    }

    private List<PeerVerdict> verdicts() {
        voting.receive(announcements, b -> !b.member().text().startsWith("gone"));
        return voting.verdicts(what -> 3);
    }

    private static LocalObservation localObservation(long node, boolean failing, double lastAnswerAt) {
        return new LocalObservation(new NodeId(node), 5, failing, failing ? 900 : NEVER, lastAnswerAt);
    }

    @Test
    void oneVoteIsAHintTwoAgreeAndRepeatsDoNotCount() {
        addAnnouncement("a", 5, true, 0);
        assertThat(verdicts()).containsExactly(new PeerVerdict(CACHE, 5, VerdictKind.HINT, 1, 0, 0));
        announcements.add(announcements.get(0)); // the same announcement, passed on by another member
        assertThat(verdicts()).hasSize(1).allMatch(s -> s.failingVotes() == 2 == (s.kind() == VerdictKind.FAILS));
        announcements.remove(1);
        addAnnouncement("self", 5, true, 0);
        addAnnouncement("gone-1", 5, true, 0);
        addAnnouncement("b", 6, true, 0);
        addAnnouncement("c", 5, true, NodeObservation.MAX_AGE_MS + 1);
        assertThat(verdicts()).as("ignores own votes, votes of members that have gone, about another process, or too old")
                .containsExactlyInAnyOrder(new PeerVerdict(CACHE, 5, VerdictKind.HINT, 1, 0, 0), new PeerVerdict(CACHE, 6, VerdictKind.HINT, 1, 0, 0));
        addAnnouncement("d", 5, true, 0);
        assertThat(verdicts()).contains(new PeerVerdict(CACHE, 5, VerdictKind.FAILS, 2, 0, 3));
    }

    /** A single answer of the list service outvotes any number of failures; the verdict contains the retry rank. */
    @Test
    void oneListServiceAnswerIsEnough() {
        for (String name : List.of("a", "b", "c")) {
            announcements.add(new Announcement(new MemberName(name), GENERATION, 1, Announcement.NO_LOCATION, AnnouncedTraffic.of(10), List.of(new NodeObservation(ListRetrySchedule.LIST_SERVICE, 0, true, 0))));
        }
        assertThat(verdicts()).containsExactly(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.FAILS, 3, 0, 3));
        announcements.add(new Announcement(new MemberName("d"), GENERATION, 1, Announcement.NO_LOCATION, AnnouncedTraffic.of(10), List.of(new NodeObservation(ListRetrySchedule.LIST_SERVICE, 0, false, 0))));
        assertThat(verdicts()).containsExactly(new PeerVerdict(ListRetrySchedule.LIST_SERVICE, 0, VerdictKind.WORKS, 3, 1, 3));
        assertThat(verdicts()).isEmpty();
    }

    @Test
    void workingVotesOutvoteAsManyAndRecoveryIsReportedOnce() {
        addAnnouncement("a", 5, true, 0);
        addAnnouncement("b", 5, true, 0);
        assertThat(verdicts()).extracting(PeerVerdict::kind).containsExactly(VerdictKind.FAILS);
        addAnnouncement("c", 5, false, 0);
        assertThat(verdicts()).extracting(PeerVerdict::kind).containsExactly(VerdictKind.FAILS);
        addAnnouncement("d", 5, false, 0);
        assertThat(verdicts()).containsExactly(new PeerVerdict(CACHE, 5, VerdictKind.WORKS, 2, 2, 3));
        assertThat(verdicts()).isEmpty();
    }

    /** After a cache recovers, most members that found it silent have not tried it again. A single working vote does not clear it. */
    @Test
    void twoWorkingVotesVoidOlderFailingVotes() {
        for (String name : List.of("a", "b", "c", "d", "e")) {
            addAnnouncement(name, 5, true, 9000);
        }
        addAnnouncement("f", 5, false, 500);
        assertThat(verdicts()).extracting(PeerVerdict::kind).containsExactly(VerdictKind.FAILS);
        addAnnouncement("g", 5, false, 4000);
        assertThat(verdicts()).containsExactly(new PeerVerdict(CACHE, 5, VerdictKind.WORKS, 5, 2, 3));
        addAnnouncement("h", 5, true, 3000);
        assertThat(verdicts()).as("one newer failing vote, and one working vote newer still").isEmpty();
        addAnnouncement("i", 5, true, 300);
        assertThat(verdicts()).extracting(PeerVerdict::kind).as("flapping").containsExactly(VerdictKind.FAILS);
    }

    @Test
    void anAnswerIsAnnouncedWhileNewerThanFailingVotes() {
        addAnnouncement("a", 5, true, 9000);
        voting.receive(announcements, b -> true);
        assertThat(voting.localObservations(6000, List.of(localObservation(7, false, 900)), true)).containsExactly(new NodeObservation(CACHE, 5, false, 5100));
        assertThat(voting.localObservations(10_000, List.of(localObservation(7, false, 900)), true)).isEmpty();
    }

    @Test
    void failuresAreAnnouncedAndAnswersOnlyWhenOthersReportFailure() {
        List<LocalObservation> local = List.of(localObservation(7, false, 900), localObservation(8, true, 100), localObservation(9, false, 900), localObservation(10, false, 900));
        assertThat(voting.localObservations(1000, local, true)).containsExactly(new NodeObservation(new NodeId(8), 5, true, 100));
        addAnnouncement("a", 5, true, 0);
        voting.receive(announcements, b -> true);
        assertThat(voting.localObservations(1000, local, true)).containsExactlyInAnyOrder(new NodeObservation(new NodeId(8), 5, true, 100), new NodeObservation(CACHE, 5, false, 100));
        assertThat(voting.localObservations(4000, local, true)).as("the answer is three seconds old").containsExactly(new NodeObservation(new NodeId(8), 5, true, 3100));
        assertThat(voting.localObservations(40_000, local, true)).isEmpty();
    }

    @Test
    void aPossiblyUnhealthyMemberAnnouncesNothing() {
        List<LocalObservation> local = List.of(localObservation(7, true, 100), localObservation(8, true, 100), localObservation(9, false, 900), localObservation(10, false, 900));
        assertThat(voting.localObservations(1000, local, true)).as("half of all caches, so its own link is suspected").isEmpty();
        assertThat(voting.localObservations(1000, local.subList(1, 4), false)).as("its status is slow").isEmpty();
        assertThat(voting.localObservations(1000, local.subList(1, 4), true)).hasSize(1);
    }
}
