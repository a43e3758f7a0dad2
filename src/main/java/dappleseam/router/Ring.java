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
    private static final int SLOTS = 1 << SLOT_BITS;
    /** The ring is divided into arcs with arrays of their own, so that an insertion moves the tokens of one arc: some hundreds in a fleet of
     * thousands. */
    private static final int ARC_BITS = 10;
    private static final int ARCS = 1 << ARC_BITS;
    /** Rounding slack that keeps a weight of exactly a power of two in its class. */
    private static final double ROUNDING = 1e-9;
    /** Initial capacity of an arc, allocated with its first token. */
    private static final int FIRST_ROOM = 4;

    /** Sorted entries by arc; an entry is a position with the slot of its cache in the low bits. */
    private final long[][] arcs = new long[ARCS][];
    private final int[] counts = new int[ARCS];
    /** Number of unsorted entries after the sorted ones, waiting for {@link #mergeAppended}. */
    private final int[] appended = new int[ARCS];
    private final Node[] caches = new Node[SLOTS];
    private final ArrayDeque<Integer> freeSlots = new ArrayDeque<>();
    private int usedSlots;
    private int size;
    /** The weight that has {@link #TOKENS} tokens: a power of two, so that tokens change only when the largest weight enters another class. */
    private double unit = 1;
    private int arc;
    private int next;

    /** Number of tokens of all caches. */
    int size() {
        return size;
    }

    /** Sets the largest weight of all caches in use; to be called before caches of another class are put. Rebuilds the ring if needed. */
    void fit(double largestScale) {
        double fitting = Math.pow(2, Math.ceil(Math.log(largestScale) / Math.log(2) - ROUNDING));
        if (fitting != unit) {
            unit = fitting;
            clear();
            for (int slot = 0; slot < usedSlots; slot++) {
                if (caches[slot] != null) {
                    put(caches[slot]);
                }
            }
            settle();
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

    private int tokens(Node cache) {
        return (int) Math.max(1, Math.round(TOKENS * cache.scale / unit));
    }

    /** Adds a cache or updates its weight; a walk sees it after {@link #mergeAppended}. */
    void put(Node cache) {
        if (cache.ringSlot < 0) {
            if (freeSlots.isEmpty() && usedSlots == SLOTS) {
                return; // more caches than there are slots
            }
            cache.ringSlot = freeSlots.isEmpty() ? usedSlots++ : freeSlots.pop();
            caches[cache.ringSlot] = cache;
        }
        // Tokens are the same at every proxy, and a smaller weight uses a prefix of the same sequence.
        int count = tokens(cache);
        for (; cache.ringTokens < count; cache.ringTokens++) {
            append(token(cache, cache.ringTokens), cache);
        }
        for (; cache.ringTokens > count; cache.ringTokens--) {
            delete(token(cache, cache.ringTokens - 1), cache);
        }
    }

    /** Removes caches; ignores those that are not in the ring. */
    void remove(Collection<Node> leaving) {
        boolean[] leaves = new boolean[SLOTS];
        boolean any = false;
        for (Node cache : leaving) {
            if (cache.ringSlot >= 0) {
                any = true;
                leaves[cache.ringSlot] = true;
                caches[cache.ringSlot] = null;
                freeSlots.push(cache.ringSlot);
                cache.ringSlot = -1;
                cache.ringTokens = 0;
            }
        }
        for (int in = 0; any && in < ARCS; in++) {
            int kept = 0;
            for (int at = 0; at < counts[in]; at++) {
                long entry = arcs[in][at];
                if (!leaves[(int) entry & SLOTS - 1]) {
                    arcs[in][kept++] = entry;
                }
            }
            size -= counts[in] - kept;
            counts[in] = kept;
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
        int in = arcOf(token);
        int at = counts[in] + appended[in];
        if (arcs[in] == null) {
            arcs[in] = new long[FIRST_ROOM];
        } else if (at == arcs[in].length) {
            arcs[in] = Arrays.copyOf(arcs[in], 2 * at);
        }
        arcs[in][at] = token >> SLOT_BITS << SLOT_BITS | cache.ringSlot;
        appended[in]++;
        size++;
    }

    /** Merges the entries appended since the last call into the sorted ones. */
    void settle() {
        for (int in = 0; in < ARCS; in++) {
            if (appended[in] > 0) {
                merge(arcs[in], counts[in], appended[in]);
                counts[in] += appended[in];
                appended[in] = 0;
            }
        }
    }

    /** Merges the {@code more} entries that follow the {@code sorted} ones into them, from the end backwards. */
    private void merge(long[] entries, int sorted, int more) {
        long[] added = sortedCopy(entries, sorted, sorted + more);
        int end = sorted;
        for (int from = more - 1; from >= 0; from--) {
            int at = firstBehind(entries, end, added[from]);
            System.arraycopy(entries, at, entries, at + from + 1, end - at);
            entries[at + from] = added[from];
            end = at;
        }
    }

    /** Index of the first among {@code count} entries that sorts after {@code entry}. */
    private int firstBehind(long[] entries, int count, long entry) {
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
        settle();
        int in = arcOf(token);
        long entry = token >> SLOT_BITS << SLOT_BITS | cache.ringSlot;
        int at = firstFrom(in, token);
        while (arcs[in][at] != entry) {
            at++;
        }
        counts[in]--;
        size--;
        System.arraycopy(arcs[in], at + 1, arcs[in], at, counts[in] - at);
    }

    private Node owner(long entry) {
        return caches[(int) entry & SLOTS - 1];
    }

    /** Index of the arc's first entry whose position is at or after that of the hash. */
    private int firstFrom(int in, long hash) {
        long position = hash >> SLOT_BITS;
        int low = 0;
        int high = counts[in];
        while (low < high) {
            int middle = low + high >>> 1;
            if (arcs[in][middle] >> SLOT_BITS < position) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Starts a clockwise walk at a hash. */
    void seek(long hash) {
        arc = arcOf(hash);
        next = firstFrom(arc, hash);
    }

    /** The cache of the next token of the walk. The ring must not be empty. */
    Node next() {
        while (next >= counts[arc]) {
            arc = arc + 1 & ARCS - 1;
            next = 0;
        }
        return owner(arcs[arc][next++]);
    }
}
