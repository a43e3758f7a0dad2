package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RecentIdsTest {
    private static final double NOW_MS = 864_000_000;

    @TempDir
    Path folder;

    @Test
    void anIdIsTakenOnceWithinTheRetentionTime() {
        RecentIds ids = RecentIds.ofProcess();
        assertThat(ids.add("a", NOW_MS)).isTrue();
        assertThat(ids.add("b", NOW_MS)).isTrue();
        assertThat(ids.add("a", NOW_MS + 59_000)).isFalse();
        assertThat(ids.add("a", NOW_MS + 61_000)).isTrue();
    }

    /** Guards against an id that runs twice, at each process of an upgrade. */
    @Test
    void bothProcessesOfAnUpgradeKnowAnId() throws Exception {
        RecentIds first = RecentIds.shared(folder.resolve("state").resolve("ids"));
        RecentIds second = RecentIds.shared(folder.resolve("state").resolve("ids"));
        assertThat(first.add("a", NOW_MS)).isTrue();
        assertThat(second.add("a", NOW_MS + 100)).isFalse();
        assertThat(second.add("b", NOW_MS)).isTrue();
        assertThat(first.add("b", NOW_MS + 100)).isFalse();
    }

    /** Guards against a usual client's id pushed out by a client that sends many. */
    @Test
    void anIdOutlivesThousandsOfLaterOnes() {
        RecentIds ids = RecentIds.ofProcess();
        ids.add("usual", NOW_MS);
        int known = 0;
        for (int i = 0; i < 30_000; i++) {
            known += ids.add("flood-" + i, NOW_MS + i / 10.0) ? 0 : 1;
        }
        assertThat(known).isZero();
        assertThat(ids.add("usual", NOW_MS + 3000)).isFalse();
    }

    @Test
    void ofTwoProcessesThatTakeAnIdAtOnceOneDoes() throws Exception {
        for (int round = 0; round < 200; round++) {
            Path file = folder.resolve("ids");
            AtomicInteger taken = new AtomicInteger();
            CountDownLatch start = new CountDownLatch(1);
            Thread[] threads = new Thread[2];
            String id = "id-" + round;
            for (int i = 0; i < threads.length; i++) {
                RecentIds own = RecentIds.shared(file);
                threads[i] = new Thread(() -> {
                    try {
                        start.await();
                    } catch (InterruptedException e) {
                        return;
                    }
                    if (own.add(id, NOW_MS)) {
                        taken.incrementAndGet();
                    }
                });
                threads[i].start();
            }
            start.countDown();
            for (Thread thread : threads) {
                thread.join();
            }
            assertThat(taken.get()).isEqualTo(1);
        }
    }
}
