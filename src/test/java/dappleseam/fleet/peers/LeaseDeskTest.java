package dappleseam.fleet.peers;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.fleet.lease.FleetTask;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.LeaseTerms;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.VoterDisk;
import dappleseam.fleet.membership.FleetHost;
import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.membership.Terms;
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

    private void start(FleetTask task, VoterDisk disk) {
        double now = PeerSocket.nowMs();
        Notice self = new Notice(SELF, SimulatedFleet.address(1), new Life(1, 1), 0, Notice.State.ALIVE, 0);
        FleetHost nobody = (FleetHost) java.lang.reflect.Proxy.newProxyInstance(FleetHost.class.getClassLoader(), new Class<?>[] {FleetHost.class},
                (proxy, method, args) -> null);
        Membership membership = new Membership(Terms.usual(1), self, nobody, new SplittableRandom(1), now);
        membership.begin(now, List.of());
        desk = new LeaseDesk(membership, new LeaseTerms(List.of(SELF), 1, LEASE_MS, 0.01), disk, List.of(task), (to, ballot) -> { }, posted::add,
                new ViewRecord(null), new SplittableRandom(1), now);
    }

    /** Runs the manager on this thread, in place of the fleet thread, until the condition holds. */
    private void until(BooleanSupplier what) throws InterruptedException {
        double most = PeerSocket.nowMs() + PATIENCE_MS;
        while (!what.getAsBoolean()) {
            assertThat(PeerSocket.nowMs()).as("condition not met in time").isLessThan(most);
            for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
                task.run();
            }
            if (PeerSocket.nowMs() >= desk.wakeAt()) {
                desk.woken(PeerSocket.nowMs());
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
        public double everyMs() {
            return 5;
        }

        @Override
        public void act(Permit permit) throws Exception {
            acts.act(permit);
        }
    }

    @Test
    void aTaskActsWithItsTokenForLongerThanALease() throws Exception {
        Queue<Token> tokens = new ConcurrentLinkedQueue<>();
        start(new Task(permit -> tokens.add(permit.token(1))));
        until(() -> tokens.size() > 5);
        double from = PeerSocket.nowMs();
        until(() -> PeerSocket.nowMs() > from + 3 * LEASE_MS);
        assertThat(tokens.stream().distinct()).hasSize(1).doesNotContainNull();
        assertThat(desk.held()).hasSize(1);
        desk.end(PeerSocket.nowMs());
        assertThat(desk.held()).isEmpty();
    }

    @Test
    void oneThatThrowsLosesItsLeaseAndComesBackAfterARest() throws Exception {
        AtomicInteger acts = new AtomicInteger();
        start(new Task(permit -> {
            if (acts.incrementAndGet() <= 3) {
                throw new IllegalStateException("deliberate failure");
            }
        }));
        until(() -> acts.get() >= 3);
        until(() -> desk.held().isEmpty());
        until(() -> acts.get() > 5);
        assertThat(desk.held()).hasSize(1);
        desk.end(PeerSocket.nowMs());
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
            double until = PeerSocket.nowMs() + 4 * LEASE_MS;
            while (PeerSocket.nowMs() < until) {
                Thread.onSpinWait(); // ignores interrupts
            }
            after.add(String.valueOf(permit.token(0)));
        }));
        until(() -> hangs.getCount() == 0);
        until(() -> desk.held().isEmpty());
        until(() -> !after.isEmpty());
        assertThat(after).containsExactly("null");
        desk.end(PeerSocket.nowMs());
    }

    @Test
    void aTaskThatIsFencedStopsAndAnotherTokenIsAboveTheOneSeen() throws Exception {
        Queue<Token> tokens = new ConcurrentLinkedQueue<>();
        Token seen = new Token(Token.LAST / 2, 7);
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
        desk.end(PeerSocket.nowMs());
    }

    /** Guards against storage on the fleet thread: a slow disk may delay only the replies of its own voter. */
    @Test
    void aSlowDiskHoldsUpNobodyButItsVoter() throws Exception {
        CountDownLatch slow = new CountDownLatch(1);
        AtomicInteger writes = new AtomicInteger();
        Queue<Token> tokens = new ConcurrentLinkedQueue<>();
        start(new Task(permit -> tokens.add(permit.token(1))), new VoterDisk() {
            @Override
            public Kept read() throws IOException {
                throw new NoSuchFileException("none");
            }

            @Override
            public void write(Kept kept) throws IOException {
                try {
                    if (writes.getAndIncrement() > 0 && !slow.await(PATIENCE_MS, TimeUnit.MILLISECONDS)) {
                        throw new IOException("the fleet thread was blocked");
                    }
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        });
        until(() -> writes.get() > 1); // the write blocks, and this thread does not
        assertThat(tokens).isEmpty();
        slow.countDown();
        until(() -> !tokens.isEmpty());
        desk.end(PeerSocket.nowMs());
    }
}
