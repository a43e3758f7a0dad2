package dappleseam.router;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;

/**
 * Consistent-hash ring: the tokens of all caches in use, ordered by position. It depends only on the ids and weights of the caches, so
 * that proxies with the same list agree. New tokens are merged into the existing ones and removed caches are taken out in one pass, so a
 * change never sorts the whole ring again.
 */
final class Ring {
    /** Tokens of the largest cache. The deviation of the ring shares falls with the square root of this number. */
    private static final int TOKENS = 256;
    /** Low bits of an entry that hold the slot of the cache: allows 4096 caches and leaves 52 bits of position. */
    private static final int SLOT_BITS = 12;
    private static final int MAX_CACHES = 1 << SLOT_BITS;
    /** The ring is divided into arcs with arrays of their own, so that an insertion moves the tokens of one arc: some hundreds in a fleet of
     * thousands. */
    private static final int ARC_BITS = 10;
    private static final int ARCS = 1 << ARC_BITS;
    /** Rounding slack that keeps a weight of exactly a power of two in its class. */
    private static final double ROUNDING_SLACK = 1e-9;
    /** Initial capacity of an arc, allocated with its first token. */
    private static final int INITIAL_ARC_CAPACITY = 4;

    /** Sorted entries by arc; an entry is a position with the slot of its cache in the low bits. */
    private final long[][] arcs = new long[ARCS][];
    private final int[] counts = new int[ARCS];
    /** Number of unsorted entries after the sorted ones, waiting for {@link #mergeAppended}. */
    private final int[] appended = new int[ARCS];
    private final Node[] caches = new Node[MAX_CACHES];
    private final ArrayDeque<Integer> freeSlots = new ArrayDeque<>();
    private int usedSlots;
    private int size;
    /** The weight that has {@link #TOKENS} tokens: a power of two, so that tokens change only when the largest weight enters another class. */
    private double unitWeight = 1;
    private int walkArc;
    private int nextToken;

    /** Number of tokens of all caches. */
    int size() {
        return size;
    }

    /** Sets the largest weight of all caches in use; to be called before caches of another class are put. Rebuilds the ring if needed. */
    void setLargestWeight(double largestWeight) {
        double newUnit = Math.pow(2, Math.ceil(Math.log(largestWeight) / Math.log(2) - ROUNDING_SLACK));
        if (newUnit != unitWeight) {
            unitWeight = newUnit;
            clear();
            for (int slot = 0; slot < usedSlots; slot++) {
                if (caches[slot] != null) {
                    put(caches[slot]);
                }
            }
            mergeAppended();
        }
    }

    private void clear() {
        Arrays.fill(counts, 0);
        size = 0;
        for (int slot = 0; slot < usedSlots; slot++) {
            if (caches[slot] != null) {
                caches[slot].ringTokens = 0;
            }
        }
    }

    private int tokenCount(Node cache) {
        return (int) Math.max(1, Math.round(TOKENS * cache.weight / unitWeight));
    }

    /** Adds a cache or updates its weight; a walk sees it after {@link #mergeAppended}. */
    void put(Node cache) {
        if (cache.ringSlot < 0) {
            if (freeSlots.isEmpty() && usedSlots == MAX_CACHES) {
                return; // more caches than there are slots
            }
            cache.ringSlot = freeSlots.isEmpty() ? usedSlots++ : freeSlots.pop();
            caches[cache.ringSlot] = cache;
        }
        // Tokens are the same at every proxy, and a smaller weight uses a prefix of the same sequence.
        int count = tokenCount(cache);
        for (; cache.ringTokens < count; cache.ringTokens++) {
            append(token(cache, cache.ringTokens), cache);
        }
        for (; cache.ringTokens > count; cache.ringTokens--) {
            delete(token(cache, cache.ringTokens - 1), cache);
        }
    }

    /** Removes caches; ignores those that are not in the ring. */
    void remove(Collection<Node> leaving) {
        boolean[] isLeaving = new boolean[MAX_CACHES];
        boolean any = false;
        for (Node cache : leaving) {
            if (cache.ringSlot >= 0) {
                any = true;
                isLeaving[cache.ringSlot] = true;
                caches[cache.ringSlot] = null;
                freeSlots.push(cache.ringSlot);
                cache.ringSlot = -1;
                cache.ringTokens = 0;
            }
        }
        for (int arc = 0; any && arc < ARCS; arc++) {
            int kept = 0;
            for (int at = 0; at < counts[arc]; at++) {
                long entry = arcs[arc][at];
                if (!isLeaving[(int) entry & MAX_CACHES - 1]) {
                    arcs[arc][kept++] = entry;
                }
            }
            size -= counts[arc] - kept;
            counts[arc] = kept;
        }
    }

    private static long token(Node cache, int number) {
        return Hash.mix(cache.seed + number);
    }

    private static int arcOf(long hash) {
        return (int) ((hash ^ Long.MIN_VALUE) >>> Long.SIZE - ARC_BITS);
    }

    /** Appends a token to its arc, to be merged later together with others. */
    private void append(long token, Node cache) {
        int arc = arcOf(token);
        int at = counts[arc] + appended[arc];
        if (arcs[arc] == null) {
            arcs[arc] = new long[INITIAL_ARC_CAPACITY];
        } else if (at == arcs[arc].length) {
            arcs[arc] = Arrays.copyOf(arcs[arc], 2 * at);
        }
        arcs[arc][at] = token >> SLOT_BITS << SLOT_BITS | cache.ringSlot;
        appended[arc]++;
        size++;
    }

    /** Merges the entries appended since the last call into the sorted ones. */
    void mergeAppended() {
        for (int arc = 0; arc < ARCS; arc++) {
            if (appended[arc] > 0) {
                merge(arcs[arc], counts[arc], appended[arc]);
                counts[arc] += appended[arc];
                appended[arc] = 0;
            }
        }
    }

    /** Merges the {@code more} entries that follow the {@code sorted} ones into them, from the end backwards. */
    private void merge(long[] entries, int sorted, int more) {
        long[] added = sortedCopy(entries, sorted, sorted + more);
        int end = sorted;
        for (int from = more - 1; from >= 0; from--) {
            int at = firstAfter(entries, end, added[from]);
            System.arraycopy(entries, at, entries, at + from + 1, end - at);
            entries[at + from] = added[from];
            end = at;
        }
    }

    /** Index of the first among {@code count} entries that sorts after {@code entry}. */
    private int firstAfter(long[] entries, int count, long entry) {
        long position = entry >> SLOT_BITS;
        int low = 0;
        int high = count;
        while (low < high) {
            int middle = low + high >>> 1;
            long there = entries[middle] >> SLOT_BITS;
            if (position < there || position == there && isBefore(entry, entries[middle])) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    private long[] sortedCopy(long[] entries, int from, int to) {
        long[] copy = Arrays.copyOfRange(entries, from, to);
        Arrays.sort(copy);
        for (int i = 1; i < copy.length; i++) { // at equal positions the lowest cache id comes first, independent of slots
            for (int at = i; at > 0 && isBefore(copy[at], copy[at - 1]); at--) {
                long before = copy[at - 1];
                copy[at - 1] = copy[at];
                copy[at] = before;
            }
        }
        return copy;
    }

    private boolean isBefore(long entry, long other) {
        long position = entry >> SLOT_BITS;
        long otherPosition = other >> SLOT_BITS;
        return position != otherPosition ? position < otherPosition : owner(entry).id.value() < owner(other).id.value();
    }

    private void delete(long token, Node cache) {
        mergeAppended();
        int arc = arcOf(token);
        long entry = token >> SLOT_BITS << SLOT_BITS | cache.ringSlot;
        int at = firstAtOrAfter(arc, token);
        while (arcs[arc][at] != entry) {
            at++;
        }
        counts[arc]--;
        size--;
        System.arraycopy(arcs[arc], at + 1, arcs[arc], at, counts[arc] - at);
    }

    private Node owner(long entry) {
        return caches[(int) entry & MAX_CACHES - 1];
    }

    /** Index of the arc's first entry whose position is at or after that of the hash. */
    private int firstAtOrAfter(int arc, long hash) {
        long position = hash >> SLOT_BITS;
        int low = 0;
        int high = counts[arc];
        while (low < high) {
            int middle = low + high >>> 1;
            if (arcs[arc][middle] >> SLOT_BITS < position) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Starts a clockwise walk at a hash. */
    void seek(long hash) {
        walkArc = arcOf(hash);
        nextToken = firstAtOrAfter(walkArc, hash);
    }

    /** The cache of the next token of the walk. The ring must not be empty. */
    Node nextToken() {
        while (nextToken >= counts[walkArc]) {
            walkArc = walkArc + 1 & ARCS - 1;
            nextToken = 0;
        }
        return owner(arcs[walkArc][nextToken++]);
    }
}
