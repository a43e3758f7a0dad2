package dappleseam.fleet.peers;

import dappleseam.fleet.lease.FleetTask;
import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MembershipStatus;
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
 * The membership's thread and its datagrams. Nothing here runs on the I/O thread, and nothing waits for it: others read {@link #snapshot}.
 * Of two processes of one proxy the second waits until the address is free.
 */
public final class FleetAgent extends MessagingHost {
    /** Share by which what it may take has to be another to be recorded. */
    private static final double SHARE_NEWS = 0.01;
    /** Descriptors: two sockets, a selector with two, a record. */
    public static final int DESCRIPTORS = 6;
    private static final Logger LOG = System.getLogger(FleetAgent.class.getName());
    private static final double NANOS_PER_MS = 1e6;
    /** Time in ms between tries of an address that another process has. */
    private static final long BIND_MS = 100;
    /** Time in ms between snapshots, and between writings for the next process. */
    private static final double PUBLISH_MS = 250;
    private static final double KEEP_MS = 5000;
    /** Longest sleep in ms: nothing is missed by more than that, whatever is wrong with a wake-up. */
    private static final long LONGEST_SLEEP_MS = 250;
    /** Datagrams taken in one go, and in a second: a flood must not take the core. */
    private static final int AT_ONCE = 256;
    private static final int A_SECOND = 2000;
    private static final int BUFFER_BYTES = 256 << 10;
    /** Time in ms that an end waits for the last words to go out: well under what the program has left then. */
    private static final long LAST_WORDS_MS = 50;

    private final Path left;
    private final long seed;
    private final int location;
    private final long startMs = System.currentTimeMillis();
    private volatile FleetConfig identity;
    private MessageCodec envelope;
    private Selector selector;
    private DatagramChannel socket;
    private DatagramChannel caller;
    private InetSocketAddress called;
    private Membership membership;
    private LeaseDesk leases;
    private SignalExchange signals;
    private final List<FleetTask> tasks;
    private final RouterAdapter sightings;
    private ViewRecord views;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private final ByteBuffer in = ByteBuffer.allocate(MessageCodec.LONGEST + 1);
    private final Queue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final CountDownLatch ended = new CountDownLatch(1);
    private volatile boolean ending;
    private volatile boolean handsOver;
    private volatile Snapshot snapshot;
    private final Map<InvalidDatagramException.Why, Long> dropped = new EnumMap<>(InvalidDatagramException.Why.class);
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
    private MemberEntry twinBefore;
    private Set<NodeId> failingBefore = Set.of();
    private Set<NodeId> convictedBefore = Set.of();
    private Thread thread;

    /**
     * {@code location}: where this proxy is, by the platform's number, -1 without locations. {@code tasks}: what it would do for the whole fleet. {@code left}: what one process leaves for the next; null for nothing. {@code sightings}: what is told of
     * caches, where the file says so. Runs from {@link #start} on.
     */
    public FleetAgent(FleetConfig identity, int location, long seed, Path left, List<FleetTask> tasks, RouterAdapter sightings) {
        this.tasks = tasks;
        this.sightings = sightings;
        this.identity = identity;
        this.location = location;
        this.seed = seed;
        this.left = left;
    }

    public void start() throws IOException {
        selector = Selector.open();
        envelope = new MessageCodec(identity.fleet());
        thread = new Thread(this::run, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** What was known a moment ago; null until the address was free. */
    public Snapshot snapshot() {
        return snapshot;
    }

    /** New terms, seeds and choices, these where one was on at the start; all else needs a new start. */
    public void reconfigure(FleetConfig now) {
        identity = now;
        post(() -> {
            if (membership != null) {
                membership.configChanged(nowMs(), now.membershipConfig(), now.seeds());
            }
            if (signals != null) {
                signals.choose(now.features());
            }
        });
    }

    /** An operator's word that a member will not come back. */
    public void markEnded(MemberName name) {
        post(() -> {
            if (membership != null) {
                boolean known = membership.markEnded(nowMs(), name);
                LOG.log(Level.INFO, known ? "fleet: {0} has ended, an operator says" : "fleet: {0} is not one that has failed", name);
            }
        });
    }

    private void post(Runnable task) {
        posted.add(task);
        selector.wakeup();
    }

    /** Says goodbye, or leaves its place to the process that takes over; returns soon. */
    public void stop(boolean handOver) {
        handsOver = handOver;
        ending = true;
        selector.wakeup();
        try {
            if (!ended.await(LAST_WORDS_MS, TimeUnit.MILLISECONDS)) {
                LOG.log(Level.WARNING, "fleet: still busy at the end");
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
        } catch (IOException | RuntimeException e) { // queries do without; the line tells whom to ask
            LOG.log(Level.ERROR, "fleet: it runs no more", e);
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
                    LOG.log(Level.INFO, "fleet: waits for {0}, which another process has", identity.bind());
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
        views = new ViewRecord(identity.recordFile());
        double now = nowMs();
        // Its own start and clock, not the seed alone: two processes that were given one seed must differ.
        SplittableRandom random = new SplittableRandom(seed ^ System.nanoTime() ^ ProcessHandle.current().pid() << 40);
        MemberEntry self = new MemberEntry(identity.name(), identity.advertise(), new Generation(startMs, random.nextLong()), 0, MemberEntry.State.ALIVE, 0);
        membership = new Membership(identity.membershipConfig(), self, this, random, now);
        views.began(now, self);
        Set<InetSocketAddress> known = new LinkedHashSet<>(identity.seeds());
        if (left != null) {
            try {
                known.addAll(KnownFile.read(left, identity.fleet()));
            } catch (IOException | RuntimeException e) { // it was worth a try
                LOG.log(Level.DEBUG, "fleet: nobody is known from before: {0}", e.toString());
            }
        }
        LOG.log(Level.INFO, "fleet: {0} of {1} listens on {2}", identity.name(), identity.fleet(), identity.bind());
        membership.begin(now, List.copyOf(known));
        if (identity.leases() != null) {
            leases = new LeaseDesk(membership, identity.leases(), identity.voterFile() == null ? null : new VoterFile(identity.voterFile()), tasks,
                    this::sendBallot, this::post, views, random.split(), now);
        }
        if (identity.features().any()) {
            signals = new SignalExchange(membership, identity.membershipConfig().periodMs(), identity.membershipConfig().maxMembers(), location, identity.features(), sightings,
                    (to, bulletins) -> send(to, FleetMessage.of(membership.self(), bulletins)), random.split(), now);
        }
        publish(now);
    }

    private void turn() {
        selector.selectedKeys().clear();
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            task.run();
        }
        receive(socket); // before time is looked at: what came while this process stood still is no silence
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
                    membership.connectionRefused(nowMs(), called);
                }
                continue;
            } catch (IOException e) { // of one datagram
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
                FleetMessage letter = envelope.decode(in.array(), in.position());
                letter.deliver(sender, membership.receiver(now));
                if (letter.leaseMessage() != null && leases != null) {
                    leases.heard(now, letter.sender().name(), letter.leaseMessage());
                }
                if (letter.announcements() != null && signals != null) {
                    signals.receive(now, letter.announcements());
                }
            } catch (InvalidDatagramException e) {
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
    protected void send(InetSocketAddress to, FleetMessage letter) {
        try {
            socket.send(ByteBuffer.wrap(envelope.encode(letter)), to);
            sent++;
        } catch (IOException e) { // as if it were lost on its way
            LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
        }
    }

    private void sendBallot(MemberName to, LeaseMessage ballot) {
        MemberEntry peer = membership.lookup(to);
        if (peer != null) {
            send(peer.address(), FleetMessage.of(membership.self(), ballot));
        }
    }

    @Override
    public void pingConnected(InetSocketAddress peer, MemberEntry self, long number, MemberName target, List<MemberEntry> news) {
        byte[] bytes = envelope.encode(pingMessage(self, number, target, news));
        try {
            if (!peer.equals(called)) {
                caller.disconnect();
                called = null;
                caller.connect(peer);
                called = peer;
            }
            caller.write(ByteBuffer.wrap(bytes));
            sent++;
        } catch (PortUnreachableException e) { // the answer to the call before
            membership.connectionRefused(nowMs(), peer);
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
        }
    }

    @Override
    public void wakeAt(double ms) {
        wakeAt = ms;
    }

    @Override
    public void memberChanged(MemberEntry before, MemberEntry now) {
        views.saw(nowMs(), before, now);
    }

    @Override
    public void statusChanged(MembershipStatus standing) {
        views.stands(nowMs(), standing, membership.fleetSize());
    }

    @Override
    public void stalled(double ms) {
        super.stalled(ms);
        views.stoodStill(nowMs(), ms);
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }

    private void publish(double now) {
        publishAt = now + PUBLISH_MS;
        snapshot = new Snapshot(now, membership.view(), membership.status(), membership.fleetSize(), membership.healthScore(), membership.duplicate(),
                sent, received, Map.copyOf(dropped), flooded, membership.droppedForCapacity(), busyMs,
                leases == null ? List.of() : leases.held(), leases == null ? null : leases.votes(), signals == null ? null : signals.said(), signals == null ? Double.NaN : signals.share(), signals == null ? Double.NaN : signals.place());
        if (membership.fleetSize() != countedBefore) {
            countedBefore = membership.fleetSize();
            views.counts(now, countedBefore);
        }
        if (Math.abs(snapshot.share() - shareBefore) > SHARE_NEWS * shareBefore) {
            shareBefore = snapshot.share();
            views.takes(now, shareBefore);
        }
        if (membership.duplicate() != null && membership.duplicate() != twinBefore) {
            twinBefore = membership.duplicate();
            views.twin(now, twinBefore);
        }
        if (now >= keepAt) {
            keepAt = now + KEEP_MS;
            keep();
        }
    }

    /** What is new of caches since the last look. */
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
        for (MemberEntry notice : snapshot.view()) {
            if (notice.state().isLive() && !notice.name().equals(identity.name()) && known.size() < KnownFile.MOST) {
                known.add(notice.address());
            }
        }
        if (!known.isEmpty()) {
            try {
                KnownFile.write(left, identity.fleet(), known);
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "fleet: nobody is kept for the next process: {0}", e.toString());
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
            LOG.log(Level.INFO, "fleet: leaves its place to the process that takes over");
        } else {
            membership.announceLeave(nowMs());
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
