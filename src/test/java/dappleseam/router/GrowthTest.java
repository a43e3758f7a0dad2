package dappleseam.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a decision costs where the fleet is sixteen times its usual size. */
class GrowthTest {
    private static final int CACHES = 3200;
    private static final int CHANGES = 40;
    private static final double NANOS_PER_MS = 1e6;
    /** The acceptance allows 0.12 s of processor time for each thousand caches over a day in which half of them are replaced, in steps. */
    private static final double MOST_MS = 4;

    private static Member cache(long number, Member.State state) {
        return new Member(new NodeId(number), state, 0, 0, 0, 1 + number % 3, 0);
    }

    private static double cpuMs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / NANOS_PER_MS;
    }

    /** The ring was sorted anew for each change: 100 to 120 ms of the one I/O thread at 3,200 caches. */
    @Test
    void aChangeOfALargeListCostsByWhatChanged() {
        OneProxy proxy = new OneProxy(OneProxy.through(OneProxy.READ));
        List<Member> all = new ArrayList<>();
        for (int i = 1; i <= CACHES; i++) {
            all.add(cache(i, Member.State.READY));
        }
        proxy.router.listReplaced(1000, all, false);
        proxy.router.query(1000, new QueryId(0), new QueryRequest(0, new Key(5), 1000, 0, false, false));
        double before = cpuMs();
        for (int i = 1; i <= CHANGES; i++) {
            double now = 1000 + i;
            proxy.router.listChanged(now, List.of(cache(i, Member.State.DRAINING), cache(CACHES + i, Member.State.READY)));
            proxy.router.query(now, new QueryId(i), new QueryRequest(0, new Key(i), 1000, 0, false, false));
        }
        assertThat((cpuMs() - before) / CHANGES).isLessThan(MOST_MS);
    }
}
