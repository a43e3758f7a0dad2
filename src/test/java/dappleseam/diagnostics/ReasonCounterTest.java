package dappleseam.diagnostics;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ReasonCounterTest {
    @Test
    void eachReasonHasItsOwnLine() {
        ReasonCounter<RefusalReason> counter = new ReasonCounter<>(RefusalReason.class);
        counter.count(RefusalReason.NO_BUFFERS);
        counter.count(RefusalReason.NO_BUFFERS);
        counter.count(RefusalReason.ROUTER);
        StringBuilder text = new StringBuilder();
        counter.appendTo(text, "refusals");
        assertThat(text.toString()).startsWith("# TYPE refusals counter\n")
                .contains("refusals{reason=\"no_buffers\"} 2\n", "refusals{reason=\"router\"} 1\n", "refusals{reason=\"table_full\"} 0\n");
    }
}
