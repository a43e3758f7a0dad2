package dappleseam.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ObjIntConsumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Updates that still have to be gossiped, at most one per key. Each is sent a number of times that grows with the logarithm of the
 * fleet size (rumor mongering, Demers et al. 1987). Those sent least often go first, and the newest among them. Not thread-safe.
 */
public final class Rumours<K, T> {
    /** An update is sent this many times for each doubling of the fleet size. */
    private static final int TELLINGS = 3;

    private final ToIntFunction<T> bytes;
    private final Predicate<T> urgent;
    private final Map<K, Rumour<K, T>> byKey = new HashMap<>();
    private final TreeSet<Rumour<K, T>> leastTold = new TreeSet<>();
    private long begun;

    private static final class Rumour<K, T> implements Comparable<Rumour<K, T>> {
        final K key;
        final T item;
        final boolean urgent;
        final long number;
        int told;

        Rumour(K key, T item, boolean urgent, long number) {
            this.key = key;
            this.item = item;
            this.urgent = urgent;
            this.number = number;
        }

        @Override
        public int compareTo(Rumour<K, T> other) {
            if (urgent != other.urgent) {
                return urgent ? -1 : 1;
            }
            return told != other.told ? Integer.compare(told, other.told) : Long.compare(other.number, number);
        }
    }

    /**
     * {@code maxBytes}: an upper bound of an item's size in a datagram; {@code urgent}: whether an item is sent before all items
     * that are not urgent.
     */
    public Rumours(ToIntFunction<T> bytes, Predicate<T> urgent) {
        this.bytes = bytes;
        this.urgent = urgent;
    }

    /** Queues an item and replaces an earlier one of the same key. */
    public void put(K key, T item) {
        remove(key);
        Rumour<K, T> rumour = new Rumour<>(key, item, urgent.test(item), begun++);
        byKey.put(key, rumour);
        leastTold.add(rumour);
    }

    public void remove(K key) {
        Rumour<K, T> before = byKey.remove(key);
        if (before != null) {
            leastTold.remove(before);
        }
    }

    public void clear() {
        byKey.clear();
        leastTold.clear();
    }

    public boolean isEmpty() {
        return byKey.isEmpty();
    }

    /**
     * Takes the next items that fit into {@code limitBytes} and counts them as sent once. {@code members}: the number of possible
     * recipients, which determines how often an item is sent in all.
     */
    public List<T> tell(int roomBytes, int members) {
        List<Rumour<K, T>> told = new ArrayList<>();
        int room = roomBytes;
        while (!leastTold.isEmpty() && bytes.applyAsInt(leastTold.first().item) <= room) {
            Rumour<K, T> rumour = leastTold.pollFirst();
            told.add(rumour);
            room -= bytes.applyAsInt(rumour.item);
        }
        int most = TELLINGS * (Integer.SIZE - Integer.numberOfLeadingZeros(members + 1));
        List<T> items = new ArrayList<>(told.size());
        for (Rumour<K, T> rumour : told) {
            items.add(rumour.item);
            if (++rumour.told < most) {
                leastTold.add(rumour);
            } else {
                byKey.remove(rumour.key);
            }
        }
        return items;
    }

    /** Passes each item and how often it was sent, in sending order. */
    public void forEach(ObjIntConsumer<T> each) {
        leastTold.forEach(rumour -> each.accept(rumour.item, rumour.told));
    }
}
