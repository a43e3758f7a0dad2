package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Many candidates for a few leases; {@code lab leases --crowd} measures more sizes. */
class LeaseSimulationTest {
    private static double figure(String line, String label) {
        String rest = line.substring(line.indexOf(label) + label.length()).strip();
        return Double.parseDouble(rest.split(" ")[0]);
    }

    @Test
    void twentyTimesTheCandidatesSendNoMorePerLease() {
        LeaseSimulation few = new LeaseSimulation(10, 1, 0.1, 1);
        LeaseSimulation many = new LeaseSimulation(200, 1, 0.1, 1);
        double steadyRateOfFew = figure(few.measureDeaths(6), "10%:");
        String report = many.measureDeaths(6);
        assertThat(figure(report, "10%:")).as(report).isLessThan(1.5 * steadyRateOfFew);
        assertThat(figure(report, "held,")).as(report).isLessThan(60);
        assertThat(few.breaches() + many.breaches()).isZero();
    }

    @Test
    void leasesSpreadAndOnlyThoseOfADeadHolderMove() {
        LeaseSimulation simulation = new LeaseSimulation(20, 100, 0, 1);
        String report = simulation.measureSpread();
        assertThat(report).endsWith("0 without a holder");
        assertThat(figure(report, "dies:")).as(report).isEqualTo(figure(report, "one with"));
        assertThat(figure(report, "it comes back:")).as(report).isZero();
        assertThat(simulation.breaches()).isZero();
    }
}
