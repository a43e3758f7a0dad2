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

/** Tasks that go wrong, on their own threads: each loses its lease by rule. One voter, which is the process itself. */
class LeaseDeskTest {
    private static final LeaseName LEASE = new LeaseName("l");
    private static final MemberName SELF = new MemberName("a");
    private static final double LEASE_MS = 300;
    private static final long PATIENCE_MS = 20_000;

    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private LeaseDesk desk;

    private void start(FleetTask task) {
        start(task, null);
    }

    private void start(FleetTask task, VoterStorage disk) {
        double now = FleetAgent.nowMs();
        MemberEntry self = new MemberEntry(SELF, SimulatedFleet.address(1), new Generation(1, 1), 0, MemberEntry.State.ALIVE, 0);
        MembershipHost nobody = (MembershipHost) java.lang.reflect.Proxy.newProxyInstance(MembershipHost.class.getClassLoader(), new Class<?>[] {MembershipHost.class},
                (proxy, method, args) -> null);
        Membership membership = new Membership(MembershipConfig.defaults(1), self, nobody, new SplittableRandom(1), now);
        membership.begin(now, List.of());
        desk = new LeaseDesk(membership, new LeaseConfig(List.of(SELF), 1, LEASE_MS, 0.01), disk, List.of(task), (to, ballot) -> { }, posted::add,
                new ViewRecord(null), new SplittableRandom(1), now);
    }

    /** Runs the desk on this thread, as the fleet's would, until that holds. */
    private void until(BooleanSupplier what) throws InterruptedException {
        double most = FleetAgent.nowMs() + PATIENCE_MS;
        while (!what.getAsBoolean()) {
            assertThat(FleetAgent.nowMs()).as("in time").isLessThan(most);
            for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                task.run();
            }
            if (FleetAgent.nowMs() >= desk.wakeAt()) {
                desk.woken(FleetAgent.nowMs());
            }
            Thread.sleep(2);
        }
    }

    private record Task(Acts acts) implements FleetTask {
        interface Acts {
            void act(Permit permit) throws Exception;
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
            acts.act(permit);
        }
    }

    @Test
    void aTaskActsWithItsTokenForLongerThanALease() throws Exception {
        Queue<Token> tokens = new ConcurrentLinkedQueue<>();
        start(new Task(permit -> tokens.add(permit.token(1))));
        until(() -> tokens.size() > 5);
        double from = FleetAgent.nowMs();
        until(() -> FleetAgent.nowMs() > from + 3 * LEASE_MS);
        assertThat(tokens.stream().distinct()).hasSize(1).doesNotContainNull();
        assertThat(desk.held()).hasSize(1);
        desk.end(FleetAgent.nowMs());
        assertThat(desk.held()).isEmpty();
    }

    @Test
    void oneThatThrowsLosesItsLeaseAndComesBackAfterARest() throws Exception {
        AtomicInteger acts = new AtomicInteger();
        start(new Task(permit -> {
            if (acts.incrementAndGet() <= 3) {
                throw new IllegalStateException("planted");
            }
        }));
        until(() -> acts.get() >= 3);
        until(() -> desk.held().isEmpty());
        until(() -> acts.get() > 5);
        assertThat(desk.held()).hasSize(1);
        desk.end(FleetAgent.nowMs());
    }

    @Test
    void oneThatHangsLosesItsLeaseAndItsPermit() throws Exception {
        CountDownLatch hangs = new CountDownLatch(1);
        Queue<String> after = new ConcurrentLinkedQueue<>();
        start(new Task(permit -> {
            if (permit.token(0) == null || hangs.getCount() == 0) {
                return;
            }
            hangs.countDown();
            double until = FleetAgent.nowMs() + 4 * LEASE_MS;
            while (FleetAgent.nowMs() < until) {
                Thread.onSpinWait(); // deaf to interrupts
            }
            after.add(String.valueOf(permit.token(0)));
        }));
        until(() -> hangs.getCount() == 0);
        until(() -> desk.held().isEmpty());
        until(() -> !after.isEmpty());
        assertThat(after).containsExactly("null");
        desk.end(FleetAgent.nowMs());
    }

    @Test
    void aTaskThatIsFencedStopsAndAnotherTokenIsAboveTheOneSeen() throws Exception {
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
        until(() -> tokens.stream().anyMatch(seen::isBelow));
        desk.end(FleetAgent.nowMs());
    }

    /** A disk that takes long holds up its voter's answers, and nothing else on the fleet's thread. */
    @Test
    void aSlowDiskHoldsUpNobodyButItsVoter() throws Exception {
        CountDownLatch slow = new CountDownLatch(1);
        AtomicInteger writes = new AtomicInteger();
        Queue<Token> tokens = new ConcurrentLinkedQueue<>();
        start(new Task(permit -> tokens.add(permit.token(1))), new VoterStorage() {
            @Override
            public VoterState read() throws IOException {
                throw new NoSuchFileException("none");
            }

            @Override
            public void write(VoterState kept) throws IOException {
                try {
                    if (writes.getAndIncrement() > 0 && !slow.await(PATIENCE_MS, TimeUnit.MILLISECONDS)) {
                        throw new IOException("the fleet's thread never came to say so");
                    }
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        });
        until(() -> writes.get() > 1); // it waits, and this thread does not
        assertThat(tokens).isEmpty();
        slow.countDown();
        until(() -> !tokens.isEmpty());
        desk.end(FleetAgent.nowMs());
    }
}
