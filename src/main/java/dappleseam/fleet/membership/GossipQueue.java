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
public final class GossipQueue<K, T> {
    /** An update is sent this many times for each doubling of the fleet size. */
    private static final int SENDS_PER_DOUBLING = 3;

    private final ToIntFunction<T> maxBytes;
    private final Predicate<T> urgent;
    private final Map<K, Queued<K, T>> byKey = new HashMap<>();
    private final TreeSet<Queued<K, T>> queue = new TreeSet<>();
    private long nextSequence;

    private static final class Queued<K, T> implements Comparable<Queued<K, T>> {
        final K key;
        final T item;
        final boolean urgent;
        final long sequence;
        int timesSent;

        Queued(K key, T item, boolean urgent, long sequence) {
            this.key = key;
            this.item = item;
            this.urgent = urgent;
            this.sequence = sequence;
        }

        @Override
        public int compareTo(Queued<K, T> other) {
            if (urgent != other.urgent) {
                return urgent ? -1 : 1;
            }
            return timesSent != other.timesSent ? Integer.compare(timesSent, other.timesSent) : Long.compare(other.sequence, sequence);
        }
    }

    /**
     * {@code maxBytes}: an upper bound of an item's size in a datagram; {@code urgent}: whether an item is sent before all items
     * that are not urgent.
     */
    public GossipQueue(ToIntFunction<T> maxBytes, Predicate<T> urgent) {
        this.maxBytes = maxBytes;
        this.urgent = urgent;
    }

    /** Queues an item and replaces an earlier one of the same key. */
    public void put(K key, T item) {
        remove(key);
        Queued<K, T> added = new Queued<>(key, item, urgent.test(item), nextSequence++);
        byKey.put(key, added);
        queue.add(added);
    }

    public void remove(K key) {
        Queued<K, T> previous = byKey.remove(key);
        if (previous != null) {
            queue.remove(previous);
        }
    }

    public void clear() {
        byKey.clear();
        queue.clear();
    }

    public boolean isEmpty() {
        return byKey.isEmpty();
    }

    /**
     * Takes the next items that fit into {@code limitBytes} and counts them as sent once. {@code members}: the number of possible
     * recipients, which determines how often an item is sent in all.
     */
    public List<T> takeBatch(int limitBytes, int members) {
        List<Queued<K, T>> batch = new ArrayList<>();
        int remaining = limitBytes;
        while (!queue.isEmpty() && maxBytes.applyAsInt(queue.first().item) <= remaining) {
            Queued<K, T> next = queue.pollFirst();
            batch.add(next);
            remaining -= maxBytes.applyAsInt(next.item);
        }
        int maxSends = SENDS_PER_DOUBLING * (Integer.SIZE - Integer.numberOfLeadingZeros(members + 1));
        List<T> items = new ArrayList<>(batch.size());
        for (Queued<K, T> next : batch) {
            items.add(next.item);
            if (++next.timesSent < maxSends) {
                queue.add(next);
            } else {
                byKey.remove(next.key);
            }
        }
        return items;
    }

    /** Passes each item and how often it was sent, in sending order. */
    public void forEach(ObjIntConsumer<T> action) {
        queue.forEach(queued -> action.accept(queued.item, queued.timesSent));
    }
}
