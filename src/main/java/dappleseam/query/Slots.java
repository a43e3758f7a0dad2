package dappleseam.query;

import java.util.ArrayList;
import java.util.List;

/**
 * A table of numbered slots. The number handed out names the slot and how often it was used, so that a
 * number kept too long finds nothing rather than the slot's next holder.
 */
public final class Slots<T> {
    private static final int INDEX_BITS = 12;
    private static final int MOST = 1 << INDEX_BITS;

    private final List<T> held = new ArrayList<>();
    private final List<Integer> numbers = new ArrayList<>();
    private final int[] free = new int[MOST];
    private int freeCount;
    private int used;

    /** Whether there is no slot left, of the table's or of as many as {@code most}. */
    public boolean isFull(int most) {
        return used >= Math.min(most, MOST);
    }

    public int put(T value) {
        int index;
        if (freeCount > 0) {
            index = free[--freeCount];
        } else {
            index = held.size();
            held.add(null);
            numbers.add(index);
        }
        held.set(index, value);
        used++;
        return numbers.get(index);
    }

    public T get(int number) {
        int index = number & MOST - 1;
        return index < held.size() && numbers.get(index) == number ? held.get(index) : null;
    }

    public void free(int number) {
        if (get(number) != null) {
            int index = number & MOST - 1;
            held.set(index, null);
            numbers.set(index, number + MOST);
            free[freeCount++] = index;
            used--;
        }
    }

    public int used() {
        return used;
    }

    public List<T> all() {
        return held.stream().filter(value -> value != null).toList();
    }
}
