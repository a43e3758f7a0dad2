package dappleseam.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Many candidates for a few leases: `lab leases --crowd` says more. */
class LeaseCrowdTest {
    private static double figure(String line, String before) {
        String rest = line.substring(line.indexOf(before) + before.length()).strip();
        return Double.parseDouble(rest.split(" ")[0]);
    }

    @Test
    void twentyTimesTheCandidatesSendNoMoreForALease() {
        LeaseSimulation few = new LeaseSimulation(10, 1, 0.1, 1);
        LeaseSimulation many = new LeaseSimulation(200, 1, 0.1, 1);
        double quietFew = figure(few.measureDeaths(6), "10%:");
        String told = many.measureDeaths(6);
        assertThat(figure(told, "10%:")).as(told).isLessThan(1.5 * quietFew);
        assertThat(figure(told, "held,")).as(told).isLessThan(60);
        assertThat(few.breaches() + many.breaches()).isZero();
    }

    @Test
    void leasesSpreadAndOnlyThoseOfOneThatDiesMove() {
        LeaseSimulation crowd = new LeaseSimulation(20, 100, 0, 1);
        String told = crowd.measureSpread();
        assertThat(told).endsWith("0 without a holder");
        assertThat(figure(told, "dies:")).as(told).isEqualTo(figure(told, "one with"));
        assertThat(figure(told, "it comes back:")).as(told).isZero();
        assertThat(crowd.breaches()).isZero();
    }
}
