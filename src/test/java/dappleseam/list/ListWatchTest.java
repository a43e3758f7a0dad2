package dappleseam.list;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.clients.ByHand;
import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.xnio.StreamConnection;

class ListWatchTest {
    private static final double BEGIN_MS = 1000;
    /** When a stalled watch is detected, and when a change counts as delivered: docs/terms-audit.md, clause 6. */
    private static final double SILENT_FOUND_MS = 3600;
    private static final double TOLD_MS = 6000;

    private final HangingLoop loop = new HangingLoop();
    private final List<Double> failedAtMs = new ArrayList<>();
    private final ListWatch watch = new ListWatch(loop, new InetSocketAddress("127.0.0.1", 1), null, 1, list -> { }, cause -> failedAtMs.add(loop.nowMs()), ms -> ms, new SplittableRandom(1));

    /** A loop with a manual clock, on which connection attempts hang until their timeout or are refused at once. */
    private static final class HangingLoop implements Loop {
        final ByHand time = new ByHand();
        final List<Double> dialledAtMs = new ArrayList<>();
        boolean refuses;
        boolean isFull;

        @Override
        public double nowMs() {
            return time.nowMs();
        }

        @Override
        public Deadline at(double whenMs, Runnable due) {
            return time.at(whenMs, due);
        }

        @Override
        public Deadline dial(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up, Consumer<String> failed) {
            dialledAtMs.add(nowMs());
            return at(nowMs() + (refuses ? 1 : timeoutMs), () -> failed.accept(refuses ? "refused" : "not up in time"));
        }

        @Override
        public boolean mayDial() {
            return !isFull;
        }

        @Override
        public Link link(StreamConnection connection, Link.Events events) {
            throw new UnsupportedOperationException();
        }

        @Override
        public BufferPool pool() {
            return time.pool;
        }
    }

    /** With only two attempts that both hang, a proxy learned of a drain up to 7 s after its watch had stalled. */
    @Test
    void twoConnectionsThatHangLeaveTimeForAThird() {
        watch.follow();
        loop.time.pass(BEGIN_MS + 2000);
        assertThat(loop.dialledAtMs).hasSize(ListWatch.MOST_DIALS);
        assertThat(SILENT_FOUND_MS + loop.dialledAtMs.get(2) - BEGIN_MS).isLessThan(TOLD_MS - 500);
        assertThat(failedAtMs).as("one call, reported as failed once, when no attempt can succeed any more").hasSize(1).allMatch(at -> at >= loop.dialledAtMs.get(2) + 900);
    }

    @Test
    void aRefusalFailsTheCallAtOnceAndNothingIsDialledBesideIt() {
        loop.refuses = true;
        watch.follow();
        loop.time.pass(BEGIN_MS + 2000);
        assertThat(loop.dialledAtMs).hasSize(1);
        assertThat(failedAtMs).hasSize(1).allMatch(at -> at < BEGIN_MS + 10);
    }

    @Test
    void whereNoDescriptorIsLeftOnlyTheKeptOneIsUsed() {
        loop.isFull = true;
        watch.follow();
        loop.time.pass(BEGIN_MS + 2000);
        assertThat(loop.dialledAtMs).hasSize(1);
        assertThat(failedAtMs).hasSize(1);
    }
}
