package dappleseam.router;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;

/**
 * The consistent-hash ring: the tokens of all caches in use, in the order of their positions. It depends on the caches' ids and scales
 * alone, so that proxies with one list agree. What comes is merged into what is there, what goes is taken out in one pass: nothing is sorted anew.
 */
final class Ring {
    /** Tokens of the largest cache: the spread of ring shares falls with their root. */
    private static final int TOKENS = 256;
    /** Bits of an entry that name the cache; allows 4096 caches and leaves 52 bits of position. */
    private static final int SLOT_BITS = 12;
    private static final int SLOTS = 1 << SLOT_BITS;
    /** Arcs that are kept apart, so that an insertion moves one arc's tokens: some hundreds in a fleet of thousands. */
    private static final int ARC_BITS = 10;
    private static final int ARCS = 1 << ARC_BITS;
    /** Slack that keeps a scale of just a power of two in its class. */
    private static final double ROUNDING = 1e-9;
    /** Room of an arc when its first token comes. */
    private static final int FIRST_ROOM = 4;

    /** By arc, in order; an entry is a position with the slot of its cache in the low bits. */
    private final long[][] arcs = new long[ARCS][];
    private final int[] counts = new int[ARCS];
    /** Entries behind those, put and not settled yet. */
    private final int[] appended = new int[ARCS];
    private final Node[] caches = new Node[SLOTS];
    private final ArrayDeque<Integer> freeSlots = new ArrayDeque<>();
    private int usedSlots;
    private int size;
    /** The scale that has {@link #TOKENS}: a power of two, so that tokens change only when the largest cache's class does. */
    private double unit = 1;
    private int arc;
    private int next;

    /** Tokens in all. */
    int size() {
        return size;
    }

    /** The largest scale of all caches in use; to be told before caches of another class are put. */
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

    /** A cache is in use, with the scale that it has now; to be walked once it is {@link #settle settled}. */
    void put(Node cache) {
        if (cache.ringSlot < 0) {
            if (freeSlots.isEmpty() && usedSlots == SLOTS) {
                return; // more caches than a ring can name
            }
            cache.ringSlot = freeSlots.isEmpty() ? usedSlots++ : freeSlots.pop();
            caches[cache.ringSlot] = cache;
        }
        // The same tokens at every proxy, and fewer of the same where the scale is smaller.
        int count = tokens(cache);
        for (; cache.ringTokens < count; cache.ringTokens++) {
            append(token(cache, cache.ringTokens), cache);
        }
        for (; cache.ringTokens > count; cache.ringTokens--) {
            delete(token(cache, cache.ringTokens - 1), cache);
        }
    }

    /** Caches are not in use any more; those that were not are passed over. */
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

    /** Behind the arc's tokens, to be sorted in with the others that come. */
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

    /** Sorts in what was put since the last time. */
    void settle() {
        for (int in = 0; in < ARCS; in++) {
            if (appended[in] > 0) {
                merge(arcs[in], counts[in], appended[in]);
                counts[in] += appended[in];
                appended[in] = 0;
            }
        }
    }

    /** Merges so many entries behind the sorted ones into them, from the end on. */
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

    /** Among the first so many entries, the first that the one named comes before. */
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
        for (int i = 1; i < copy.length; i++) { // of caches at one position the lowest id comes first, whatever its slot
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

    /** In an arc, the first entry whose position is that of the hash or behind it. */
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

    /** Begins a walk clockwise from a hash. */
    void seek(long hash) {
        arc = arcOf(hash);
        next = firstFrom(arc, hash);
    }

    /** The cache of the next token of the walk; of a ring that is not empty. */
    Node next() {
        while (next >= counts[arc]) {
            arc = arc + 1 & ARCS - 1;
            next = 0;
        }
        return owner(arcs[arc][next++]);
    }
}
