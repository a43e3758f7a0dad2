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

/** One member's share, by what it is told; and its place. */
class SharesTest {
    private static final double PERIOD = 1000;
    private static final List<MemberName> NAMES = IntStream.range(0, 10).mapToObj(i -> new MemberName("m" + i)).toList();
    private static final Set<MemberName> ALL = Set.copyOf(NAMES);

    private final ShareCalculator shares = new ShareCalculator(NAMES.get(0), PERIOD);
    private double now = 100_000;

    private static Announcement tells(int member, int rate) {
        return tells(member, AnnouncedTraffic.of(rate));
    }

    private static Announcement tells(int member, AnnouncedTraffic traffic) {
        return tells(member, Announcement.NO_LOCATION, traffic);
    }

    private static Announcement tells(int member, int location, AnnouncedTraffic traffic) {
        return new Announcement(NAMES.get(member), new Generation(5, 5), 1, location, traffic, List.of());
    }

    private void hear(int... rates) {
        shares.receive(now, IntStream.range(0, rates.length).mapToObj(i -> tells(i, rates[i])).toList());
    }

    private double share() {
        return shares.share(now, ALL, 10, false);
    }

    private double tellable(double rate, Set<MemberName> missing) {
        return shares.announceableRate(now, rate, ALL, missing, 10);
    }

    private void settle(int... rates) {
        hear(rates);
        share();
        now += 5 * PERIOD;
        hear(rates);
    }

    @Test
    void alikeAllTakeAnEvenOne() {
        assertThat(share()).as("nothing known").isCloseTo(0.1, within(1e-9));
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        assertThat(share()).isCloseTo(0.1, within(1e-9));
        assertThat(shares.share(now, ALL, 10, true)).as("beside a twin").isCloseTo(0.05, within(1e-9));
    }

    @Test
    void tenTimesTheTrafficTakesMoreAndNoneTakesHalf() {
        settle(99, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        assertThat(share()).isCloseTo(0.05 + 0.5 * 100 / 190, within(1e-9));
        settle(0, 99, 99, 99, 99, 99, 99, 99, 99, 99);
        assertThat(share()).isBetween(0.05, 0.051);
    }

    @Test
    void moreTrafficCountsOnceAllKnowAndLessAtOnce() {
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        shares.receive(now, List.of(tells(0, new AnnouncedTraffic(9, 39, 0))));
        now += 2 * PERIOD;
        assertThat(share()).isCloseTo(0.1, within(1e-9));
        now += 1.6 * PERIOD;
        assertThat(share()).isCloseTo(0.05 + 0.5 * 40 / 130, within(1e-9));
        hear(9);
        assertThat(share()).isCloseTo(0.1, within(1e-9));
    }

    /** As when most proxies die and the rest take their clients: news comes at various times, some before what it follows, and counts at one. */
    @Test
    void aRiseThatAllShareMovesNoShareForLong() {
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        for (int step = 0; step < 40; step++) {
            AnnouncedTraffic risen = new AnnouncedTraffic(9, 39, Math.round(step * PERIOD / 4));
            int heardOf = Math.min(10, 1 + step); // each later than the one before
            shares.receive(now, IntStream.range(0, heardOf).mapToObj(i -> tells(i, risen)).toList());
            boolean isBetween = step * PERIOD / 4 >= ShareCalculator.KNOWN_PERIODS * PERIOD && step * PERIOD / 4 < shares.ownPropagationMs(); // a moment, which Portion waits for
            assertThat(share()).as("step " + step).isCloseTo(isBetween ? 0.05 + 0.5 * 10 / 370 : 0.1, within(1e-9));
            now += PERIOD / 4;
        }
    }

    /** What is told next: more waits for what was told last to count, less does not. */
    @Test
    void moreIsToldOnlyOnceTheLastCounts() {
        AnnouncedTraffic first = AnnouncedTraffic.of(12);
        assertThat(first.next(13, 3000)).as("no news").isSameAs(first);
        assertThat(first.next(40, 3000)).as("it may be new").isSameAs(first);
        AnnouncedTraffic risen = first.olderBy(3000).next(40, 3000);
        assertThat(risen).isEqualTo(new AnnouncedTraffic(12, 40, 0));
        assertThat(risen.olderBy(2999).inForce(3000)).isEqualTo(12);
        assertThat(risen.olderBy(1000).next(30, 3000)).as("less than was told, more than counts").isEqualTo(new AnnouncedTraffic(12, 30, 1000));
        assertThat(risen.olderBy(1000).next(5, 3000)).isEqualTo(AnnouncedTraffic.of(5));
        assertThat(risen.olderBy(3000).next(80, 3000)).isEqualTo(new AnnouncedTraffic(40, 80, 0));
    }

    /** What the other half cannot hear of is bounded, and for a while after, until they have been told. */
    @Test
    void inASplitAQuarterMoreTrafficIsTold() {
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        assertThat(tellable(79, Set.of())).isEqualTo(79);
        Set<MemberName> missing = Set.copyOf(NAMES.subList(5, 10));
        for (int seconds = 0; seconds < 20; seconds++) {
            assertThat(tellable(79, missing)).isCloseTo(11.5, within(1e-9));
            now += PERIOD;
        }
        assertThat(tellable(79, Set.of())).isCloseTo(11.5, within(1e-9));
        assertThat(shares.isReannouncing(now)).isTrue();
        now += 6 * PERIOD;
        assertThat(tellable(79, Set.of())).isEqualTo(79);
        assertThat(shares.isReannouncing(now)).isFalse();
    }

    /** Those that are proved ended need not hear of anything: the rest take up their part at once. */
    @Test
    void onceTheMissingHaveEndedAllIsTold() {
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, 9);
        tellable(9, Set.of());
        assertThat(tellable(79, Set.copyOf(NAMES.subList(5, 10)))).isCloseTo(11.5, within(1e-9));
        assertThat(shares.announceableRate(now, 79, Set.copyOf(NAMES.subList(0, 5)), Set.of(), 5)).isEqualTo(79);
    }

    @Test
    void oneThatTellsOfAbsurdTrafficTakesNoMoreThanItsBound() {
        settle(9, 9, 9, 9, 9, 9, 9, 9, 9, AnnouncedTraffic.MAX_PER_S);
        assertThat(share()).isCloseTo(0.05 + 0.5 * 10 / (90 + 640), within(1e-9));
    }

    /** A new process that has heard of one idle member only does not take the whole. */
    @Test
    void whoHasHeardOfFewTakesAnEvenShareAtMost() {
        hear(500, 0);
        now += 10 * PERIOD;
        hear(500, 0);
        assertThat(share()).isLessThanOrEqualTo(0.1 + 1e-9);
    }

    /** Members that are known for nothing but a number count as missing. */
    @Test
    void whoKnowsNobodyTellsNextToNothing() {
        assertThat(shares.announceableRate(now, 500, Set.of(NAMES.get(0)), Set.of(), 10)).isLessThan(1);
        assertThat(shares.share(now, Set.of(NAMES.get(0)), 10, false)).isLessThanOrEqualTo(0.1 + 1e-9);
    }

    /** A proxy goes by the copies of its own location first: there it stands in order, and others' order is theirs. */
    @Test
    void placesAreThoseOfOnesOwnLocation() {
        shares.receive(now, IntStream.range(0, 10).mapToObj(i -> tells(i, i % 3, AnnouncedTraffic.of(9))).toList());
        assertThat(shares.localTraffic(ALL)).containsOnlyKeys(NAMES.get(0), NAMES.get(3), NAMES.get(6), NAMES.get(9));
        assertThat(shares.localTraffic(ALL).values()).containsOnly(10.0);
    }

    /** Copies of a hot key, each served by those whose place lies in its part: even by traffic, and one more moves few. */
    @Test
    void placesAreEvenByTrafficAndOneMoreMovesFew() {
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
