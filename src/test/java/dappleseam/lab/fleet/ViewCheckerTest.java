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

/** Runs the checker on records that contain deliberate violations. */
class ViewCheckerTest {
    private static final Bounds BOUNDS = new Bounds(10, 10, 1000, 10);

    private final GroundTruth groundTruth = new GroundTruth();
    private final Records records = new Records();

    @BeforeEach
    void startThreeMembersThatKnowEachOther() {
        for (int i = 1; i <= 3; i++) {
            groundTruth.processStarted("p" + i, i, 0);
        }
        for (int viewer = 1; viewer <= 3; viewer++) {
            for (int other = 1; other <= 3; other++) {
                if (other != viewer) {
                    addViewChange(1, viewer, other, State.ALIVE);
                }
            }
            records.fleetSizes().add(new Divisor(1, viewer, 3));
        }
    }

    private void addViewChange(double ms, int viewer, int other, State state) {
        records.viewChanges().add(new ViewChange(ms, viewer, "p" + other, other, 0, state));
    }

    private List<Guarantee> brokenGuarantees() {
        return ViewChecker.check(groundTruth, records, BOUNDS).stream().map(Breach::promise).distinct().toList();
    }

    @Test
    void aCorrectFleetPasses() {
        groundTruth.processEnded("p3", 500);
        addViewChange(505, 1, 3, State.FAILED);
        addViewChange(506, 2, 3, State.FAILED);
        assertThat(brokenGuarantees()).isEmpty();
        assertThat(ViewChecker.countCorrectViews(groundTruth, records.viewChanges(), 503)).containsExactly(0, 2);
        assertThat(ViewChecker.countCorrectViews(groundTruth, records.viewChanges(), 505)).containsExactly(1, 2);
    }

    @Test
    void anUndetectedDeathIsReported() {
        groundTruth.processEnded("p3", 500);
        addViewChange(505, 1, 3, State.FAILED);
        assertThat(brokenGuarantees()).containsExactly(Guarantee.LATE, Guarantee.NO_AGREEMENT);
    }

    @Test
    void aStalledViewerMayDetectLate() {
        groundTruth.processEnded("p3", 500);
        groundTruth.addFault("p2", 495, 520);
        addViewChange(505, 1, 3, State.FAILED);
        addViewChange(530, 2, 3, State.FAILED);
        assertThat(brokenGuarantees()).isEmpty();
    }

    @Test
    void aFalseFailureIsReported() {
        addViewChange(500, 1, 2, State.FAILED);
        addViewChange(501, 1, 2, State.ALIVE);
        assertThat(brokenGuarantees()).containsExactly(Guarantee.FALSE_FAILURE);
    }

    @Test
    void aFalseFailureDuringLinkFaultsIsAllowedButAFalseEndIsNot() {
        groundTruth.addFault(null, 400, 495);
        addViewChange(500, 1, 2, State.FAILED);
        addViewChange(501, 1, 2, State.ALIVE);
        assertThat(brokenGuarantees()).isEmpty();
        addViewChange(502, 1, 2, State.ENDED);
        addViewChange(503, 1, 2, State.ALIVE);
        assertThat(brokenGuarantees()).containsExactly(Guarantee.FALSE_END);
    }

    @Test
    void repeatedSuspicionOfAHealthyMemberIsReported() {
        for (int i = 0; i < 3; i++) {
            addViewChange(500 + i, 1, 2, State.SUSPECT);
            addViewChange(500.5 + i, 1, 2, State.ALIVE);
        }
        assertThat(brokenGuarantees()).isEmpty();
        addViewChange(504, 1, 2, State.SUSPECT);
        addViewChange(504.5, 1, 2, State.ALIVE);
        assertThat(brokenGuarantees()).containsExactly(Guarantee.SUSPECTED_AGAIN);
    }

    @Test
    void aResurrectionIsReported() {
        groundTruth.processEnded("p3", 500);
        addViewChange(505, 1, 3, State.FAILED);
        addViewChange(505, 2, 3, State.FAILED);
        addViewChange(600, 1, 3, State.ALIVE);
        addViewChange(601, 1, 3, State.FAILED);
        assertThat(brokenGuarantees()).containsExactly(Guarantee.RESURRECTION);
    }

    @Test
    void anOutdatedProcessInAFinalViewIsReported() {
        groundTruth.processEnded("p3", 500);
        groundTruth.processStarted("p3", 33, 501);
        records.viewChanges().add(new ViewChange(505, 1, "p3", 33, 0, State.ALIVE));
        addViewChange(505, 2, 3, State.FAILED);
        records.viewChanges().add(new ViewChange(505, 33, "p1", 1, 0, State.ALIVE));
        records.viewChanges().add(new ViewChange(505, 33, "p2", 2, 0, State.ALIVE));
        assertThat(brokenGuarantees()).containsExactly(Guarantee.NO_AGREEMENT);
    }

    @Test
    void partitionsThatEachUseTheFullLimitsAreReported() {
        groundTruth.addFault(null, 100, 900);
        records.fleetSizes().add(new Divisor(500, 1, 1));
        assertThat(brokenGuarantees()).containsExactly(Guarantee.MORE_THAN_WHOLE);
    }

    @Test
    void aNewProcessMayExceedTheLimitsUntilItIsKnown() {
        groundTruth.processStarted("p4", 4, 500);
        records.fleetSizes().add(new Divisor(501, 4, 4));
        for (int i = 1; i <= 3; i++) {
            addViewChange(505, i, 4, State.ALIVE);
            addViewChange(505, 4, i, State.ALIVE);
            records.fleetSizes().add(new Divisor(505, i, 4));
        }
        assertThat(brokenGuarantees()).isEmpty();
        records.fleetSizes().add(new Divisor(600, 2, 3));
        assertThat(brokenGuarantees()).containsExactly(Guarantee.MORE_THAN_WHOLE);
    }

    private void addVerdict(double ms, int viewer, Verdict verdict) {
        records.verdicts().add(new CacheVerdict(ms, viewer, verdict, "cache"));
    }

    @Test
    void aConvictionWithoutAWitnessIsReported() {
        addVerdict(400, 2, Verdict.FAILS);
        addVerdict(500, 1, Verdict.CONVICTED);
        addVerdict(600, 2, Verdict.CLEARED);
        assertThat(brokenGuarantees()).isEmpty();
        addVerdict(500, 2, Verdict.CONVICTED); // from its own observation alone
        assertThat(brokenGuarantees()).containsExactly(Guarantee.FALSE_SIGNAL);
    }

    @Test
    void aConvictionBasedOnAStaleObservationIsReported() {
        addVerdict(400, 2, Verdict.FAILS);
        addVerdict(600, 2, Verdict.CLEARED);
        addVerdict(30_000, 1, Verdict.CONVICTED);
        assertThat(brokenGuarantees()).isEmpty();
        addVerdict(40_000, 3, Verdict.CONVICTED);
        assertThat(brokenGuarantees()).containsExactly(Guarantee.FALSE_SIGNAL);
    }
}
