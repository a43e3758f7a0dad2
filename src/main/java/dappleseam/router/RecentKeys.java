package dappleseam.router;

import java.util.LinkedHashMap;
import java.util.Map;

/** The cache that last answered for each of the keys asked for most recently. */
final class RecentKeys extends LinkedHashMap<Key, Node> {
    private static final long serialVersionUID = 1L;

    private final int most;

    RecentKeys(int most) {
        super(64, 0.75f, true);
        this.most = most;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Key, Node> eldest) {
        return size() > most;
    }
}
