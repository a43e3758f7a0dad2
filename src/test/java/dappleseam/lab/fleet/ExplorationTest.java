package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** All orders of events of three members up to a small depth; {@code lab explore} goes deeper. */
class ExplorationTest {
    @Test
    void noOrderOfEventsBreaksAPromise() {
        Exploration.Found found = new Exploration(5, 2, true, Planted.NONE).run();
        assertThat(found.broken()).isNull();
        assertThat(found.states()).isGreaterThan(800);
    }

    /** Guards against exceeding the fleet-wide limits when a member starts long after the others have agreed. */
    @Test
    void noOrderOfLateStartsTakesMoreThanTheWhole() {
        for (int early = 1; early < 3; early++) {
            assertThat(new Exploration(early, 5, 2, true, Planted.NONE).run().broken()).isNull();
        }
    }

    @Test
    void aDefenceTakenOutIsFound() {
        assertThat(new Exploration(3, 2, true, Planted.NO_REFUTATION).run().broken()).contains("in the phase without faults after");
    }
}
