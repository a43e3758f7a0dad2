package dappleseam.router;

import java.util.LinkedHashMap;
import java.util.Map;

/** LRU map with statistics of the most recently queried keys. */
final class RecentKeys extends LinkedHashMap<Key, RecentKeys.KeyStats> {
    private static final long serialVersionUID = 1L;

    private final int capacity;

    RecentKeys(int capacity) {
        super(64, 0.75f, true);
        this.capacity = capacity;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Key, KeyStats> eldest) {
        return size() > capacity;
    }

    /** Statistics of one key: its share of this proxy's queries, the cache that last answered, and the last miss. */
    static final class KeyStats {
        final DecayingShare share;
        Node heldBy;
        double missedAt = Double.NEGATIVE_INFINITY;

        KeyStats(DecayingShare share) {
            this.share = share;
        }

        void update(Outcome outcome, Node node, double atMs) {
            heldBy = outcome == Outcome.COMPLETED ? node : heldBy;
            missedAt = outcome == Outcome.MISS ? atMs
                    : outcome == Outcome.COMPLETED ? Double.NEGATIVE_INFINITY : missedAt;
        }
    }
}
