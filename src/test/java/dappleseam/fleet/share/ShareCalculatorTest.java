package dappleseam.fleet.share;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** One member's share and position, calculated from announcements. */
class ShareCalculatorTest {
    private static final double PERIOD = 1000;
    private static final List<MemberName> NAMES = IntStream.range(0, 10).mapToObj(i -> new MemberName("m" + i)).toList();
    private static final Set<MemberName> ALL = Set.copyOf(NAMES);

    private final ShareCalculator calculator = new ShareCalculator(NAMES.get(0), PERIOD);
    private double now = 100_000;

    private static Announcement announcement(int member, int rate) {
        return announcement(member, AnnouncedTraffic.of(rate));
    }

    private static Announcement announcement(int member, AnnouncedTraffic traffic) {
        return announcement(member, Announcement.NO_LOCATION, traffic);
    }

    private static Announcement announcement(int member, int location, AnnouncedTraffic traffic) {
        return new Announcement(NAMES.get(member), new Generation(5, 5), 1, location, traffic, List.of());
    }

    private void receive(int... rates) {
        calculator.receive(now, IntStream.range(0, rates.length).mapToObj(i -> announcement(i, rates[i])).toList());
    }

    private double share() {
        return calculator.share(now, ALL, 10, false);
    }

    private double announceableRate(double rate, Set<MemberName> missing) {
        return calculator.announceableRate(now, rate, ALL, missing, 10);
    }

    private void settle(int... rates) {
        receive(rates);
        share();
        now += 5 * PERIOD;
        receive(rates);
    }

    @Test
    void equalTrafficGivesEqualShares() {
        assertThat(share()).as("nothing known").isCloseTo(0.1, within(1e-9));
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        assertThat(share()).isCloseTo(0.1, within(1e-9));
        assertThat(calculator.share(now, ALL, 10, true)).as("next to a duplicate").isCloseTo(0.05, within(1e-9));
    }

    @Test
    void tenfoldTrafficTakesMoreAndNoTrafficKeepsHalf() {
        settle(99, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        assertThat(share()).isCloseTo(0.05 + 0.5 * 100 / 190, within(1e-9));
        settle(0, 99, 99, 99, 99, 99, 99, 99, 99, 99);
        assertThat(share()).isBetween(0.05, 0.051);
    }

    @Test
    void higherTrafficCountsAfterPropagationAndLowerImmediately() {
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        calculator.receive(now, List.of(announcement(0, new AnnouncedTraffic(9, 39, 0))));
        now += 2 * PERIOD;
        assertThat(share()).isCloseTo(0.1, within(1e-9));
        now += 1.6 * PERIOD;
        assertThat(share()).isCloseTo(0.05 + 0.5 * 40 / 130, within(1e-9));
        receive(9);
        assertThat(share()).isCloseTo(0.1, within(1e-9));
    }

    /**
     * When most proxies die, the remaining ones take over their clients. Their announcements arrive at different times, and all take
     * effect at the same time.
     */
    @Test
    void aCommonRiseMovesSharesOnlyBriefly() {
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        for (int step = 0; step < 40; step++) {
            AnnouncedTraffic risen = new AnnouncedTraffic(9, 39, Math.round(step * PERIOD / 4));
            int announcedCount = Math.min(10, 1 + step); // one more member in each step
            calculator.receive(now, IntStream.range(0, announcedCount).mapToObj(i -> announcement(i, risen)).toList());
            boolean isOwnDelay = step * PERIOD / 4 >= ShareCalculator.PROPAGATION_PERIODS * PERIOD && step * PERIOD / 4 < calculator.ownPropagationMs(); // a short time, which ShareRamp waits for
            assertThat(share()).as("step " + step).isCloseTo(isOwnDelay ? 0.05 + 0.5 * 10 / 370 : 0.1, within(1e-9));
            now += PERIOD / 4;
        }
    }

    /** An increase waits until the last announcement is in effect, a decrease does not. */
    @Test
    void anIncreaseIsAnnouncedOnlyAfterTheLastTookEffect() {
        AnnouncedTraffic first = AnnouncedTraffic.of(12);
        assertThat(first.next(13, 3000)).as("too small a change").isSameAs(first);
        assertThat(first.next(40, 3000)).as("the last announcement is not in effect yet").isSameAs(first);
        AnnouncedTraffic risen = first.agedBy(3000).next(40, 3000);
        assertThat(risen).isEqualTo(new AnnouncedTraffic(12, 40, 0));
        assertThat(risen.agedBy(2999).effective(3000)).isEqualTo(12);
        assertThat(risen.agedBy(1000).next(30, 3000)).as("below the announced rate, above the effective one").isEqualTo(new AnnouncedTraffic(12, 30, 1000));
        assertThat(risen.agedBy(1000).next(5, 3000)).isEqualTo(AnnouncedTraffic.of(5));
        assertThat(risen.agedBy(3000).next(80, 3000)).isEqualTo(new AnnouncedTraffic(40, 80, 0));
    }

    /** Growth that the other side cannot learn of is bounded, also after the partition until all members have been informed. */
    @Test
    void duringAPartitionAnnouncedGrowthIsBounded() {
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        assertThat(announceableRate(79, Set.of())).isEqualTo(79);
        Set<MemberName> missing = Set.copyOf(NAMES.subList(5, 10));
        for (int seconds = 0; seconds < 20; seconds++) {
            assertThat(announceableRate(79, missing)).isCloseTo(11.5, within(1e-9));
            now += PERIOD;
        }
        assertThat(announceableRate(79, Set.of())).isCloseTo(11.5, within(1e-9));
        assertThat(calculator.isReannouncing(now)).isTrue();
        now += 6 * PERIOD;
        assertThat(announceableRate(79, Set.of())).isEqualTo(79);
        assertThat(calculator.isReannouncing(now)).isFalse();
    }

    /** Members that have ended need no announcement, so the others take over their part immediately. */
    @Test
    void growthIsUnboundedOnceMissingMembersEnded() {
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        announceableRate(9, Set.of());
        assertThat(announceableRate(79, Set.copyOf(NAMES.subList(5, 10)))).isCloseTo(11.5, within(1e-9));
        assertThat(calculator.announceableRate(now, 79, Set.copyOf(NAMES.subList(0, 5)), Set.of(), 5)).isEqualTo(79);
    }

    @Test
    void absurdTrafficIsCapped() {
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, AnnouncedTraffic.MAX_PER_S);
        assertThat(share()).isCloseTo(0.05 + 0.5 * 10 / (90 + 640), within(1e-9));
    }

    /** A new process that knows a single idle member does not take everything. */
    @Test
    void knowingFewMembersCapsTheShareAtEven() {
        receive(500, 0);
        now += 10 * PERIOD;
        receive(500, 0);
        assertThat(share()).isLessThanOrEqualTo(0.1 + 1e-9);
    }

    /** Members of which only the number is known count as missing. */
    @Test
    void knowingNobodyAnnouncesAlmostNothing() {
        assertThat(calculator.announceableRate(now, 500, Set.of(NAMES.get(0)), Set.of(), 10)).isLessThan(1);
        assertThat(calculator.share(now, Set.of(NAMES.get(0)), 10, false)).isLessThanOrEqualTo(0.1 + 1e-9);
    }

    /** A proxy prefers the copies of its own location, so its position is among the members of that location only. */
    @Test
    void positionsUseOwnLocationOnly() {
        calculator.receive(now, IntStream.range(0, 10).mapToObj(i -> announcement(i, i % 3, AnnouncedTraffic.of(9))).toList());
        assertThat(calculator.localTraffic(ALL)).containsOnlyKeys(NAMES.get(0), NAMES.get(3), NAMES.get(6), NAMES.get(9));
        assertThat(calculator.localTraffic(ALL).values()).containsOnly(10.0);
    }

    /** Each copy of a hot key is used by the members positioned in its part: the traffic is balanced, and one more member moves few others. */
    @Test
    void positionsBalanceTrafficAndOneMoreMemberMovesFew() {
        SplittableRandom random = new SplittableRandom(1);
        Map<MemberName, Double> traffic = new HashMap<>();
        IntStream.range(0, 300).forEach(i -> traffic.put(new MemberName("proxy-" + i), 1 / (0.05 + random.nextDouble())));
        double mean = traffic.values().stream().mapToDouble(t -> t).sum() / 8;
        double largest = traffic.values().stream().mapToDouble(t -> t).max().orElseThrow();
        double[] served = new double[8];
        Map<MemberName, Integer> copies = traffic.keySet().stream().collect(Collectors.toMap(name -> name, name -> (int) (8 * TrafficPosition.of(name, traffic))));
        copies.forEach((name, copy) -> served[copy] += traffic.get(name));
        assertThat(Arrays.stream(served).allMatch(s -> Math.abs(s - mean) <= largest)).as(Arrays.toString(served)).isTrue();
        traffic.put(new MemberName("another"), 1.0);
        assertThat(copies.keySet().stream().filter(name -> copies.get(name) != (int) (8 * TrafficPosition.of(name, traffic))).count()).isLessThanOrEqualTo(8);
    }
}
