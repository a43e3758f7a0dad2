package dappleseam.list;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.clients.ManualIoLoop;
import dappleseam.wire.BufferPool;
import dappleseam.wire.IoLoop;
import dappleseam.wire.Link;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.xnio.StreamConnection;

class ListWatchTest {
    private static final double START_MS = 1000;
    /** When a stalled watch is detected, and when a change counts as delivered: docs/terms-audit.md, clause 6. */
    private static final double SILENCE_DETECTED_MS = 3600;
    private static final double DELIVERY_LIMIT_MS = 6000;

    private final HangingLoop loop = new HangingLoop();
    private final List<Double> failedAtMs = new ArrayList<>();
    private final ListWatch watch = new ListWatch(loop, new InetSocketAddress("127.0.0.1", 1), null, 1, list -> { }, cause -> failedAtMs.add(loop.nowMs()), ms -> ms, new SplittableRandom(1));

    /** A loop with a manual clock, on which connection attempts hang until their timeout or are refused at once. */
    private static final class HangingLoop implements IoLoop {
        final ManualIoLoop time = new ManualIoLoop();
        final List<Double> connectedAtMs = new ArrayList<>();
        boolean refuses;
        boolean isFull;

        @Override
        public double nowMs() {
            return time.nowMs();
        }

        @Override
        public PendingTask scheduleAt(double whenMs, Runnable task) {
            return time.scheduleAt(whenMs, task);
        }

        @Override
        public void executeNextTurn(Runnable task) {
            time.executeNextTurn(task);
        }

        @Override
        public PendingTask connect(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> onConnected, Consumer<String> onFailure) {
            connectedAtMs.add(nowMs());
            return scheduleAt(nowMs() + (refuses ? 1 : timeoutMs), () -> onFailure.accept(refuses ? "refused" : "not up in time"));
        }

        @Override
        public boolean mayConnect() {
            return !isFull;
        }

        @Override
        public Link createLink(StreamConnection connection, Link.Listener listener) {
            throw new UnsupportedOperationException();
        }

        @Override
        public BufferPool pool() {
            return time.pool;
        }
    }

    /** With only two attempts that both hang, a proxy learned of a drain up to 7 s after its watch had stalled. */
    @Test
    void twoHangingConnectionAttemptsLeaveTimeForAThird() {
        watch.startWatching();
        loop.time.advanceTo(START_MS + 2000);
        assertThat(loop.connectedAtMs).hasSize(ListWatch.MAX_ATTEMPTS);
        assertThat(SILENCE_DETECTED_MS + loop.connectedAtMs.get(2) - START_MS).isLessThan(DELIVERY_LIMIT_MS - 500);
        assertThat(failedAtMs).as("one call, reported as failed once, when no attempt can succeed any more").hasSize(1).allMatch(at -> at >= loop.connectedAtMs.get(2) + 900);
    }

    @Test
    void aRefusedConnectionFailsTheCallAtOnceWithoutFurtherAttempts() {
        loop.refuses = true;
        watch.startWatching();
        loop.time.advanceTo(START_MS + 2000);
        assertThat(loop.connectedAtMs).hasSize(1);
        assertThat(failedAtMs).hasSize(1).allMatch(at -> at < START_MS + 10);
    }

    @Test
    void withoutFreeDescriptorsOnlyTheReservedOneIsUsed() {
        loop.isFull = true;
        watch.startWatching();
        loop.time.advanceTo(START_MS + 2000);
        assertThat(loop.connectedAtMs).hasSize(1);
        assertThat(failedAtMs).hasSize(1);
    }
}
