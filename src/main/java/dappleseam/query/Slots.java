package dappleseam.query;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * A table of numbered slots. A number consists of the slot's index and its generation, so that a stale number finds nothing instead of
 * the slot's next value.
 */
public final class Slots<T> {
    private static final int INDEX_BITS = 12;
    private static final int MAX_SLOTS = 1 << INDEX_BITS;

    private final List<T> held = new ArrayList<>();
    private final List<Integer> numbers = new ArrayList<>();
    private final ArrayDeque<Integer> free = new ArrayDeque<>();

    /** Whether {@code most} slots, or all slots of the table, are used. */
    public boolean isFull(int most) {
        return used() >= Math.min(most, MAX_SLOTS);
    }

    /** Stores a value and returns its number; the table must not be full. */
    public int put(T value) {
        if (free.isEmpty()) {
            free.addLast(held.size());
            numbers.add(held.size());
            held.add(null);
        }
        int index = free.pollLast();
        held.set(index, value);
        return numbers.get(index);
    }

    /** The value with this number; null if it was freed. */
    public T get(int number) {
        int index = number & MAX_SLOTS - 1;
        return index < held.size() && numbers.get(index) == number ? held.get(index) : null;
    }

    public void free(int number) {
        if (get(number) != null) {
            int index = number & MAX_SLOTS - 1;
            held.set(index, null);
            numbers.set(index, number + MAX_SLOTS);
            free.addLast(index);
        }
    }

    public int used() {
        return held.size() - free.size();
    }

    /** A copy of the current values in the order of the slots; the table may change while it is iterated. */
    public List<T> all() {
        List<T> all = new ArrayList<>(used());
        for (T value : held) {
            if (value != null) {
                all.add(value);
            }
        }
        return all;
    }
}
