package dappleseam.fleet.share;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.share.Hearsay.Held;
import dappleseam.fleet.share.Hearsay.Order;
import dappleseam.router.NodeId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Ejections by verdicts of other members, limited by own answers, the maximum fraction and the retry rank. */
class HearsayTest {
    private final Hearsay hearsay = new Hearsay(new SplittableRandom(1));
    private final Map<NodeId, Held> caches = new HashMap<>();

    @BeforeEach
    void tenCaches() {
        for (int i = 0; i < 10; i++) {
            caches.put(new NodeId(i), new Held(5, 0, 0));
        }
    }

    private List<Order> decide(double now, int node, Word word, int turn) {
        List<Order> orders = hearsay.decide(now, List.of(new Said(new NodeId(node), 5, word, 2, 0, turn)), caches);
        orders.forEach(o -> caches.put(o.node(), new Held(5, o.asideUntilMs(), caches.get(o.node()).heardAtMs())));
        return orders;
    }

    @Test
    void aHintPutsOnTrialAndAgreementSetsAside() {
        assertThat(decide(10_000, 1, Word.HINT, 0)).containsExactly(new Order(new NodeId(1), 5, 10_000));
        assertThat(decide(10_200, 1, Word.HINT, 0)).as("already on trial").isEmpty();
        assertThat(decide(10_400, 1, Word.FAILS, 0)).singleElement().satisfies(o -> assertThat(o.asideUntilMs()).isBetween(11_900.0, 12_900.0));
        assertThat(decide(13_000, 1, Word.FAILS, 0)).as("its turn has come, so the next query tries it").isEmpty();
        assertThat(hearsay.isOwn(new NodeId(1), caches.get(new NodeId(1)).asideUntilMs())).isFalse();
        assertThat(hearsay.isOwn(new NodeId(1), 15_000)).as("ejected again, by its own trial").isTrue();
    }

    @Test
    void anOwnAnswerWeighsMore() {
        caches.put(new NodeId(1), new Held(5, 0, 9_000));
        assertThat(decide(10_000, 1, Word.FAILS, 0)).isEmpty();
        assertThat(decide(10_600, 1, Word.FAILS, 0)).hasSize(1);
    }

    @Test
    void neverOverTwoFifthsTogetherAndAnotherProcessIsAnother() {
        for (int i = 0; i < 6; i++) {
            decide(10_000, i, i % 2 == 0 ? Word.FAILS : Word.HINT, 0);
        }
        assertThat(caches.values().stream().filter(h -> h.asideUntilMs() > 0)).hasSize(4);
        caches.put(new NodeId(9), new Held(6, 0, 0));
        assertThat(decide(20_000, 9, Word.FAILS, 0)).isEmpty();
    }

    @Test
    void whoseTurnIsLaterTriesLaterAndADeadTurnHolderCostsOneStep() {
        decide(10_000, 1, Word.FAILS, 2);
        double now = 10_000;
        while (caches.get(new NodeId(1)).asideUntilMs() > now) {
            now += 500;
            decide(now, 1, Word.FAILS, 2);
        }
        assertThat(now).isBetween(16_500.0, 18_000.0);
        caches.put(new NodeId(2), new Held(5, 0, 0));
        decide(20_000, 2, Word.FAILS, 150);
        for (now = 20_000; caches.get(new NodeId(2)).asideUntilMs() > now; now += 500) {
            decide(now, 2, Word.FAILS, 150);
        }
        assertThat(now).as("bounded for any rank").isLessThanOrEqualTo(53_000);
    }

    @Test
    void whatIsNoLongerSaidIsTriedAtOnceButNotWhatItFoundItself() {
        decide(10_000, 1, Word.FAILS, 9);
        assertThat(decide(10_500, 1, Word.WORKS, 0)).containsExactly(new Order(new NodeId(1), 5, 10_500));
        caches.put(new NodeId(2), new Held(5, 12_000, 0));
        assertThat(decide(10_500, 2, Word.WORKS, 0)).isEmpty();
    }
}
