package dappleseam.diagnostics;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ThreadTimesTest {
    @Test
    void parsesTheKernelLineInMilliseconds() {
        ThreadTimes times = ThreadTimes.parse("2500000 7000000 12\n");
        assertThat(times).isEqualTo(new ThreadTimes(2.5, 7));
        assertThat(times.since(new ThreadTimes(0.5, 3))).isEqualTo(new ThreadTimes(2, 4));
    }

    @Test
    void countsWorkOfTheCurrentThread() {
        ThreadTimes before = ThreadTimes.ofCurrentThread();
        long until = System.nanoTime() + 20_000_000;
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        ThreadTimes spent = ThreadTimes.ofCurrentThread().since(before);
        assertThat(spent.ranMs() + spent.waitedMs()).isGreaterThan(15);
    }
}
