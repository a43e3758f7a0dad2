package dappleseam.lab.fleet;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MembershipStatus;
import dappleseam.fleet.membership.MembershipConfig;
import dappleseam.fleet.peers.FleetMessage;
import dappleseam.fleet.peers.MessagingHost;
import dappleseam.fleet.peers.RouterAdapter;
import dappleseam.fleet.peers.SignalExchange;
import dappleseam.fleet.share.Announcement;
import dappleseam.fleet.share.FleetFeatures;
import dappleseam.fleet.share.PeerVerdict;
import dappleseam.fleet.share.LocalObservation;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Many members in simulated time, fully determined by the seed: every datagram and wake-up is an event, and faults can be injected while it runs.
 * The membership module is the one that {@code serve} uses, unless a baseline is chosen. Times are in ms.
 */
public final class SimulatedFleet extends EventSimulation {
    /** The membership module that the members run. */
    public enum Module {
        SHIPPED,
        WITHOUT_LOCAL_HEALTH,
        /** Without local health, and a member that was stopped runs its timers before it reads the datagrams that arrived meanwhile. */
        PLAIN,
        HEARTBEATS
    }

    /** Notified of every change of an entry in a member's view; {@code before} is null for a member that was not in the view. */
    public interface ViewListener {
        void viewChanged(double nowMs, Node viewer, MemberEntry before, MemberEntry now);
    }

    /** Bytes of a datagram in addition to its entries: the message's own overhead, and the UDP and IP headers. */
    private static final int OVERHEAD_BYTES = 20 + 28;
    /** A day in ms. Start times are wall-clock times, so simulated time begins a day after the epoch, which leaves room for clocks that are behind. */
    private static final long DAY_MS = 86_400_000L;

    private final Module module;
    private final MembershipConfig config;
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<InetSocketAddress, Node> runningNodes = new HashMap<>();
    private PlantedFault plantedFault = PlantedFault.NONE;
    private ViewListener viewListener = (nowMs, viewer, before, after) -> { };
    /** Shares of all datagrams that are lost and that are duplicated, and the maximum delay of a datagram. */
    public double lossRate;
    public double duplicationRate;
    public double maxDelayMs = 2;
    public long datagrams;
    /** The fleet features that are enabled for members started from now on. */
    public FleetFeatures features = FleetFeatures.NONE;
    public long bytes;

    /** A member's slot in the fleet: its process can be killed, stopped and restarted. */
    public final class Node extends MessagingHost {
        public final int number;
        public final MemberName name;
        public InetSocketAddress address;
        public MembershipVariant variant;
        public boolean up;
        public double stoppedUntilMs;
        /** Datagrams only pass between nodes of the same partition. */
        public int partition;
        /** Numbers of the nodes whose datagrams do not reach this one; set on both nodes for a cut in both directions. */
        public final Set<Integer> blockedSenders = new HashSet<>();
        public double lossRate;
        /** Offset of its wall clock in ms. */
        public long clockOffsetMs;
        /** Queries per second, as its router would report them; NaN while not known. */
        public double trafficPerS = Double.NaN;
        public SignalExchange signalExchange;
        public double startedAtMs;
        public double downSinceMs = Double.NaN;
        public MembershipStatus status;
        public final List<String> logLines = new ArrayList<>();
        private int epoch;
        private double wakeAt = Double.NaN;
        private final List<Runnable> queuedDeliveries = new ArrayList<>();

        private Node(int number, MemberName name, InetSocketAddress address) {
            this.number = number;
            this.name = name;
            this.address = address;
        }

        /** Starts a process that knows nothing but the seed addresses. */
        public void start(List<InetSocketAddress> seeds) {
            up = true;
            startedAtMs = now;
            epoch++;
            runningNodes.put(address, this);
            MemberEntry self = new MemberEntry(name, address, new Generation(Math.max(0, DAY_MS + (long) now + clockOffsetMs), random.nextLong()), 0, MemberEntry.State.ALIVE, 0);
            variant = switch (module) {
                case HEARTBEATS -> new HeartbeatMembership(this, config.periodMs(), self);
                default -> new MembershipVariant.Shipped(new Membership(config, self, this, random.split(), now));
            };
            variant.begin(now, seeds);
            if (features.any()) {
                signalExchange = new SignalExchange(membership(), config.periodMs(), config.maxMembers(), Announcement.NO_LOCATION, features, new SimulatedRouter(), (to, news) -> send(to, FleetMessage.of(membership().self(), news)),
                        random.split(), now);
                scheduleSignalExchange(epoch);
            }
        }

        private void scheduleSignalExchange(int scheduledEpoch) {
            schedule(Math.max(signalExchange.wakeAt(), stoppedUntilMs) - now, () -> {
                if (epoch == scheduledEpoch && !isStopped()) {
                    signalExchange.woken(now);
                }
                if (epoch == scheduledEpoch) {
                    scheduleSignalExchange(scheduledEpoch);
                }
            });
        }

        private final class SimulatedRouter implements RouterAdapter {
            @Override
            public Collection<LocalObservation> observations() {
                return List.of();
            }

            @Override
            public double queriesPerS() {
                return trafficPerS;
            }

            @Override
            public void onVerdicts(List<PeerVerdict> verdicts) { }

            @Override
            public void onShare(double share, double position) { }
        }

        /** The nonce of its current process. */
        public long nonce() {
            return membership().self().generation().nonce();
        }

        public Membership membership() {
            return ((MembershipVariant.Shipped) variant).membership();
        }

        /** Ends the process as SIGKILL does. */
        public void kill() {
            up = false;
            downSinceMs = now;
            epoch++;
            wakeAt = Double.NaN;
            stoppedUntilMs = 0;
            queuedDeliveries.clear();
            runningNodes.remove(address, this);
        }

        public void leave() {
            variant.announceLeave(now);
            kill();
        }

        /** Stops the process for a time, as SIGSTOP and SIGCONT do: datagrams that arrive meanwhile wait in its socket buffer, up to a limit. */
        public void stop(double forMs) {
            stoppedUntilMs = now + forMs;
            int stoppedEpoch = epoch;
            schedule(forMs, () -> {
                if (epoch == stoppedEpoch) {
                    List<Runnable> queued = List.copyOf(queuedDeliveries);
                    queuedDeliveries.clear();
                    if (module != Module.PLAIN) {
                        queued.forEach(Runnable::run);
                    }
                    if (!Double.isNaN(wakeAt) && wakeAt <= now) {
                        wakeAt = Double.NaN;
                        variant.woken(now);
                    }
                    if (module == Module.PLAIN) {
                        queued.forEach(Runnable::run);
                    }
                }
            });
        }

        public boolean isStopped() {
            return now < stoppedUntilMs;
        }

        @Override
        protected void send(InetSocketAddress to, FleetMessage message) {
            send(to, message, false);
        }

        private void send(InetSocketAddress to, FleetMessage sent, boolean isConnected) {
            datagrams++;
            bytes += messageBytes(sent) + OVERHEAD_BYTES;
            Node peer = runningNodes.get(to);
            if (peer == null || !isDelivered(peer)) {
                return;
            }
            FleetMessage message = plantedFault.intercept(sent, peer.name, isConnected);
            if (message == null) {
                return;
            }
            int copies = duplicationRate > 0 && random.nextDouble() < duplicationRate ? 2 : 1;
            int peerEpoch = peer.epoch;
            InetSocketAddress from = address;
            for (int i = 0; i < copies; i++) {
                schedule(0.1 + maxDelayMs * random.nextDouble(), () -> {
                    if (!peer.up || peer.epoch != peerEpoch) {
                        return;
                    }
                    Runnable delivery = () -> {
                        message.deliver(from, peer.variant.receiver(now));
                        if (message.announcements() != null && peer.signalExchange != null) {
                            peer.signalExchange.receive(now, message.announcements());
                        }
                    };
                    if (!peer.isStopped()) {
                        delivery.run();
                    } else if (peer.queuedDeliveries.size() < 500) {
                        peer.queuedDeliveries.add(delivery);
                    }
                });
            }
        }

        private boolean isDelivered(Node to) {
            double rate = Math.max(lossRate, Math.max(SimulatedFleet.this.lossRate, to.lossRate));
            return partition == to.partition && !to.blockedSenders.contains(number) && (rate == 0 || random.nextDouble() >= rate);
        }

        @Override
        public void pingConnected(InetSocketAddress peer, MemberEntry self, long sequence, MemberName target, List<MemberEntry> updates) {
            send(peer, pingMessage(self, sequence, target, updates), true);
            Node destination = nodeAt(peer);
            if (runningNodes.get(peer) == null && destination != null && isDelivered(destination)) {
                int sendingEpoch = epoch;
                schedule(1, () -> {
                    if (epoch == sendingEpoch && !isStopped()) {
                        variant.connectionRefused(now, peer);
                    }
                });
            }
        }

        @Override
        public void wakeAt(double ms) {
            wakeAt = ms;
            int scheduledEpoch = epoch;
            schedule(Math.max(0, ms - now), () -> {
                if (epoch == scheduledEpoch && wakeAt == ms && !isStopped()) {
                    wakeAt = Double.NaN;
                    variant.woken(now);
                }
            });
        }

        @Override
        public void memberChanged(MemberEntry before, MemberEntry after) {
            viewListener.viewChanged(now, this, before, after);
        }

        @Override
        public void statusChanged(MembershipStatus newStatus) {
            status = newStatus;
        }

        @Override
        public void log(String text) {
            if (logLines.size() < 1000) {
                logLines.add(text);
            }
        }
    }

    public SimulatedFleet(Module module, MembershipConfig config, int members, long seed) {
        super(0);
        this.module = module;
        this.config = module == Module.WITHOUT_LOCAL_HEALTH || module == Module.PLAIN
                ? new MembershipConfig(config.periodMs(), config.initialFleetSize(), config.maxMembers(), config.forgetAfterMs(), false, config.indirectProbes()) : config;
        random = new SplittableRandom(seed);
        for (int i = 0; i < members; i++) {
            nodes.add(new Node(i, new MemberName("p" + i), address(i)));
        }
    }

    /** The address of a node in 10.0.0.0/8. It only identifies the node within the simulation; nothing is ever sent to it. */
    public static InetSocketAddress address(int number) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, (byte) (number >> 16), (byte) (number >> 8), (byte) number}), 7946);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int messageBytes(FleetMessage message) {
        int size = message.sender().maxEncodedBytes() + (message.subject() == null ? 0 : message.subject().maxEncodedBytes())
                + (message.digests() == null ? 0 : Integer.BYTES * message.digests().length);
        for (MemberEntry entry : message.updates()) {
            size += entry.maxEncodedBytes();
        }
        return size + (message.announcements() == null ? 0 : message.announcements().stream().mapToInt(Announcement::maxEncodedBytes).sum());
    }

    /**
     * Creates a duplicate: a node that uses another node's name, as after a configuration mistake. It is not started, and is not among {@link #nodes()},
     * whose views have to agree.
     */
    public Node createDuplicate(int number) {
        return new Node(nodes.size(), nodes.get(number).name, address(nodes.size()));
    }

    private Node nodeAt(InetSocketAddress address) {
        for (Node node : nodes) {
            if (node.address.equals(address)) {
                return node;
            }
        }
        return null;
    }

    public void setViewListener(ViewListener listener) {
        viewListener = listener;
    }

    /** Sets the fault planted between the members. */
    public void setPlantedFault(PlantedFault fault) {
        plantedFault = fault;
    }

    public List<Node> nodes() {
        return nodes;
    }

    public Node node(int number) {
        return nodes.get(number);
    }

    public SplittableRandom random() {
        return random;
    }

    /** Starts all members within one period; the first {@code seeds} nodes are the seed addresses of all. */
    public void startAll(int seeds) {
        List<InetSocketAddress> known = module == Module.HEARTBEATS ? nodes.stream().map(n -> n.address).toList()
                : nodes.subList(0, Math.min(seeds, nodes.size())).stream().map(n -> n.address).toList();
        nodes.forEach(node -> schedule(random.nextDouble() * config.periodMs(), () -> node.start(known)));
    }

    /** Starts all members within one period and then preloads their views: in a large fleet, gossip about all the starts would take minutes. */
    public void startPreloaded() {
        startAll(1);
        runFor(config.periodMs() + 1);
        List<MemberEntry> all = nodes.stream().map(n -> n.membership().self()).toList();
        nodes.forEach(n -> n.membership().preload(now, all));
    }

    /** Whether every running process considers every other running process live, in its current generation, and no stopped member live. */
    public boolean allViewsCorrect() {
        return nodes.stream().filter(n -> n.up).allMatch(this::isViewCorrect);
    }

    /** Whether one node's view is correct in that sense. */
    public boolean isViewCorrect(Node viewer) {
        for (Node node : nodes) {
            MemberEntry viewEntry = viewer.variant.lookup(node.name);
            boolean present = viewEntry != null && viewEntry.state().isLive();
            if (present != node.up || node.up && module != Module.HEARTBEATS && !viewEntry.generation().equals(node.membership().self().generation())) {
                return false;
            }
        }
        return true;
    }

    /** Runs until all views are correct; returns the time it took in ms, or NaN if it took longer than the given time. */
    public double runUntilAgreed(double maxMs) {
        double from = now;
        while (now < from + maxMs) {
            if (allViewsCorrect()) {
                return now - from;
            }
            runFor(config.periodMs() / 10);
        }
        return allViewsCorrect() ? now - from : Double.NaN;
    }
}
