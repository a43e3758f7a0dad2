package dappleseam.router;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * The consistent-hash ring: the tokens of all caches in use, in the order of their positions. It depends on the caches' ids and scales
 * alone, so that proxies with one list agree, and it is changed by what has changed: the cost of a cache that comes or goes does not grow
 * with the number of the others.
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
            for (int slot = 0; slot < usedSlots; slot++) {
                if (caches[slot] != null) {
                    place(caches[slot], tokens(caches[slot]));
                }
            }
        }
    }

    private int tokens(Node cache) {
        return (int) Math.max(1, Math.round(TOKENS * cache.scale / unit));
    }

    /** A cache is in use, with the scale that it has now. */
    void put(Node cache) {
        if (cache.ringSlot < 0) {
            if (freeSlots.isEmpty() && usedSlots == SLOTS) {
                return; // more caches than a ring can name
            }
            cache.ringSlot = freeSlots.isEmpty() ? usedSlots++ : freeSlots.pop();
            caches[cache.ringSlot] = cache;
        }
        place(cache, tokens(cache));
    }

    /** A cache is not in use any more; nothing where it was not. */
    void remove(Node cache) {
        if (cache.ringSlot >= 0) {
            place(cache, 0);
            caches[cache.ringSlot] = null;
            freeSlots.push(cache.ringSlot);
            cache.ringSlot = -1;
        }
    }

    /** The same tokens at every proxy, and fewer of the same where the scale is smaller. */
    private void place(Node cache, int count) {
        for (; cache.ringTokens < count; cache.ringTokens++) {
            insert(token(cache, cache.ringTokens), cache);
        }
        for (; cache.ringTokens > count; cache.ringTokens--) {
            delete(token(cache, cache.ringTokens - 1), cache);
        }
    }

    private static long token(Node cache, int number) {
        return Hash.mix(cache.seed + number);
    }

    private static int arcOf(long hash) {
        return (int) ((hash ^ Long.MIN_VALUE) >>> Long.SIZE - ARC_BITS);
    }

    private void insert(long token, Node cache) {
        int in = arcOf(token);
        int at = firstFrom(in, token);
        long position = token >> SLOT_BITS;
        while (at < counts[in] && arcs[in][at] >> SLOT_BITS == position && owner(arcs[in][at]).id.value() < cache.id.value()) {
            at++; // of caches at one position the lowest id comes first
        }
        if (arcs[in] == null) {
            arcs[in] = new long[FIRST_ROOM];
        } else if (counts[in] == arcs[in].length) {
            arcs[in] = Arrays.copyOf(arcs[in], 2 * counts[in]);
        }
        System.arraycopy(arcs[in], at, arcs[in], at + 1, counts[in] - at);
        arcs[in][at] = position << SLOT_BITS | cache.ringSlot;
        counts[in]++;
        size++;
    }

    private void delete(long token, Node cache) {
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
