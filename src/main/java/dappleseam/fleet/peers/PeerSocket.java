package dappleseam.fleet.peers;

import dappleseam.fleet.lease.FleetTask;
import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.membership.Standing;
import dappleseam.router.NodeId;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.net.SocketException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Runs the membership, the leases and the signals of this proxy on a thread of their own, and exchanges datagrams with the other members. Nothing here
 * runs on the I/O thread or blocks it: other threads read {@link #snapshot}. Of two processes of one proxy, the second waits until the address is free.
 */
public final class PeerSocket extends LetterHost {
    /** Relative change of this proxy's share from which it is recorded. */
    private static final double SHARE_NEWS = 0.01;
    /** File descriptors used: two sockets, a selector with two, a record file. */
    public static final int DESCRIPTORS = 6;
    private static final Logger LOG = System.getLogger(PeerSocket.class.getName());
    private static final double NANOS_PER_MS = 1e6;
    /** Time in ms between attempts to bind an address that another process uses. */
    private static final long BIND_MS = 100;
    /** Time in ms between snapshots, and between writes of the known peers for the next process. */
    private static final double PUBLISH_MS = 250;
    private static final double KEEP_MS = 5000;
    /** Maximum sleep in ms: bounds the delay if a wake-up is missed. */
    private static final long LONGEST_SLEEP_MS = 250;
    /** Maximum number of datagrams read in one batch, and in one second: a flood must not occupy a processor core. */
    private static final int AT_ONCE = 256;
    private static final int A_SECOND = 2000;
    private static final int BUFFER_BYTES = 256 << 10;
    /** Time in ms that {@link #stop} waits for the last messages to be sent: well under the time that the program has left then. */
    private static final long LAST_WORDS_MS = 50;

    private final Path left;
    private final long seed;
    private final int location;
    private final long startMs = System.currentTimeMillis();
    private volatile Identity identity;
    private Envelope envelope;
    private Selector selector;
    private DatagramChannel socket;
    private DatagramChannel caller;
    private InetSocketAddress called;
    private Membership membership;
    private LeaseDesk leases;
    private SignalDesk signals;
    private final List<FleetTask> tasks;
    private final Sightings sightings;
    private ViewRecord views;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private final ByteBuffer in = ByteBuffer.allocate(Envelope.LONGEST + 1);
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean ending;
    private volatile boolean handsOver;
    private volatile Snapshot snapshot;
    private final Map<Unreadable.Why, Long> dropped = new EnumMap<>(Unreadable.Why.class);
    private long sent;
    private long received;
    private long flooded;
    private int thisSecond;
    private double secondEndsAt;
    private double publishAt;
    private double keepAt;
    private double busyMs;
    private int countedBefore;
    private double shareBefore;
    private Notice twinBefore;
    private Set<NodeId> failingBefore = Set.of();
    private Set<NodeId> convictedBefore = Set.of();
    private Thread thread;

    /**
     * {@code location}: the platform's number of this proxy's location, -1 without locations. {@code tasks}: tasks that this proxy runs for the whole fleet
     * while it holds their leases. {@code knownPeersFile}: addresses that one process saves for the next, or null. {@code routerAdapter}: used for the
     * features that the fleet file turns on. Runs from {@link #start} on.
     */
    public PeerSocket(Identity identity, int location, long seed, Path left, List<FleetTask> tasks, Sightings sightings) {
        this.tasks = tasks;
        this.sightings = sightings;
        this.identity = identity;
        this.location = location;
        this.seed = seed;
        this.left = left;
    }

    /** Starts the fleet thread. */
    public void start() throws IOException {
        selector = Selector.open();
        envelope = new Envelope(identity.fleet());
        thread = new Thread(this::run, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** The latest snapshot; null before the address was free. */
    public Snapshot snapshot() {
        return snapshot;
    }

    /** Applies new membership settings and seeds, and new features if any was on at the start. All other changes need a restart. */
    public void change(Identity now) {
        identity = now;
        post(() -> {
            if (membership != null) {
                membership.termsChanged(nowMs(), now.terms(), now.seeds());
            }
            if (signals != null) {
                signals.choose(now.choices());
            }
        });
    }

    /** An operator declares that a member has ended and will not come back. */
    public void endedByWord(MemberName name) {
        post(() -> {
            if (membership != null) {
                boolean known = membership.endedByWord(nowMs(), name);
                LOG.log(Level.INFO, known ? "fleet: {0} has ended, an operator says" : "fleet: {0} is not one that has failed", name);
            }
        });
    }

    private void post(Runnable task) {
        posted.add(task);
        selector.wakeup();
    }

    /** Stops, and either announces that this proxy leaves, or hands over to the process that takes its place. Returns soon. */
    public void end(boolean handOver) {
        handsOver = handOver;
        ending = true;
        selector.wakeup();
        try {
            if (!ended.await(LAST_WORDS_MS, TimeUnit.MILLISECONDS)) {
                LOG.log(Level.WARNING, "fleet: still busy when the process ends");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            bind();
            while (!ending) {
                double due = Math.min(wakeAt, Math.min(leases == null ? wakeAt : leases.wakeAt(), signals == null ? wakeAt : signals.wakeAt()));
                long sleep = (long) Math.ceil(Math.min(LONGEST_SLEEP_MS, due - nowMs()));
                if (sleep > 0) {
                    selector.select(sleep);
                } else {
                    selector.selectNow();
                }
                double from = nowMs();
                turn();
                busyMs += nowMs() - from;
            }
            last();
        } catch (IOException | RuntimeException e) { // queries are served without the fleet; the log tells the operator
            LOG.log(Level.ERROR, "fleet: stopped by an error", e);
            snapshot = null;
        } finally {
            close();
            ended.countDown();
        }
    }

    private void bind() throws IOException {
        boolean waits = false;
        while (!ending && socket == null) {
            DatagramChannel tried = DatagramChannel.open();
            try {
                tried.setOption(StandardSocketOptions.SO_RCVBUF, BUFFER_BYTES);
                tried.bind(identity.bind());
                tried.configureBlocking(false);
                tried.register(selector, SelectionKey.OP_READ);
                socket = tried;
            } catch (SocketException e) {
                tried.close();
                if (!waits) {
                    waits = true;
                    LOG.log(Level.INFO, "fleet: waiting for {0}, which another process uses", identity.bind());
                }
                selector.select(BIND_MS);
            }
        }
        if (socket != null) {
            begin();
        }
    }

    private void begin() throws IOException {
        caller = DatagramChannel.open();
        caller.configureBlocking(false);
        caller.register(selector, SelectionKey.OP_READ);
        views = new ViewRecord(identity.record());
        double now = nowMs();
        // Mixes in the clock and the process id: two processes with the same seed must differ.
        SplittableRandom random = new SplittableRandom(seed ^ System.nanoTime() ^ ProcessHandle.current().pid() << 40);
        Notice self = new Notice(identity.name(), identity.advertise(), new Life(startMs, random.nextLong()), 0, Notice.State.ALIVE, 0);
        membership = new Membership(identity.terms(), self, this, random, now);
        views.began(now, self);
        Set<InetSocketAddress> known = new LinkedHashSet<>(identity.seeds());
        if (left != null) {
            try {
                known.addAll(KnownFile.read(left, identity.fleet()));
            } catch (IOException | RuntimeException e) { // the file is optional
                LOG.log(Level.DEBUG, "fleet: no known peers from an earlier process: {0}", e.toString());
            }
        }
        LOG.log(Level.INFO, "fleet: {0} of {1} listens on {2}", identity.name(), identity.fleet(), identity.bind());
        membership.begin(now, List.copyOf(known));
        if (identity.leases() != null) {
            leases = new LeaseDesk(membership, identity.leases(), identity.voterFile() == null ? null : new VoterFile(identity.voterFile()), tasks,
                    this::sendBallot, this::post, views, random.split(), now);
        }
        if (identity.choices().any()) {
            signals = new SignalDesk(membership, identity.terms().periodMs(), identity.terms().most(), location, identity.choices(), sightings,
                    (to, bulletins) -> send(to, Letter.of(membership.self(), bulletins)), random.split(), now);
        }
        publish(now);
    }

    private void turn() {
        selector.selectedKeys().clear();
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            task.run();
        }
        receive(socket); // before the clock is read: datagrams that came during a stall of this process must not count as silence
        hearCalled();
        double now = nowMs();
        if (now >= wakeAt) {
            wakeAt = Double.POSITIVE_INFINITY;
            membership.woken(now);
        }
        if (leases != null && now >= leases.wakeAt()) {
            leases.woken(now);
        }
        if (signals != null && now >= signals.wakeAt()) {
            signals.woken(now);
            recordWords(now);
        }
        if (now >= publishAt) {
            publish(now);
        }
    }

    private void receive(DatagramChannel from) {
        for (int i = 0; i < AT_ONCE; i++) {
            in.clear();
            InetSocketAddress sender;
            try {
                sender = (InetSocketAddress) from.receive(in);
            } catch (PortUnreachableException e) {
                if (from == caller && called != null) {
                    membership.refused(nowMs(), called);
                }
                continue;
            } catch (IOException e) { // concerns one datagram only
                LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
                return;
            }
            if (sender == null) {
                return;
            }
            double now = nowMs();
            if (now >= secondEndsAt) {
                secondEndsAt = now + TimeUnit.SECONDS.toMillis(1);
                thisSecond = 0;
            }
            if (++thisSecond > A_SECOND) {
                flooded++;
                continue;
            }
            received++;
            try {
                Letter letter = envelope.read(in.array(), in.position());
                letter.tell(sender, membership.heard(now));
                if (letter.ballot() != null && leases != null) {
                    leases.heard(now, letter.self().name(), letter.ballot());
                }
                if (letter.bulletins() != null && signals != null) {
                    signals.heard(now, letter.bulletins());
                }
            } catch (Unreadable e) {
                dropped.merge(e.why(), 1L, Long::sum);
            }
        }
    }

    private void hearCalled() {
        if (called != null) {
            receive(caller);
        }
    }

    @Override
    protected void send(InetSocketAddress to, Letter letter) {
        try {
            socket.send(ByteBuffer.wrap(envelope.write(letter)), to);
            sent++;
        } catch (IOException e) { // the same as a lost datagram
            LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
        }
    }

    private void sendBallot(MemberName to, Ballot ballot) {
        Notice peer = membership.of(to);
        if (peer != null) {
            send(peer.address(), Letter.of(membership.self(), ballot));
        }
    }

    @Override
    public void call(InetSocketAddress peer, Notice self, long number, MemberName target, List<Notice> news) {
        byte[] bytes = envelope.write(pingOf(self, number, target, news));
        try {
            if (!peer.equals(called)) {
                caller.disconnect();
                called = null;
                caller.connect(peer);
                called = peer;
            }
            caller.write(ByteBuffer.wrap(bytes));
            sent++;
        } catch (PortUnreachableException e) { // reported for the previous ping
            membership.refused(nowMs(), peer);
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
        }
    }

    @Override
    public void wakeAt(double ms) {
        wakeAt = ms;
    }

    @Override
    public void seen(Notice before, Notice now) {
        views.saw(nowMs(), before, now);
    }

    @Override
    public void stands(Standing standing) {
        views.stands(nowMs(), standing, membership.counted());
    }

    @Override
    public void stoodStill(double ms) {
        super.stoodStill(ms);
        views.stoodStill(nowMs(), ms);
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }

    private void publish(double now) {
        publishAt = now + PUBLISH_MS;
        snapshot = new Snapshot(now, membership.view(), membership.standing(), membership.counted(), membership.health(), membership.twin(),
                sent, received, Map.copyOf(dropped), flooded, membership.turnedAway(), busyMs,
                leases == null ? List.of() : leases.held(), leases == null ? null : leases.votes(), signals == null ? null : signals.said(), signals == null ? Double.NaN : signals.share(), signals == null ? Double.NaN : signals.place());
        if (membership.counted() != countedBefore) {
            countedBefore = membership.counted();
            views.counts(now, countedBefore);
        }
        if (Math.abs(snapshot.share() - shareBefore) > SHARE_NEWS * shareBefore) {
            shareBefore = snapshot.share();
            views.takes(now, shareBefore);
        }
        if (membership.twin() != null && membership.twin() != twinBefore) {
            twinBefore = membership.twin();
            views.twin(now, twinBefore);
        }
        if (now >= keepAt) {
            keepAt = now + KEEP_MS;
            keep();
        }
    }

    /** Records changes of the verdicts on caches since the last call. */
    private void recordWords(double now) {
        Set<NodeId> failing = signals.sightsOfFailing();
        failing.stream().filter(node -> !failingBefore.contains(node)).forEach(node -> views.says(now, node, "FAILS"));
        failingBefore.stream().filter(node -> !failing.contains(node)).forEach(node -> views.says(now, node, "CLEARED"));
        failingBefore = failing;
        Set<NodeId> convicted = signals.convicted();
        convicted.stream().filter(node -> !convictedBefore.contains(node)).forEach(node -> views.says(now, node, "CONVICTED"));
        convictedBefore = convicted;
    }

    private void keep() {
        if (left == null) {
            return;
        }
        List<InetSocketAddress> known = new ArrayList<>();
        for (Notice notice : snapshot.view()) {
            if (notice.state().isPresent() && !notice.name().equals(identity.name()) && known.size() < KnownFile.MOST) {
                known.add(notice.address());
            }
        }
        if (!known.isEmpty()) {
            try {
                KnownFile.write(left, identity.fleet(), known);
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "fleet: the known peers are not saved for the next process: {0}", e.toString());
            }
        }
    }

    private void last() {
        if (membership == null) {
            return;
        }
        if (leases != null) {
            leases.end(nowMs());
        }
        publish(nowMs());
        if (handsOver) {
            keep();
            LOG.log(Level.INFO, "fleet: hands over to the process that takes its place");
        } else {
            membership.leaving(nowMs());
        }
    }

    private void close() {
        try {
            if (views != null) {
                views.close();
            }
            if (socket != null) {
                socket.close();
            }
            if (caller != null) {
                caller.close();
            }
            selector.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
        }
    }
}
