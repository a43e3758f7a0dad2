package dappleseam.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.membership.MemberEntry.State;
import dappleseam.fleet.membership.MembershipStatus.Kind;
import dappleseam.lab.fleet.PlantedFault;
import dappleseam.lab.fleet.SimulatedFleet;
import dappleseam.lab.fleet.SimulatedFleet.Module;
import dappleseam.lab.fleet.SimulatedFleet.Node;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The membership through what a fleet meets, in simulated time. */
class MembershipTest {
    private static final double SECOND = 1000;
    private static final double MINUTE = 60 * SECOND;

    private SimulatedFleet fleet;
    private final List<MemberEntry> sights = new ArrayList<>();

    private void start(int members, long seed) {
        fleet = new SimulatedFleet(Module.SHIPPED, MembershipConfig.defaults(members), members, seed);
        fleet.setViewListener((now, viewer, before, after) -> sights.add(after));
        fleet.startAll(2);
        fleet.runFor(2 * SECOND);
        assertThat(fleet.runUntilAgreed(30 * SECOND)).isNotNaN();
        fleet.runFor(10 * SECOND); // the news of the start has been told
        sights.clear();
    }

    private boolean saw(State state) {
        return sights.stream().anyMatch(n -> n.state() == state);
    }

    private long holding(Node of, Predicate<State> what) {
        return fleet.nodes().stream().filter(n -> n.up && n != of && what.test(n.membership().lookup(of.name).state())).count();
    }

    private double sumOfShares() {
        return fleet.nodes().stream().filter(n -> n.up).mapToDouble(n -> 1.0 / n.membership().fleetSize()).sum();
    }

    /** Time until the sum of shares is as it should be, watched over: it must never be over the whole meanwhile. */
    private void runWithinTheWhole(double ms) {
        double until = fleet.nowMs() + ms;
        while (fleet.nowMs() < until) {
            fleet.runFor(SECOND / 2);
            assertThat(sumOfShares()).isLessThanOrEqualTo(1 + 1e-9);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 200})
    void allThatStartAtOnceKnowEachOtherSoon(int members) {
        fleet = new SimulatedFleet(Module.SHIPPED, MembershipConfig.defaults(members), members, 1);
        fleet.startAll(2);
        fleet.runFor(SECOND);
        assertThat(fleet.runUntilAgreed(10 * SECOND)).isNotNaN();
        fleet.runFor(2 * MINUTE);
        assertThat(fleet.nodes()).allMatch(n -> n.status.kind() == Kind.WITH_ALL && n.membership().fleetSize() == members);
    }

    /** Two that have just come may know the same few: that they agree does not say that there are no more. */
    @ParameterizedTest
    @ValueSource(longs = {143, 144, 145})
    void whoAgreesWithAnotherNewOneHasNotCaughtUp(long seed) {
        fleet = new SimulatedFleet(Module.SHIPPED, MembershipConfig.defaults(40).withPeriod(SECOND / 2), 40, seed);
        List<InetSocketAddress> seeds = List.of(fleet.node(0).address, fleet.node(1).address);
        fleet.nodes().forEach(node -> fleet.schedule(fleet.random().nextDouble() * 8 * SECOND, () -> node.start(seeds)));
        fleet.runFor(13 * SECOND);
        for (int i = 0; i < 60; i++) {
            fleet.runFor(SECOND / 4);
            assertThat(fleet.nodes()).allMatch(n -> n.membership().fleetSize() >= 40);
        }
    }

    /** Guards the whole against processes that nobody has heard of yet: that nothing was heard of them raises nobody. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4})
    void whoStartsLateFindsItsPartUntaken(int early) {
        fleet = new SimulatedFleet(Module.SHIPPED, MembershipConfig.defaults(5), 5, 31);
        List<InetSocketAddress> seeds = List.of(fleet.node(0).address, fleet.node(1).address);
        fleet.nodes().subList(0, early).forEach(node -> node.start(seeds));
        runWithinTheWhole(2 * MINUTE);
        fleet.nodes().subList(early, 5).forEach(node -> node.start(seeds));
        fleet.node(0).partition = 1; // it hears nothing of them
        runWithinTheWhole(MINUTE);
        fleet.node(0).partition = 0;
        runWithinTheWhole(2 * MINUTE);
        assertThat(fleet.nodes()).allMatch(n -> n.membership().fleetSize() == 5);
    }

    @Test
    void aDeadOneIsMissedByAllAndNothingElseIs() {
        start(50, 3);
        Node dead = fleet.node(20);
        dead.kill();
        assertThat(fleet.runUntilAgreed(40 * SECOND)).isNotNaN();
        assertThat(sights).filteredOn(n -> n.state() == State.FAILED).allMatch(n -> n.name().equals(dead.name));
        assertThat(holding(dead, s -> s == State.FAILED)).isEqualTo(49);
    }

    /** The dead give no help, and their silence is none of the living's ears: else these doubt themselves and take twice as long. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void sevenInTenThatDieAtOnceAreKnownSoon(long seed) {
        start(50, seed);
        fleet.nodes().subList(0, 35).forEach(Node::kill);
        assertThat(fleet.runUntilAgreed(35 * SECOND)).isNotNaN();
        assertThat(fleet.nodes().subList(35, 50)).allMatch(n -> holding(n, State.FAILED::equals) == 0);
    }

    /** What others find weighs against one's own doubt, but only where they find the same. */
    @Test
    void whoseOwnLinkLosesMostDoubtsItselfAndFailsNobody() {
        start(20, 4);
        fleet.node(5).lossRate = 0.6;
        int worst = 0;
        for (int i = 0; i < 120; i++) {
            fleet.runFor(SECOND);
            worst = Math.max(worst, fleet.node(5).membership().healthScore());
        }
        assertThat(worst).isGreaterThanOrEqualTo(4);
        assertThat(sights.stream().filter(n -> n.state() == State.FAILED && !n.name().equals(fleet.node(5).name))).isEmpty();
    }

    @Test
    void halfThatDieAtOnceAreCountedUntilTheirHostsDeny() {
        start(40, 4);
        for (int i = 0; i < 20; i++) {
            fleet.node(i).kill();
        }
        fleet.runFor(6 * SECOND);
        assertThat(fleet.node(30).membership().fleetSize()).isEqualTo(40);
        assertThat(fleet.runUntilAgreed(MINUTE)).isNotNaN();
        runWithinTheWhole(5 * MINUTE);
        assertThat(fleet.nodes().stream().filter(n -> n.up)).allMatch(n -> n.membership().fleetSize() == 20);
    }

    @Test
    void halfThatFallSilentAreCountedForAsLongAsNobodyDenies() {
        start(20, 4);
        fleet.nodes().forEach(n -> n.partition = n.number < 10 ? 1 : 2);
        runWithinTheWhole(10 * MINUTE);
        assertThat(fleet.nodes()).allMatch(n -> n.membership().fleetSize() == 20 && n.status.kind() == Kind.CUT_OFF && n.status.missing().size() == 10);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void aSplitHealsByItselfWithRestartsDuringIt(int parts) {
        start(30, 5);
        fleet.nodes().forEach(n -> n.partition = n.number % parts);
        fleet.runFor(MINUTE);
        for (int number : new int[] {0, 1, 7}) { // the seeds among them
            Node node = fleet.node(number);
            node.kill();
            fleet.runFor(3 * SECOND);
            node.start(List.of(fleet.node(number + parts).address));
        }
        fleet.runFor(MINUTE);
        fleet.nodes().forEach(n -> n.partition = 0);
        sights.clear();
        assertThat(fleet.runUntilAgreed(MINUTE)).isNotNaN();
        assertThat(sights).as("no good neighbour is brought down by old news").noneMatch(n -> n.state() == State.FAILED);
        fleet.runFor(MINUTE);
        assertThat(fleet.nodes()).allMatch(n -> n.status.kind() == Kind.WITH_ALL && n.membership().fleetSize() == 30);
    }

    @Test
    void withoutTheMergeASplitStays() {
        start(6, 5);
        fleet.nodes().forEach(n -> n.partition = n.number % 2);
        fleet.runFor(2 * MINUTE);
        fleet.setPlantedFault(PlantedFault.NO_MERGE);
        fleet.nodes().forEach(n -> n.partition = 0);
        assertThat(fleet.runUntilAgreed(5 * MINUTE)).isNaN();
    }

    /** What a cut between two members shows, with and without others that probe in one's stead. */
    @ParameterizedTest
    @EnumSource(value = PlantedFault.class, names = {"NONE", "NO_INDIRECT_PROBE"})
    void twoWhoDoNotReachEachOtherKnowThatOthersDo(PlantedFault planted) {
        start(6, 6);
        fleet.setPlantedFault(planted);
        fleet.node(0).blockedSenders.add(1);
        fleet.node(1).blockedSenders.add(0);
        fleet.runFor(3 * MINUTE);
        if (planted == PlantedFault.NONE) {
            assertThat(saw(State.SUSPECT)).isFalse();
            assertThat(fleet.node(0).status.kind()).isEqualTo(Kind.CUT_OFF);
            assertThat(fleet.node(0).status.missing()).containsExactly(fleet.node(1).name);
            assertThat(fleet.node(2).status.kind()).isEqualTo(Kind.WITH_ALL);
            fleet.nodes().forEach(n -> n.blockedSenders.clear());
            fleet.runFor(MINUTE);
            assertThat(fleet.node(0).status.kind()).isEqualTo(Kind.WITH_ALL);
        } else {
            assertThat(saw(State.SUSPECT)).isTrue();
        }
    }

    @Test
    void aLinkOneWayOnlyFailsNobody() {
        start(6, 7);
        fleet.node(0).blockedSenders.addAll(List.of(1, 2));
        fleet.runFor(5 * MINUTE);
        assertThat(saw(State.FAILED)).isFalse();
    }

    /** Refutation is what keeps a lossy member in: without it, the same minutes bring it down. */
    @ParameterizedTest
    @EnumSource(value = PlantedFault.class, names = {"NONE", "NO_REFUTATION"})
    void aMemberThatLosesThreeInTenIsNotFailed(PlantedFault planted) {
        start(20, 8);
        fleet.setPlantedFault(planted);
        fleet.node(3).lossRate = 0.3;
        fleet.runFor(10 * MINUTE);
        assertThat(saw(State.FAILED)).isEqualTo(planted == PlantedFault.NO_REFUTATION);
    }

    @Test
    void whoStoodStillDoubtsItselfAndComesBack() {
        start(20, 9);
        Node stalled = fleet.node(4);
        stalled.stop(30 * SECOND);
        fleet.runFor(30 * SECOND);
        assertThat(holding(stalled, s -> s == State.FAILED)).isEqualTo(19);
        sights.clear();
        fleet.runFor(1.5 * SECOND);
        assertThat(stalled.status.kind()).isEqualTo(Kind.SLOW);
        assertThat(fleet.runUntilAgreed(10 * SECOND)).isNotNaN();
        fleet.runFor(MINUTE);
        assertThat(sights).as("it accuses nobody").noneMatch(n -> n.state() == State.SUSPECT || n.state() == State.FAILED);
        assertThat(fleet.nodes()).allMatch(n -> n.status.kind() == Kind.WITH_ALL);
    }

    @Test
    void flappingByTurnsIsTakenForWhatItIs() {
        start(20, 10);
        for (int turn = 0; turn < 12; turn++) {
            Node one = fleet.node(turn % 3);
            one.stop(8 * SECOND);
            fleet.runFor(10 * SECOND);
        }
        assertThat(sights).filteredOn(n -> n.state() == State.FAILED).allMatch(n -> n.name().text().matches("p[012]"));
        assertThat(fleet.runUntilAgreed(10 * SECOND)).isNotNaN();
    }

    /** A whole prober that is slow: its own losses make it doubt itself, and others stay. */
    @Test
    void aSlowProberAccusesNobodyForLong() {
        start(20, 11);
        Node slow = fleet.node(5);
        for (int i = 0; i < 60; i++) {
            slow.stop(700);
            fleet.runFor(SECOND);
        }
        assertThat(sights).filteredOn(n -> n.state() == State.FAILED).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {-86_400_000L, -1, 0, 86_400_000L})
    void aRestartIsToldAtOnceWhateverItsClockSays(long clockOffMs) {
        start(20, 12);
        Node node = fleet.node(7);
        long before = node.nonce();
        node.kill();
        fleet.runFor(300);
        node.clockOffsetMs = clockOffMs;
        node.start(List.of(fleet.node(3).address));
        assertThat(fleet.runUntilAgreed(15 * SECOND)).isNotNaN();
        assertThat(node.nonce()).isNotEqualTo(before);
        assertThat(saw(State.FAILED)).isFalse();
        assertThat(node.membership().duplicate()).isNull();
    }

    @Test
    void oldNewsOfAKilledProcessDoesNotRaiseIt() {
        start(10, 13);
        Node dead = fleet.node(9);
        MemberEntry old = dead.membership().self();
        dead.kill();
        fleet.runFor(MINUTE);
        sights.clear();
        Membership told = fleet.node(1).membership();
        told.receiver(fleet.nowMs()).gossip(fleet.node(2).address, fleet.node(2).membership().self(), List.of(old));
        told.receiver(fleet.nowMs()).ping(dead.address, old, 1, fleet.node(1).name, List.of());
        fleet.runFor(10 * SECOND);
        assertThat(sights).noneMatch(n -> n.name().equals(dead.name) && n.state().isLive());
    }

    @Test
    void theFleetDoesWithoutItsSeeds() {
        start(12, 14);
        fleet.node(0).kill();
        fleet.node(1).kill();
        fleet.runFor(MINUTE);
        fleet.nodes().forEach(n -> n.partition = n.number % 2);
        fleet.runFor(MINUTE);
        fleet.nodes().forEach(n -> n.partition = 0);
        assertThat(fleet.runUntilAgreed(MINUTE)).isNotNaN();
    }

    /** That seven others were never heard of raises nobody: they may start at any time. The operator's file may, read again. */
    @Test
    void whoFindsNoSeedCountsAsTheFileSaysAndJoinsOnceThereIsOne() {
        fleet = new SimulatedFleet(Module.SHIPPED, MembershipConfig.defaults(9), 2, 15);
        fleet.node(0).start(List.of(fleet.node(1).address));
        Membership first = fleet.node(0).membership();
        fleet.runFor(MINUTE);
        assertThat(first.fleetSize()).isEqualTo(9);
        assertThat(first.status().kind()).isEqualTo(Kind.STARTING);
        fleet.node(1).start(List.of());
        assertThat(fleet.runUntilAgreed(5 * SECOND)).isNotNaN();
        runWithinTheWhole(MINUTE);
        assertThat(first.fleetSize()).isEqualTo(9);
        first.configChanged(fleet.nowMs(), MembershipConfig.defaults(2), List.of());
        runWithinTheWhole(MINUTE);
        assertThat(first.fleetSize()).isEqualTo(2);
    }

    @Test
    void namesMaySwapAddresses() {
        start(10, 16);
        Node a = fleet.node(4);
        Node b = fleet.node(5);
        a.kill();
        b.kill();
        InetSocketAddress was = a.address;
        a.address = b.address;
        b.address = was;
        fleet.runFor(SECOND);
        a.start(List.of(fleet.node(0).address));
        b.start(List.of(fleet.node(0).address));
        assertThat(fleet.runUntilAgreed(10 * SECOND)).isNotNaN();
        assertThat(fleet.node(0).membership().lookup(a.name).address()).isEqualTo(a.address);
    }

    @Test
    void whoseAddressAnotherTookIsNotCountedForever() {
        start(10, 17);
        Node gone = fleet.node(4);
        Node other = fleet.node(5);
        gone.kill();
        other.kill();
        other.address = gone.address;
        fleet.runFor(SECOND);
        other.start(List.of(fleet.node(0).address));
        fleet.runFor(3 * MINUTE);
        assertThat(holding(gone, s -> s == State.ENDED)).isEqualTo(9);
    }

    @Test
    void twoOfOneNameBothSaySoAndNeitherLoops() {
        start(6, 18);
        SimulatedFleet.Node twin = fleet.createDuplicate(2);
        twin.start(List.of(fleet.node(0).address));
        fleet.runFor(MINUTE);
        assertThat(fleet.node(2).membership().duplicate()).isNotNull();
        assertThat(twin.membership().duplicate()).isNotNull();
        long starts = Math.max(fleet.node(2).membership().self().generation().start(), twin.membership().self().generation().start());
        sights.clear();
        fleet.runFor(5 * MINUTE);
        assertThat(Math.max(fleet.node(2).membership().self().generation().start(), twin.membership().self().generation().start())).isEqualTo(starts);
        assertThat(sights).isEmpty();
        twin.kill();
        fleet.runFor(3 * MINUTE);
        assertThat(fleet.node(2).membership().duplicate()).isNull();
        assertThat(fleet.runUntilAgreed(MINUTE)).isNotNaN();
    }

    /** The twin's end, proved or said by itself, is not the member's: its process that lives is counted throughout. */
    @ParameterizedTest
    @CsvSource({"true, 27", "false, 28", "true, 29", "false, 30"})
    void theEndOfATwinTakesNobodyOutOfTheCount(boolean killed, long seed) {
        start(5, seed);
        List<Node> twins = List.of(fleet.createDuplicate(1), fleet.createDuplicate(4));
        twins.forEach(twin -> twin.start(List.of(fleet.node(0).address)));
        fleet.runFor(MINUTE);
        twins.forEach(killed ? Node::kill : Node::leave);
        runWithinTheWhole(3 * MINUTE);
        assertThat(fleet.runUntilAgreed(MINUTE)).isNotNaN();
        assertThat(fleet.nodes()).allMatch(n -> n.membership().fleetSize() == 5);
    }

    @Test
    void whoLeavesIsNotMissedAndNotCounted() {
        start(20, 19);
        fleet.node(6).leave();
        assertThat(fleet.runUntilAgreed(5 * SECOND)).isNotNaN();
        fleet.runFor(10 * SECOND);
        assertThat(saw(State.FAILED)).isFalse();
        assertThat(fleet.nodes().stream().filter(n -> n.up)).allMatch(n -> n.membership().fleetSize() == 19 && n.status.kind() == Kind.WITH_ALL);
    }

    @Test
    void anOperatorsWordEndsWhoFailed() {
        start(6, 20);
        Node cut = fleet.node(5);
        cut.partition = 1;
        fleet.runFor(2 * MINUTE);
        assertThat(fleet.node(0).membership().fleetSize()).isEqualTo(6);
        assertThat(fleet.node(0).membership().markEnded(fleet.nowMs(), fleet.node(1).name)).as("one that is there").isFalse();
        assertThat(fleet.node(0).membership().markEnded(fleet.nowMs(), cut.name)).isTrue();
        fleet.runFor(MINUTE);
        assertThat(holding(cut, s -> s == State.ENDED)).isEqualTo(5);
        assertThat(fleet.node(3).membership().fleetSize()).isEqualTo(5);
        cut.partition = 0; // it was wrong
        assertThat(fleet.runUntilAgreed(MINUTE)).isNotNaN();
    }

    @Test
    void aMemberAloneKnowsIt() {
        start(8, 21);
        fleet.node(3).partition = 1;
        fleet.runFor(2 * MINUTE);
        assertThat(fleet.node(3).status.kind()).isEqualTo(Kind.ALONE);
        assertThat(fleet.node(3).membership().fleetSize()).isEqualTo(8);
    }

    @Test
    void absurdNumbersNearTheirTopsAreRefutedAndRunOutNowhere() {
        start(4, 22);
        Node node = fleet.node(2);
        MemberEntry self = node.membership().self();
        MemberEntry mad = new MemberEntry(self.name(), self.address(), self.generation(), MemberEntry.MAX_INCARNATION, State.FAILED, 0);
        MemberEntry late = new MemberEntry(self.name(), self.address(), new Generation(Generation.MAX_START - 1, 5), 3, State.FAILED, 0);
        for (MemberEntry news : List.of(mad, late)) {
            node.membership().receiver(fleet.nowMs()).gossip(fleet.node(0).address, fleet.node(0).membership().self(), List.of(news));
            fleet.runFor(20 * SECOND);
            assertThat(fleet.runUntilAgreed(20 * SECOND)).isNotNaN();
        }
    }

    @Test
    void loadDoesNotGrowWithTheFleet() {
        double[] bytes = new double[2];
        int[] sizes = {10, 200};
        for (int i = 0; i < 2; i++) {
            start(sizes[i], 23);
            fleet.runFor(2 * MINUTE);
            long before = fleet.bytes;
            fleet.runFor(2 * MINUTE);
            bytes[i] = (fleet.bytes - before) / 120.0 / sizes[i];
        }
        assertThat(bytes[1]).isLessThan(bytes[0] * 1.1);
    }

    @Test
    void aFullTableTurnsNewNamesAway() {
        fleet = new SimulatedFleet(Module.SHIPPED, new MembershipConfig(1000, 1, 2, 600_000, true, 3), 5, 24);
        fleet.startAll(1);
        fleet.runFor(MINUTE);
        assertThat(fleet.nodes()).allMatch(n -> n.membership().view().size() == 3);
        assertThat(fleet.node(0).membership().droppedForCapacity()).isPositive();
    }
}
