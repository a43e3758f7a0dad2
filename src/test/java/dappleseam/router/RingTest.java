package dappleseam.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An incrementally changed ring equals one that is built from scratch. */
class RingTest {
    private static final int TOKENS = 256;
    private static final int SLOT_BITS = 12;

    private static Node cache(long id, double weight) {
        Node cache = new Node(new NodeId(id), false, new OutcomeCounts(1, 1), new Limit(1, 1), new DecayingShare(1));
        cache.weight = weight;
        return cache;
    }

    /** The owners of all tokens in order, built from scratch: the tokens of a cache are hashes of its id and the token number. */
    private static List<Long> expectedOwners(Collection<Node> caches) {
        List<Node> sorted = caches.stream().sorted(Comparator.comparingLong(n -> n.id.value())).toList();
        double largest = sorted.stream().mapToDouble(n -> n.weight).max().orElse(1);
        double unit = Math.pow(2, Math.ceil(Math.log(largest) / Math.log(2) - 1e-9));
        List<Long> tokens = new ArrayList<>();
        for (int i = 0; i < sorted.size(); i++) {
            for (int t = 0; t < Math.max(1, Math.round(TOKENS * sorted.get(i).weight / unit)); t++) {
                tokens.add(Hash.mix(sorted.get(i).seed + t) >> SLOT_BITS << SLOT_BITS | i);
            }
        }
        return tokens.stream().sorted().map(token -> sorted.get((int) (token & (1 << SLOT_BITS) - 1)).id.value()).toList();
    }

    private static List<Long> ownersInOrder(Ring ring) {
        List<Long> owners = new ArrayList<>();
        ring.seek(Long.MIN_VALUE);
        for (int i = 0; i < ring.size(); i++) {
            owners.add(ring.nextToken().id.value());
        }
        return owners;
    }

    private static double randomWeight(SplittableRandom random) {
        return random.nextInt(30) == 0 ? 9 : 0.2 + 3.5 * random.nextDouble(); // the largest class comes and goes
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomChangesGiveTheSameRingAsBuildingItAnew(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Ring ring = new Ring();
        Map<Long, Node> caches = new TreeMap<>();
        for (int step = 0; step < 150; step++) {
            List<Node> put = new ArrayList<>();
            for (int i = random.nextInt(4); i >= 0; i--) {
                long id = random.nextLong(60) - 30;
                Node known = caches.get(id);
                if (known != null && random.nextBoolean()) {
                    ring.remove(List.of(caches.remove(id)));
                } else {
                    Node changed = known == null ? cache(id, 1) : known;
                    changed.weight = randomWeight(random);
                    caches.put(id, changed);
                    put.add(changed);
                }
            }
            ring.setLargestWeight(caches.values().stream().mapToDouble(n -> n.weight).max().orElse(1));
            put.stream().filter(n -> caches.get(n.id.value()) == n).forEach(ring::put);
            ring.mergeAppended();
            assertThat(ownersInOrder(ring)).isEqualTo(expectedOwners(caches.values()));
        }
    }

    /** A walk starts with the first token at or after its hash, and wraps around. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 15, 300})
    void aWalkStartsAtItsHashAndWrapsAround(int count) {
        Ring ring = new Ring();
        List<Node> caches = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            caches.add(cache(i, 1));
        }
        caches.forEach(ring::put);
        ring.mergeAppended();
        List<Long> owners = expectedOwners(caches);
        long[] positions = caches.stream().flatMapToLong(n -> Arrays.stream(tokens(n))).map(t -> t >> SLOT_BITS).sorted().toArray();
        SplittableRandom random = new SplittableRandom(count);
        for (int i = 0; i < 300; i++) {
            long hash = i == 0 ? Long.MIN_VALUE : i == 1 ? Long.MAX_VALUE : random.nextLong();
            int found = Arrays.binarySearch(positions, hash >> SLOT_BITS);
            int at = found < 0 ? -found - 1 : found;
            ring.seek(hash);
            for (int step = 0; step < 5; step++) {
                assertThat(ring.nextToken().id.value()).isEqualTo(owners.get((at + step) % owners.size()));
            }
        }
    }

    private static long[] tokens(Node cache) {
        long[] tokens = new long[TOKENS];
        Arrays.setAll(tokens, t -> Hash.mix(cache.seed + t));
        return tokens;
    }
}
