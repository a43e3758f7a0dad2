package dappleseam.list;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.clients.ManualIoLoop;
import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import dappleseam.wire.IoLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.xnio.StreamConnection;

class ListWatchTest {
    private static final double BEGIN_MS = 1000;
    /** A watch that falls silent is found out so late; a change counts as told after that: docs/terms-audit.md, clause 6. */
    private static final double SILENT_FOUND_MS = 3600;
    private static final double TOLD_MS = 6000;

    private final HangingLoop loop = new HangingLoop();
    private final List<Double> failedAtMs = new ArrayList<>();
    private final ListWatch watch = new ListWatch(loop, new InetSocketAddress("127.0.0.1", 1), null, 1, list -> { }, cause -> failedAtMs.add(loop.nowMs()), ms -> ms, new SplittableRandom(1));

    /** Time passes by hand, and each connection hangs until its time is over, or is refused at once. */
    private static final class HangingLoop implements IoLoop {
        final ManualIoLoop time = new ManualIoLoop();
        final List<Double> dialledAtMs = new ArrayList<>();
        boolean refuses;
        boolean isFull;

        @Override
        public double nowMs() {
            return time.nowMs();
        }

        @Override
        public PendingTask scheduleAt(double whenMs, Runnable due) {
            return time.scheduleAt(whenMs, due);
        }

        @Override
        public PendingTask connect(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up, Consumer<String> failed) {
            dialledAtMs.add(nowMs());
            return scheduleAt(nowMs() + (refuses ? 1 : timeoutMs), () -> failed.accept(refuses ? "refused" : "not up in time"));
        }

        @Override
        public boolean mayConnect() {
            return !isFull;
        }

        @Override
        public Link createLink(StreamConnection connection, Link.Listener events) {
            throw new UnsupportedOperationException();
        }

        @Override
        public BufferPool pool() {
            return time.pool;
        }
    }

    /** Else two connections that hang keep a drain from a proxy for 7 s after its watch has fallen silent. */
    @Test
    void twoConnectionsThatHangLeaveTimeForAThird() {
        watch.startWatching();
        loop.time.advanceTo(BEGIN_MS + 2000);
        assertThat(loop.dialledAtMs).hasSize(ListWatch.MOST_DIALS);
        assertThat(SILENT_FOUND_MS + loop.dialledAtMs.get(2) - BEGIN_MS).isLessThan(TOLD_MS - 500);
        assertThat(failedAtMs).as("one call, told once, when none can come up any more").hasSize(1).allMatch(at -> at >= loop.dialledAtMs.get(2) + 900);
    }

    @Test
    void aRefusalFailsTheCallAtOnceAndNothingIsDialledBesideIt() {
        loop.refuses = true;
        watch.startWatching();
        loop.time.advanceTo(BEGIN_MS + 2000);
        assertThat(loop.dialledAtMs).hasSize(1);
        assertThat(failedAtMs).hasSize(1).allMatch(at -> at < BEGIN_MS + 10);
    }

    @Test
    void whereNoDescriptorIsLeftOnlyTheKeptOneIsUsed() {
        loop.isFull = true;
        watch.startWatching();
        loop.time.advanceTo(BEGIN_MS + 2000);
        assertThat(loop.dialledAtMs).hasSize(1);
        assertThat(failedAtMs).hasSize(1);
    }
}
