package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** All orders of events of three members up to a small depth; {@code lab explore} goes deeper. */
class MembershipExplorationTest {
    @Test
    void noEventOrderBreaksAGuarantee() {
        MembershipExploration.Result found = new MembershipExploration(5, 2, true, PlantedFault.NONE).run();
        assertThat(found.violation()).isNull();
        assertThat(found.states()).isGreaterThan(800);
    }

    /** Guards against exceeding the fleet-wide limits when a member starts long after the others have agreed. */
    @Test
    void noOrderOfLateStartsExceedsTheFleetWideLimits() {
        for (int initialMembers = 1; initialMembers < 3; initialMembers++) {
            assertThat(new MembershipExploration(initialMembers, 5, 2, true, PlantedFault.NONE).run().violation()).isNull();
        }
    }

    @Test
    void aRemovedSafeguardIsDetected() {
        assertThat(new MembershipExploration(3, 2, true, PlantedFault.NO_REFUTATION).run().violation()).contains("in the phase without faults after");
    }
}
