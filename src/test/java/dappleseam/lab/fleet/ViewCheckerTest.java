package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.MemberEntry.State;
import dappleseam.lab.fleet.ViewChecker.Bounds;
import dappleseam.lab.fleet.ViewChecker.Breach;
import dappleseam.lab.fleet.ViewChecker.Divisor;
import dappleseam.lab.fleet.ViewChecker.Guarantee;
import dappleseam.lab.fleet.ViewChecker.Records;
import dappleseam.lab.fleet.ViewChecker.Verdict;
import dappleseam.lab.fleet.ViewChecker.CacheVerdict;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The checker against records of members that do wrong on purpose. */
class ViewCheckerTest {
    private static final Bounds BOUNDS = new Bounds(10, 10, 1000, 10);

    private final GroundTruth truth = new GroundTruth();
    private final Records records = new Records();

    @BeforeEach
    void threeThatKnowEachOther() {
        for (int i = 1; i <= 3; i++) {
            truth.processStarted("p" + i, i, 0);
        }
        for (int viewer = 1; viewer <= 3; viewer++) {
            for (int other = 1; other <= 3; other++) {
                if (other != viewer) {
                    see(1, viewer, other, State.ALIVE);
                }
            }
            records.fleetSizes().add(new Divisor(1, viewer, 3));
        }
    }

    private void see(double ms, int viewer, int other, State state) {
        records.viewChanges().add(new ViewChange(ms, viewer, "p" + other, other, 0, state));
    }

    private List<Guarantee> broken() {
        return ViewChecker.check(truth, records, BOUNDS).stream().map(Breach::promise).distinct().toList();
    }

    @Test
    void aSoundFleetPasses() {
        truth.processEnded("p3", 500);
        see(505, 1, 3, State.FAILED);
        see(506, 2, 3, State.FAILED);
        assertThat(broken()).isEmpty();
        assertThat(ViewChecker.countCorrectViews(truth, records.viewChanges(), 503)).containsExactly(0, 2);
        assertThat(ViewChecker.countCorrectViews(truth, records.viewChanges(), 505)).containsExactly(1, 2);
    }

    @Test
    void whoNeverNoticesADeathIsLate() {
        truth.processEnded("p3", 500);
        see(505, 1, 3, State.FAILED);
        assertThat(broken()).containsExactly(Guarantee.LATE, Guarantee.NO_AGREEMENT);
    }

    @Test
    void whoStoodStillMayBeLate() {
        truth.processEnded("p3", 500);
        truth.addFault("p2", 495, 520);
        see(505, 1, 3, State.FAILED);
        see(530, 2, 3, State.FAILED);
        assertThat(broken()).isEmpty();
    }

    @Test
    void whoFailsAGoodOneIsSeen() {
        see(500, 1, 2, State.FAILED);
        see(501, 1, 2, State.ALIVE);
        assertThat(broken()).containsExactly(Guarantee.FALSE_FAILURE);
    }

    @Test
    void failingOneWhileLinksWereBadIsAllowedButSayingItEndedIsNot() {
        truth.addFault(null, 400, 495);
        see(500, 1, 2, State.FAILED);
        see(501, 1, 2, State.ALIVE);
        assertThat(broken()).isEmpty();
        see(502, 1, 2, State.ENDED);
        see(503, 1, 2, State.ALIVE);
        assertThat(broken()).containsExactly(Guarantee.FALSE_END);
    }

    @Test
    void whoSuspectsAGoodOneAgainAndAgainIsSeen() {
        for (int i = 0; i < 3; i++) {
            see(500 + i, 1, 2, State.SUSPECT);
            see(500.5 + i, 1, 2, State.ALIVE);
        }
        assertThat(broken()).isEmpty();
        see(504, 1, 2, State.SUSPECT);
        see(504.5, 1, 2, State.ALIVE);
        assertThat(broken()).containsExactly(Guarantee.SUSPECTED_AGAIN);
    }

    @Test
    void whoRaisesTheDeadIsSeen() {
        truth.processEnded("p3", 500);
        see(505, 1, 3, State.FAILED);
        see(505, 2, 3, State.FAILED);
        see(600, 1, 3, State.ALIVE);
        see(601, 1, 3, State.FAILED);
        assertThat(broken()).containsExactly(Guarantee.RESURRECTION);
    }

    @Test
    void whoHoldsTheProcessBeforeAtTheEndIsSeen() {
        truth.processEnded("p3", 500);
        truth.processStarted("p3", 33, 501);
        records.viewChanges().add(new ViewChange(505, 1, "p3", 33, 0, State.ALIVE));
        see(505, 2, 3, State.FAILED);
        records.viewChanges().add(new ViewChange(505, 33, "p1", 1, 0, State.ALIVE));
        records.viewChanges().add(new ViewChange(505, 33, "p2", 2, 0, State.ALIVE));
        assertThat(broken()).containsExactly(Guarantee.NO_AGREEMENT);
    }

    @Test
    void halvesThatEachTakeTheWholeAreSeen() {
        truth.addFault(null, 100, 900);
        records.fleetSizes().add(new Divisor(500, 1, 1));
        assertThat(broken()).containsExactly(Guarantee.MORE_THAN_WHOLE);
    }

    @Test
    void aNewProcessMayComeOnTopForTheTimeOfARumour() {
        truth.processStarted("p4", 4, 500);
        records.fleetSizes().add(new Divisor(501, 4, 4));
        for (int i = 1; i <= 3; i++) {
            see(505, i, 4, State.ALIVE);
            see(505, 4, i, State.ALIVE);
            records.fleetSizes().add(new Divisor(505, i, 4));
        }
        assertThat(broken()).isEmpty();
        records.fleetSizes().add(new Divisor(600, 2, 3));
        assertThat(broken()).containsExactly(Guarantee.MORE_THAN_WHOLE);
    }

    private void say(double ms, int viewer, Verdict verdict) {
        records.verdicts().add(new CacheVerdict(ms, viewer, verdict, "cache"));
    }

    @Test
    void whoIsToldWhatNobodySawOfACacheIsSeen() {
        say(400, 2, Verdict.FAILS);
        say(500, 1, Verdict.CONVICTED);
        say(600, 2, Verdict.CLEARED);
        assertThat(broken()).isEmpty();
        say(500, 2, Verdict.CONVICTED); // by its own sight alone
        assertThat(broken()).containsExactly(Guarantee.FALSE_SIGNAL);
    }

    @Test
    void aWordOnACacheThatIsTooOldIsSeen() {
        say(400, 2, Verdict.FAILS);
        say(600, 2, Verdict.CLEARED);
        say(30_000, 1, Verdict.CONVICTED);
        assertThat(broken()).isEmpty();
        say(40_000, 3, Verdict.CONVICTED);
        assertThat(broken()).containsExactly(Guarantee.FALSE_SIGNAL);
    }
}
