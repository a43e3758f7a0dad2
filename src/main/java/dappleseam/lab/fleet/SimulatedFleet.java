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
 * Many members in simulated time, one seed, one verdict: every datagram and wake-up is an event, and faults are set while it runs. The module
 * is the one that {@code serve} loads. Times in ms.
 */
public final class SimulatedFleet extends EventSimulation {
    /** Which module the members run. */
    public enum Module {
        SHIPPED,
        WITHOUT_LOCAL_HEALTH,
        /** Without it, and one that stood still looks at its clock before it reads what came meanwhile. */
        PLAIN,
        HEARTBEATS
    }

    /** What a member's view came to hold, told as it happens; {@code before} is null for one not known before. */
    public interface ViewListener {
        void viewChanged(double nowMs, Node viewer, MemberEntry before, MemberEntry now);
    }

    /** Bytes of a datagram beside notices, and UDP's and IP's own. */
    private static final int FRAME_BYTES = 20 + 28;
    /** A day in ms: starts are wall clocks. */
    private static final long DAY_MS = 86_400_000L;

    private final Module kind;
    private final MembershipConfig terms;
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<InetSocketAddress, Node> at = new HashMap<>();
    private PlantedFault planted = PlantedFault.NONE;
    private ViewListener watcher = (nowMs, viewer, before, after) -> { };
    /** Share of datagrams lost everywhere, doubled, and the most by which one is delayed. */
    public double lossRate;
    public double duplicationRate;
    public double maxDelayMs = 2;
    public long datagrams;
    /** What members started from now on decide by what they tell each other. */
    public FleetFeatures features = FleetFeatures.NONE;
    public long bytes;

    /** One member's place: its process may be killed, stopped and started anew. */
    public final class Node extends MessagingHost {
        public final int number;
        public final MemberName name;
        public InetSocketAddress address;
        public MembershipVariant variant;
        public boolean up;
        public double stoppedUntilMs;
        /** Whom its datagrams do not reach; both are set for a cut both ways. */
        public int partition;
        public final Set<Integer> blockedSenders = new HashSet<>();
        public double lossRate;
        /** By how much its wall clock is off. */
        public long clockOffsetMs;
        /** Queries that it takes a second, as its proxy would tell; NaN where that is not known yet. */
        public double trafficPerS = Double.NaN;
        public SignalExchange signalExchange;
        public double startedAtMs;
        public double downSinceMs = Double.NaN;
        public MembershipStatus status;
        public final List<String> logLines = new ArrayList<>();
        private int process;
        private double wakeAt = Double.NaN;
        private final List<Runnable> waiting = new ArrayList<>();

        private Node(int number, MemberName name, InetSocketAddress address) {
            this.number = number;
            this.name = name;
            this.address = address;
        }

        /** A process that knows nothing but those addresses. */
        public void start(List<InetSocketAddress> seeds) {
            up = true;
            startedAtMs = now;
            process++;
            at.put(address, this);
            MemberEntry self = new MemberEntry(name, address, new Generation(Math.max(0, DAY_MS + (long) now + clockOffsetMs), random.nextLong()), 0, MemberEntry.State.ALIVE, 0);
            variant = switch (kind) {
                case HEARTBEATS -> new Heartbeats(this, terms.periodMs(), self);
                default -> new MembershipVariant.Shipped(new Membership(terms, self, this, random.split(), now));
            };
            variant.begin(now, seeds);
            if (features.any()) {
                signalExchange = new SignalExchange(membership(), terms.periodMs(), terms.maxMembers(), Announcement.NO_LOCATION, features, new Rates(), (to, news) -> send(to, FleetMessage.of(membership().self(), news)),
                        random.split(), now);
                wakeDesk(process);
            }
        }

        private void wakeDesk(int mine) {
            schedule(Math.max(signalExchange.wakeAt(), stoppedUntilMs) - now, () -> {
                if (process == mine && !isStopped()) {
                    signalExchange.woken(now);
                }
                if (process == mine) {
                    wakeDesk(mine);
                }
            });
        }

        private final class Rates implements RouterAdapter {
            @Override
            public Collection<LocalObservation> observations() {
                return List.of();
            }

            @Override
            public double queriesPerS() {
                return trafficPerS;
            }

            @Override
            public void onVerdicts(List<PeerVerdict> words) { }

            @Override
            public void onShare(double share, double place) { }
        }

        /** Of its process. */
        public long nonce() {
            return membership().self().generation().nonce();
        }

        public Membership membership() {
            return ((MembershipVariant.Shipped) variant).membership();
        }

        /** As by SIGKILL. */
        public void kill() {
            up = false;
            downSinceMs = now;
            process++;
            wakeAt = Double.NaN;
            stoppedUntilMs = 0;
            waiting.clear();
            at.remove(address, this);
        }

        public void leave() {
            variant.announceLeave(now);
            kill();
        }

        /** As by SIGSTOP and SIGCONT: what comes meanwhile waits in its socket, up to a bound. */
        public void stop(double forMs) {
            stoppedUntilMs = now + forMs;
            int mine = process;
            schedule(forMs, () -> {
                if (process == mine) {
                    List<Runnable> late = List.copyOf(waiting);
                    waiting.clear();
                    if (kind != Module.PLAIN) {
                        late.forEach(Runnable::run);
                    }
                    if (!Double.isNaN(wakeAt) && wakeAt <= now) {
                        wakeAt = Double.NaN;
                        variant.woken(now);
                    }
                    if (kind == Module.PLAIN) {
                        late.forEach(Runnable::run);
                    }
                }
            });
        }

        public boolean isStopped() {
            return now < stoppedUntilMs;
        }

        @Override
        protected void send(InetSocketAddress to, FleetMessage letter) {
            send(to, letter, false);
        }

        private void send(InetSocketAddress to, FleetMessage sent, boolean isCall) {
            datagrams++;
            bytes += size(sent) + FRAME_BYTES;
            Node peer = at.get(to);
            if (peer == null || !passes(peer)) {
                return;
            }
            FleetMessage letter = planted.intercept(sent, peer.name, isCall);
            if (letter == null) {
                return;
            }
            int copies = duplicationRate > 0 && random.nextDouble() < duplicationRate ? 2 : 1;
            int process = peer.process;
            InetSocketAddress from = address;
            for (int i = 0; i < copies; i++) {
                schedule(0.1 + maxDelayMs * random.nextDouble(), () -> {
                    if (!peer.up || peer.process != process) {
                        return;
                    }
                    Runnable delivery = () -> {
                        letter.deliver(from, peer.variant.receiver(now));
                        if (letter.announcements() != null && peer.signalExchange != null) {
                            peer.signalExchange.receive(now, letter.announcements());
                        }
                    };
                    if (!peer.isStopped()) {
                        delivery.run();
                    } else if (peer.waiting.size() < 500) {
                        peer.waiting.add(delivery);
                    }
                });
            }
        }

        private boolean passes(Node to) {
            double lost = Math.max(lossRate, Math.max(SimulatedFleet.this.lossRate, to.lossRate));
            return partition == to.partition && !to.blockedSenders.contains(number) && (lost == 0 || random.nextDouble() >= lost);
        }

        @Override
        public void pingConnected(InetSocketAddress peer, MemberEntry self, long number, MemberName target, List<MemberEntry> news) {
            send(peer, pingMessage(self, number, target, news), true);
            Node there = nodeAt(peer);
            if (at.get(peer) == null && there != null && passes(there)) {
                int mine = process;
                schedule(1, () -> {
                    if (process == mine && !isStopped()) {
                        variant.connectionRefused(now, peer);
                    }
                });
            }
        }

        @Override
        public void wakeAt(double ms) {
            wakeAt = ms;
            int mine = process;
            schedule(Math.max(0, ms - now), () -> {
                if (process == mine && wakeAt == ms && !isStopped()) {
                    wakeAt = Double.NaN;
                    variant.woken(now);
                }
            });
        }

        @Override
        public void memberChanged(MemberEntry before, MemberEntry after) {
            watcher.viewChanged(now, this, before, after);
        }

        @Override
        public void statusChanged(MembershipStatus now) {
            status = now;
        }

        @Override
        public void log(String text) {
            if (logLines.size() < 1000) {
                logLines.add(text);
            }
        }
    }

    public SimulatedFleet(Module kind, MembershipConfig terms, int members, long seed) {
        super(0);
        this.kind = kind;
        this.terms = kind == Module.WITHOUT_LOCAL_HEALTH || kind == Module.PLAIN
                ? new MembershipConfig(terms.periodMs(), terms.initialFleetSize(), terms.maxMembers(), terms.forgetAfterMs(), false, terms.indirectProbes()) : terms;
        random = new SplittableRandom(seed);
        for (int i = 0; i < members; i++) {
            nodes.add(new Node(i, new MemberName("p" + i), address(i)));
        }
    }

    /** Of 10.0.0.0/8; nothing is ever sent there, it is a name in the simulation. */
    public static InetSocketAddress address(int number) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(new byte[] {10, (byte) (number >> 16), (byte) (number >> 8), (byte) number}), 7946);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int size(FleetMessage letter) {
        int size = letter.sender().maxEncodedBytes() + (letter.subject() == null ? 0 : letter.subject().maxEncodedBytes())
                + (letter.digests() == null ? 0 : Integer.BYTES * letter.digests().length);
        for (MemberEntry notice : letter.updates()) {
            size += notice.maxEncodedBytes();
        }
        return size + (letter.announcements() == null ? 0 : letter.announcements().stream().mapToInt(Announcement::maxEncodedBytes).sum());
    }

    /** Another that goes by that one's name, by mistake; it is not started, and not one of those that have to agree. */
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

    public void setViewListener(ViewListener by) {
        watcher = by;
    }

    /** Takes a defence out. */
    public void setPlantedFault(PlantedFault by) {
        planted = by;
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

    /** All start within a period; those whose number is below {@code seeds} are named to all. */
    public void startAll(int seeds) {
        List<InetSocketAddress> known = kind == Module.HEARTBEATS ? nodes.stream().map(n -> n.address).toList()
                : nodes.subList(0, Math.min(seeds, nodes.size())).stream().map(n -> n.address).toList();
        nodes.forEach(node -> schedule(random.nextDouble() * terms.periodMs(), () -> node.start(known)));
    }

    /** All start within a period, and then all know each other: else the news of so many takes minutes to be told. */
    public void startPreloaded() {
        startAll(1);
        runFor(terms.periodMs() + 1);
        List<MemberEntry> all = nodes.stream().map(n -> n.membership().self()).toList();
        nodes.forEach(n -> n.membership().preload(now, all));
    }

    /** Whether each process that is up holds each other one for alive in its present life, and each that is down for not present. */
    public boolean allViewsCorrect() {
        return nodes.stream().filter(n -> n.up).allMatch(this::isViewCorrect);
    }

    public boolean isViewCorrect(Node viewer) {
        for (Node node : nodes) {
            MemberEntry held = viewer.variant.lookup(node.name);
            boolean present = held != null && held.state().isLive();
            if (present != node.up || node.up && kind != Module.HEARTBEATS && !held.generation().equals(node.membership().self().generation())) {
                return false;
            }
        }
        return true;
    }

    /** Runs on until all views are right; the time it took in ms, or NaN where it took longer than that. */
    public double runUntilAgreed(double mostMs) {
        double from = now;
        while (now < from + mostMs) {
            if (allViewsCorrect()) {
                return now - from;
            }
            runFor(terms.periodMs() / 10);
        }
        return allViewsCorrect() ? now - from : Double.NaN;
    }
}
