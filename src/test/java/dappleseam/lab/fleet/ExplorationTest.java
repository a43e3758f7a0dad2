package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Every order of events of three members, to a small depth; {@code lab explore} goes deeper. */
class ExplorationTest {
    @Test
    void noOrderOfEventsBreaksAPromise() {
        MembershipExploration.Result found = new MembershipExploration(5, 2, true, PlantedFault.NONE).run();
        assertThat(found.violation()).isNull();
        assertThat(found.states()).isGreaterThan(800);
    }

    /** Guards the whole against a member that starts while the others have long agreed. */
    @Test
    void noOrderOfLateStartsTakesMoreThanTheWhole() {
        for (int early = 1; early < 3; early++) {
            assertThat(new MembershipExploration(early, 5, 2, true, PlantedFault.NONE).run().violation()).isNull();
        }
    }

    @Test
    void aDefenceTakenOutIsFound() {
        assertThat(new MembershipExploration(3, 2, true, PlantedFault.NO_REFUTATION).run().violation()).contains("in the quiet after");
    }
}
