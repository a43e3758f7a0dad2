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
 * Runs the membership, the leases and the signals of this proxy on a thread of their own, and exchanges datagrams with the other members. Nothing here
 * runs on the I/O thread or blocks it: other threads read {@link #snapshot}. Of two processes of one proxy, the second waits until the address is free.
 */
public final class FleetAgent extends MessagingHost {
    /** Relative change of this proxy's share from which it is recorded. */
    private static final double SHARE_CHANGE = 0.01;
    /** File descriptors used: two sockets, a selector with two, a record file. */
    public static final int DESCRIPTORS = 6;
    private static final Logger LOG = System.getLogger(FleetAgent.class.getName());
    private static final double NANOS_PER_MS = 1e6;
    /** Time in ms between attempts to bind an address that another process uses. */
    private static final long BIND_RETRY_MS = 100;
    /** Time in ms between snapshots, and between writes of the known peers for the next process. */
    private static final double SNAPSHOT_INTERVAL_MS = 250;
    private static final double SAVE_INTERVAL_MS = 5000;
    /** Maximum sleep in ms: bounds the delay if a wake-up is missed. */
    private static final long MAX_SLEEP_MS = 250;
    /** Maximum number of datagrams read in one batch, and in one second: a flood must not occupy a processor core. */
    private static final int MAX_BATCH = 256;
    private static final int MAX_PER_SECOND = 2000;
    private static final int RECEIVE_BUFFER_BYTES = 256 << 10;
    /** Time in ms that {@link #stop} waits for the last messages to be sent: well under the time that the program has left then. */
    private static final long STOP_TIMEOUT_MS = 50;

    private final Path knownPeersFile;
    private final long seed;
    private final int location;
    private final long startMs = System.currentTimeMillis();
    private volatile FleetConfig config;
    private MessageCodec codec;
    private Selector selector;
    private DatagramChannel socket;
    private DatagramChannel connectedSocket;
    private InetSocketAddress connectedPeer;
    private Membership membership;
    private LeaseManager leaseManager;
    private SignalExchange signalExchange;
    private final List<FleetTask> tasks;
    private final RouterAdapter routerAdapter;
    private ViewRecorder recorder;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(MessageCodec.MAX_BYTES + 1);
    private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private volatile boolean stopping;
    private volatile boolean handingOver;
    private volatile FleetSnapshot snapshot;
    private final Map<InvalidDatagramException.Reason, Long> dropped = new EnumMap<>(InvalidDatagramException.Reason.class);
    private long sent;
    private long received;
    private long rateLimited;
    private int receivedThisSecond;
    private double secondEndsAt;
    private double snapshotAt;
    private double saveAt;
    private double busyMs;
    private int recordedFleetSize;
    private double recordedShare;
    private MemberEntry recordedDuplicate;
    private Set<NodeId> recordedFailing = Set.of();
    private Set<NodeId> recordedConvicted = Set.of();
    private Thread thread;

    /**
     * {@code location}: the platform's number of this proxy's location, -1 without locations. {@code tasks}: tasks that this proxy runs for the whole fleet
     * while it holds their leases. {@code knownPeersFile}: addresses that one process saves for the next, or null. {@code routerAdapter}: used for the
     * features that the fleet file turns on. Runs from {@link #start} on.
     */
    public FleetAgent(FleetConfig config, int location, long seed, Path knownPeersFile, List<FleetTask> tasks, RouterAdapter routerAdapter) {
        this.tasks = tasks;
        this.routerAdapter = routerAdapter;
        this.config = config;
        this.location = location;
        this.seed = seed;
        this.knownPeersFile = knownPeersFile;
    }

    /** Starts the fleet thread. */
    public void start() throws IOException {
        selector = Selector.open();
        codec = new MessageCodec(config.fleet());
        thread = new Thread(this::run, "fleet");
        thread.setDaemon(true);
        thread.start();
    }

    static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** The latest snapshot; null before the address was free. */
    public FleetSnapshot snapshot() {
        return snapshot;
    }

    /** Applies new membership settings and seeds, and new features if any was on at the start. All other changes need a restart. */
    public void reconfigure(FleetConfig newConfig) {
        config = newConfig;
        post(() -> {
            if (membership != null) {
                membership.configChanged(nowMs(), newConfig.membershipConfig(), newConfig.seeds());
            }
            if (signalExchange != null) {
                signalExchange.setFeatures(newConfig.features());
            }
        });
    }

    /** Whether this process has begun to leave the fleet. */
    public boolean isStopping() {
        return stopping;
    }

    /** An operator declares that a member has ended and will not come back. */
    public void markEnded(MemberName name) {
        post(() -> {
            if (membership != null) {
                boolean known = membership.markEnded(nowMs(), name);
                LOG.log(Level.INFO, known ? "fleet: {0} has ended, an operator says" : "fleet: {0} is not one that has failed", name);
            }
        });
    }

    private void post(Runnable task) {
        postedTasks.add(task);
        selector.wakeup();
    }

    /** Stops, and either announces that this proxy leaves, or hands over to the process that takes its place. Returns soon. */
    public void stop(boolean handOver) {
        handingOver = handOver;
        stopping = true;
        selector.wakeup();
        try {
            if (!stopped.await(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                LOG.log(Level.WARNING, "fleet: still busy when the process ends");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        try {
            bind();
            while (!stopping) {
                double due = Math.min(wakeAt, Math.min(leaseManager == null ? wakeAt : leaseManager.wakeAt(), signalExchange == null ? wakeAt : signalExchange.wakeAt()));
                long sleep = (long) Math.ceil(Math.min(MAX_SLEEP_MS, due - nowMs()));
                if (sleep > 0) {
                    selector.select(sleep);
                } else {
                    selector.selectNow();
                }
                double from = nowMs();
                runOnce();
                busyMs += nowMs() - from;
            }
            shutDown();
        } catch (IOException | RuntimeException e) { // queries are served without the fleet; the log tells the operator
            LOG.log(Level.ERROR, "fleet: stopped by an error", e);
            snapshot = null;
        } finally {
            close();
            stopped.countDown();
        }
    }

    private void bind() throws IOException {
        boolean isWaiting = false;
        while (!stopping && socket == null) {
            DatagramChannel channel = DatagramChannel.open();
            try {
                channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
                channel.bind(config.bind());
                channel.configureBlocking(false);
                channel.register(selector, SelectionKey.OP_READ);
                socket = channel;
            } catch (SocketException e) {
                channel.close();
                if (!isWaiting) {
                    isWaiting = true;
                    LOG.log(Level.INFO, "fleet: waits for {0}, which another process has", config.bind());
                }
                selector.select(BIND_RETRY_MS);
            }
        }
        if (socket != null) {
            join();
        }
    }

    private void join() throws IOException {
        connectedSocket = DatagramChannel.open();
        connectedSocket.configureBlocking(false);
        connectedSocket.register(selector, SelectionKey.OP_READ);
        recorder = new ViewRecorder(config.recordFile());
        double now = nowMs();
        // Mixes in the clock and the process id: two processes with the same seed must differ.
        SplittableRandom random = new SplittableRandom(seed ^ System.nanoTime() ^ ProcessHandle.current().pid() << 40);
        MemberEntry self = new MemberEntry(config.name(), config.advertise(), new Generation(startMs, random.nextLong()), 0, MemberEntry.State.ALIVE, 0);
        membership = new Membership(config.membershipConfig(), self, this, random, now);
        recorder.started(now, self);
        Set<InetSocketAddress> peers = new LinkedHashSet<>(config.seeds());
        if (knownPeersFile != null) {
            try {
                peers.addAll(KnownPeersFile.read(knownPeersFile, config.fleet()));
            } catch (IOException | RuntimeException e) { // the file is optional
                LOG.log(Level.DEBUG, "fleet: no known peers from an earlier process: {0}", e.toString());
            }
        }
        LOG.log(Level.INFO, "fleet: {0} of {1} listens on {2}", config.name(), config.fleet(), config.bind());
        membership.begin(now, List.copyOf(peers));
        if (config.leases() != null) {
            leaseManager = new LeaseManager(membership, config.leases(), config.voterFile() == null ? null : new VoterFile(config.voterFile()), tasks,
                    this::sendLeaseMessage, this::post, recorder, random.split(), now);
        }
        if (config.features().any()) {
            signalExchange = new SignalExchange(membership, config.membershipConfig().periodMs(), config.membershipConfig().maxMembers(), location, config.features(), routerAdapter,
                    (to, announcements) -> send(to, FleetMessage.of(membership.self(), announcements)), random.split(), now);
        }
        publishSnapshot(now);
    }

    private void runOnce() {
        selector.selectedKeys().clear();
        for (Runnable task = postedTasks.poll(); task != null; task = postedTasks.poll()) {
            task.run();
        }
        receive(socket); // before the clock is read: datagrams that came during a stall of this process must not count as silence
        receiveFromConnected();
        double now = nowMs();
        if (now >= wakeAt) {
            wakeAt = Double.POSITIVE_INFINITY;
            membership.woken(now);
        }
        if (leaseManager != null && now >= leaseManager.wakeAt()) {
            leaseManager.woken(now);
        }
        if (signalExchange != null && now >= signalExchange.wakeAt()) {
            signalExchange.woken(now);
            recordVerdicts(now);
        }
        if (now >= snapshotAt) {
            publishSnapshot(now);
        }
    }

    private void receive(DatagramChannel from) {
        for (int i = 0; i < MAX_BATCH; i++) {
            receiveBuffer.clear();
            InetSocketAddress source;
            try {
                source = (InetSocketAddress) from.receive(receiveBuffer);
            } catch (PortUnreachableException e) {
                if (from == connectedSocket && connectedPeer != null) {
                    membership.connectionRefused(nowMs(), connectedPeer);
                }
                continue;
            } catch (IOException e) { // concerns one datagram only
                LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
                return;
            }
            if (source == null) {
                return;
            }
            double now = nowMs();
            if (now >= secondEndsAt) {
                secondEndsAt = now + TimeUnit.SECONDS.toMillis(1);
                receivedThisSecond = 0;
            }
            if (++receivedThisSecond > MAX_PER_SECOND) {
                rateLimited++;
                continue;
            }
            received++;
            try {
                FleetMessage message = codec.decode(receiveBuffer.array(), receiveBuffer.position());
                message.deliver(source, membership.receiver(now));
                if (message.leaseMessage() != null && leaseManager != null) {
                    leaseManager.handle(now, message.sender().name(), message.leaseMessage());
                }
                if (message.announcements() != null && signalExchange != null) {
                    signalExchange.receive(now, message.announcements());
                }
            } catch (InvalidDatagramException e) {
                dropped.merge(e.reason(), 1L, Long::sum);
            }
        }
    }

    private void receiveFromConnected() {
        if (connectedPeer != null) {
            receive(connectedSocket);
        }
    }

    @Override
    protected void send(InetSocketAddress to, FleetMessage message) {
        try {
            socket.send(ByteBuffer.wrap(codec.encode(message)), to);
            sent++;
        } catch (IOException e) { // the same as a lost datagram
            LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
        }
    }

    private void sendLeaseMessage(MemberName to, LeaseMessage leaseMessage) {
        MemberEntry peer = membership.lookup(to);
        if (peer != null) {
            send(peer.address(), FleetMessage.of(membership.self(), leaseMessage));
        }
    }

    @Override
    public void pingConnected(InetSocketAddress peer, MemberEntry self, long sequence, MemberName target, List<MemberEntry> updates) {
        byte[] bytes = codec.encode(pingMessage(self, sequence, target, updates));
        try {
            if (!peer.equals(connectedPeer)) {
                connectedSocket.disconnect();
                connectedPeer = null;
                connectedSocket.connect(peer);
                connectedPeer = peer;
            }
            connectedSocket.write(ByteBuffer.wrap(bytes));
            sent++;
        } catch (PortUnreachableException e) { // reported for the previous ping
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
    public void memberChanged(MemberEntry previous, MemberEntry updated) {
        recorder.memberChanged(nowMs(), previous, updated);
    }

    @Override
    public void statusChanged(MembershipStatus status) {
        recorder.statusChanged(nowMs(), status, membership.fleetSize());
    }

    @Override
    public void stalled(double ms) {
        super.stalled(ms);
        recorder.stalled(nowMs(), ms);
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }

    private void publishSnapshot(double now) {
        snapshotAt = now + SNAPSHOT_INTERVAL_MS;
        snapshot = new FleetSnapshot(now, membership.view(), membership.status(), membership.fleetSize(), membership.healthScore(), membership.duplicate(),
                sent, received, Map.copyOf(dropped), rateLimited, membership.droppedForCapacity(), busyMs,
                leaseManager == null ? List.of() : leaseManager.heldLeases(), leaseManager == null ? null : leaseManager.isVoterActive(), signalExchange == null ? null : signalExchange.latestVerdicts(), signalExchange == null ? Double.NaN : signalExchange.share(), signalExchange == null ? Double.NaN : signalExchange.position());
        if (membership.fleetSize() != recordedFleetSize) {
            recordedFleetSize = membership.fleetSize();
            recorder.fleetSizeChanged(now, recordedFleetSize);
        }
        if (Math.abs(snapshot.share() - recordedShare) > SHARE_CHANGE * recordedShare) {
            recordedShare = snapshot.share();
            recorder.shareChanged(now, recordedShare);
        }
        if (membership.duplicate() != null && membership.duplicate() != recordedDuplicate) {
            recordedDuplicate = membership.duplicate();
            recorder.duplicateSeen(now, recordedDuplicate);
        }
        if (now >= saveAt) {
            saveAt = now + SAVE_INTERVAL_MS;
            saveKnownPeers();
        }
    }

    /** Records changes of the verdicts on caches since the last call. */
    private void recordVerdicts(double now) {
        Set<NodeId> failing = signalExchange.failingCaches();
        failing.stream().filter(node -> !recordedFailing.contains(node)).forEach(node -> recorder.verdictChanged(now, node, "FAILS"));
        recordedFailing.stream().filter(node -> !failing.contains(node)).forEach(node -> recorder.verdictChanged(now, node, "CLEARED"));
        recordedFailing = failing;
        Set<NodeId> convicted = signalExchange.convictedCaches();
        convicted.stream().filter(node -> !recordedConvicted.contains(node)).forEach(node -> recorder.verdictChanged(now, node, "CONVICTED"));
        recordedConvicted = convicted;
    }

    private void saveKnownPeers() {
        if (knownPeersFile == null) {
            return;
        }
        List<InetSocketAddress> peers = new ArrayList<>();
        for (MemberEntry entry : snapshot.view()) {
            if (entry.state().isLive() && !entry.name().equals(config.name()) && peers.size() < KnownPeersFile.MAX_PEERS) {
                peers.add(entry.address());
            }
        }
        if (!peers.isEmpty()) {
            try {
                KnownPeersFile.write(knownPeersFile, config.fleet(), peers);
            } catch (IOException e) {
                LOG.log(Level.DEBUG, "fleet: the known peers are not saved for the next process: {0}", e.toString());
            }
        }
    }

    private void shutDown() {
        if (membership == null) {
            return;
        }
        if (leaseManager != null) {
            leaseManager.stopAll(nowMs());
        }
        publishSnapshot(nowMs());
        if (handingOver) {
            saveKnownPeers();
            LOG.log(Level.INFO, "fleet: hands over to the process that takes its place");
        } else {
            membership.announceLeave(nowMs());
        }
    }

    private void close() {
        try {
            if (recorder != null) {
                recorder.close();
            }
            if (socket != null) {
                socket.close();
            }
            if (connectedSocket != null) {
                connectedSocket.close();
            }
            selector.close();
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
        }
    }
}
