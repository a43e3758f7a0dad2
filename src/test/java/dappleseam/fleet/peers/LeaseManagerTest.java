package dappleseam.fleet.peers;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.lease.FleetTask;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.LeaseConfig;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.VoterStorage;
import dappleseam.fleet.membership.MembershipHost;
import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MembershipConfig;
import dappleseam.lab.fleet.SimulatedFleet;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/** Tasks on their own threads that fail, hang or are fenced lose their leases. The process itself is the only voter. */
class LeaseManagerTest {
    private static final LeaseName LEASE = new LeaseName("l");
    private static final MemberName SELF = new MemberName("a");
    private static final double LEASE_MS = 300;
    private static final long TIMEOUT_MS = 20_000;

    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private LeaseManager manager;

    private void start(FleetTask task) {
        start(task, null);
    }

    private void start(FleetTask task, VoterStorage storage) {
        double now = FleetAgent.nowMs();
        MemberEntry self = new MemberEntry(SELF, SimulatedFleet.address(1), new Generation(1, 1), 0, MemberEntry.State.ALIVE, 0);
        MembershipHost host = (MembershipHost) java.lang.reflect.Proxy.newProxyInstance(MembershipHost.class.getClassLoader(), new Class<?>[] {MembershipHost.class},
                (proxy, method, args) -> null);
        Membership membership = new Membership(MembershipConfig.defaults(1), self, host, new SplittableRandom(1), now);
        membership.begin(now, List.of());
        manager = new LeaseManager(membership, new LeaseConfig(List.of(SELF), 1, LEASE_MS, 0.01), storage, List.of(task), (to, message) -> { }, posted::add,
                new ViewRecorder(null), new SplittableRandom(1), now);
    }

    /** Runs the manager on this thread, in place of the fleet thread, until the condition holds. */
    private void runUntil(BooleanSupplier condition) throws InterruptedException {
        double deadline = FleetAgent.nowMs() + TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            assertThat(FleetAgent.nowMs()).as("condition not met in time").isLessThan(deadline);
            for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                task.run();
            }
            if (FleetAgent.nowMs() >= manager.wakeAt()) {
                manager.woken(FleetAgent.nowMs());
            }
            Thread.sleep(2);
        }
    }

    private record Task(Action action) implements FleetTask {
        interface Action {
            void run(Permit permit) throws Exception;
        }

        @Override
        public LeaseName lease() {
            return LEASE;
        }

        @Override
        public double intervalMs() {
            return 5;
        }

        @Override
        public void run(Permit permit) throws Exception {
            action.run(permit);
        }
    }

    @Test
    void aTaskKeepsItsTokenAcrossRenewals() throws Exception {
        Queue<Token> tokens = new ConcurrentLinkedQueue<>();
        start(new Task(permit -> tokens.add(permit.token(1))));
        runUntil(() -> tokens.size() > 5);
        double from = FleetAgent.nowMs();
        runUntil(() -> FleetAgent.nowMs() > from + 3 * LEASE_MS);
        assertThat(tokens.stream().distinct()).hasSize(1).doesNotContainNull();
        assertThat(manager.heldLeases()).hasSize(1);
        manager.stopAll(FleetAgent.nowMs());
        assertThat(manager.heldLeases()).isEmpty();
    }

    @Test
    void aFailingTaskLosesItsLeaseAndRetriesAfterBackoff() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        start(new Task(permit -> {
            if (runs.incrementAndGet() <= 3) {
                throw new IllegalStateException("deliberate failure");
            }
        }));
        runUntil(() -> runs.get() >= 3);
        runUntil(() -> manager.heldLeases().isEmpty());
        runUntil(() -> runs.get() > 5);
        assertThat(manager.heldLeases()).hasSize(1);
        manager.stopAll(FleetAgent.nowMs());
    }

    @Test
    void aHangingTaskLosesItsLeaseAndItsPermit() throws Exception {
        CountDownLatch hangs = new CountDownLatch(1);
        Queue<String> after = new ConcurrentLinkedQueue<>();
        start(new Task(permit -> {
            if (permit.token(0) == null || hangs.getCount() == 0) {
                return;
            }
            hangs.countDown();
            double until = FleetAgent.nowMs() + 4 * LEASE_MS;
            while (FleetAgent.nowMs() < until) {
                Thread.onSpinWait(); // ignores interrupts
            }
            after.add(String.valueOf(permit.token(0)));
        }));
        runUntil(() -> hangs.getCount() == 0);
        runUntil(() -> manager.heldLeases().isEmpty());
        runUntil(() -> !after.isEmpty());
        assertThat(after).containsExactly("null");
        manager.stopAll(FleetAgent.nowMs());
    }

    @Test
    void aFencedTaskGetsAHigherTokenThanTheOneSeen() throws Exception {
        Queue<Token> tokens = new ConcurrentLinkedQueue<>();
        Token seen = new Token(Token.MAX_ROUND / 2, 7);
        start(new Task(permit -> {
            Token token = permit.token(0);
            if (token != null) {
                tokens.add(token);
                if (token.isBelow(seen)) {
                    permit.fenced(seen);
                }
            }
        }));
        runUntil(() -> tokens.stream().anyMatch(seen::isBelow));
        manager.stopAll(FleetAgent.nowMs());
    }

    /** Guards against storage on the fleet thread: a slow disk may delay only the replies of its own voter. */
    @Test
    void slowVoterStorageDoesNotBlockTheFleetThread() throws Exception {
        CountDownLatch slow = new CountDownLatch(1);
        AtomicInteger writes = new AtomicInteger();
        Queue<Token> tokens = new ConcurrentLinkedQueue<>();
        start(new Task(permit -> tokens.add(permit.token(1))), new VoterStorage() {
            @Override
            public VoterState read() throws IOException {
                throw new NoSuchFileException("none");
            }

            @Override
            public void write(VoterState state) throws IOException {
                try {
                    if (writes.getAndIncrement() > 0 && !slow.await(TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                        throw new IOException("the fleet thread was blocked");
                    }
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        });
        runUntil(() -> writes.get() > 1); // the write blocks, and this thread does not
        assertThat(tokens).isEmpty();
        slow.countDown();
        runUntil(() -> !tokens.isEmpty());
        manager.stopAll(FleetAgent.nowMs());
    }
}
