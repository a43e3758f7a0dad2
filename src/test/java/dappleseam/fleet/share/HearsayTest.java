package dappleseam.fleet.share;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.share.PeerEjectionPolicy.NodeState;
import dappleseam.fleet.share.PeerEjectionPolicy.Ejection;
import dappleseam.router.NodeId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a proxy does by others' words: as far as its own answers, the bound and its turn allow. */
class HearsayTest {
    private final PeerEjectionPolicy hearsay = new PeerEjectionPolicy(new SplittableRandom(1));
    private final Map<NodeId, NodeState> caches = new HashMap<>();

    @BeforeEach
    void tenCaches() {
        for (int i = 0; i < 10; i++) {
            caches.put(new NodeId(i), new NodeState(5, 0, 0));
        }
    }

    private List<Ejection> decide(double now, int node, VerdictKind word, int turn) {
        List<Ejection> orders = hearsay.decide(now, List.of(new PeerVerdict(new NodeId(node), 5, word, 2, 0, turn)), caches);
        orders.forEach(o -> caches.put(o.node(), new NodeState(5, o.ejectedUntilMs(), caches.get(o.node()).lastAnswerAtMs())));
        return orders;
    }

    @Test
    void aHintPutsOnTrialAndAgreementSetsAside() {
        assertThat(decide(10_000, 1, VerdictKind.HINT, 0)).containsExactly(new Ejection(new NodeId(1), 5, 10_000));
        assertThat(decide(10_200, 1, VerdictKind.HINT, 0)).as("it is on trial already").isEmpty();
        assertThat(decide(10_400, 1, VerdictKind.FAILS, 0)).singleElement().satisfies(o -> assertThat(o.ejectedUntilMs()).isBetween(11_900.0, 12_900.0));
        assertThat(decide(13_000, 1, VerdictKind.FAILS, 0)).as("its turn has come: the next query tries it").isEmpty();
        assertThat(hearsay.isLocallyEjected(new NodeId(1), caches.get(new NodeId(1)).ejectedUntilMs())).isFalse();
        assertThat(hearsay.isLocallyEjected(new NodeId(1), 15_000)).as("set aside anew, by its own trial").isTrue();
    }

    @Test
    void anOwnAnswerWeighsMore() {
        caches.put(new NodeId(1), new NodeState(5, 0, 9_000));
        assertThat(decide(10_000, 1, VerdictKind.FAILS, 0)).isEmpty();
        assertThat(decide(10_600, 1, VerdictKind.FAILS, 0)).hasSize(1);
    }

    @Test
    void neverOverTwoFifthsTogetherAndAnotherProcessIsAnother() {
        for (int i = 0; i < 6; i++) {
            decide(10_000, i, i % 2 == 0 ? VerdictKind.FAILS : VerdictKind.HINT, 0);
        }
        assertThat(caches.values().stream().filter(h -> h.ejectedUntilMs() > 0)).hasSize(4);
        caches.put(new NodeId(9), new NodeState(6, 0, 0));
        assertThat(decide(20_000, 9, VerdictKind.FAILS, 0)).isEmpty();
    }

    @Test
    void whoseTurnIsLaterTriesLaterAndADeadTurnHolderCostsOneStep() {
        decide(10_000, 1, VerdictKind.FAILS, 2);
        double now = 10_000;
        while (caches.get(new NodeId(1)).ejectedUntilMs() > now) {
            now += 500;
            decide(now, 1, VerdictKind.FAILS, 2);
        }
        assertThat(now).isBetween(16_500.0, 18_000.0);
        caches.put(new NodeId(2), new NodeState(5, 0, 0));
        decide(20_000, 2, VerdictKind.FAILS, 150);
        for (now = 20_000; caches.get(new NodeId(2)).ejectedUntilMs() > now; now += 500) {
            decide(now, 2, VerdictKind.FAILS, 150);
        }
        assertThat(now).as("bounded, whatever its place").isLessThanOrEqualTo(53_000);
    }

    @Test
    void whatIsNoLongerSaidIsTriedAtOnceButNotWhatItFoundItself() {
        decide(10_000, 1, VerdictKind.FAILS, 9);
        assertThat(decide(10_500, 1, VerdictKind.WORKS, 0)).containsExactly(new Ejection(new NodeId(1), 5, 10_500));
        caches.put(new NodeId(2), new NodeState(5, 12_000, 0));
        assertThat(decide(10_500, 2, VerdictKind.WORKS, 0)).isEmpty();
    }
}
