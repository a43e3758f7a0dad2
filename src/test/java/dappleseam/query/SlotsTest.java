package dappleseam.query;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SlotsTest {
    /** A late answer to a previous query must not reach the query that now uses its slot. */
    @Test
    void aStaleNumberFindsNothing() {
        Slots<String> slots = new Slots<>();
        int first = slots.put("first");
        slots.free(first);
        int second = slots.put("second");
        assertThat(second).isNotEqualTo(first);
        assertThat(slots.get(first)).isNull();
        slots.free(first);
        assertThat(slots.get(second)).isEqualTo("second");
    }

    @Test
    void theTableIsBounded() {
        Slots<Integer> slots = new Slots<>();
        while (!slots.isFull(Integer.MAX_VALUE)) {
            slots.put(slots.used());
        }
        assertThat(slots.used()).isEqualTo(4096);
        assertThat(slots.isFull(4097)).isTrue();
    }
}
