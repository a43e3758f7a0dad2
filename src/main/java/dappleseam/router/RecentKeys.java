package dappleseam.router;

import java.util.LinkedHashMap;
import java.util.Map;

/** LRU map with statistics of the most recently queried keys. */
final class RecentKeys extends LinkedHashMap<Key, RecentKeys.Asked> {
    private static final long serialVersionUID = 1L;

    private final int most;

    RecentKeys(int most) {
        super(64, 0.75f, true);
        this.most = most;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Key, Asked> eldest) {
        return size() > most;
    }

    /** Statistics of one key: its share of this proxy's queries, the cache that last answered, and the last miss. */
    static final class Asked {
        final Share share;
        Node heldBy;
        double missedAt = Double.NEGATIVE_INFINITY;

        Asked(Share share) {
            this.share = share;
        }

        void told(Outcome outcome, Node node, double atMs) {
            heldBy = outcome == Outcome.COMPLETED ? node : heldBy;
            missedAt = outcome == Outcome.MISS ? atMs
                    : outcome == Outcome.COMPLETED ? Double.NEGATIVE_INFINITY : missedAt;
        }
    }
}
