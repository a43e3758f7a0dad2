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
public final class SimulatedFleet extends SimulatedTime {
    /** The membership module that the members run. */
    public enum Module {
        SHIPPED,
        WITHOUT_LOCAL_HEALTH,
        /** Without local health, and a member that was stopped runs its timers before it reads the datagrams that arrived meanwhile. */
        PLAIN,
        HEARTBEATS
    }

    /** Notified of every change of an entry in a member's view; {@code before} is null for a member that was not in the view. */
    public interface Watcher {
        void saw(double nowMs, Node viewer, MemberEntry before, MemberEntry now);
    }

    /** Bytes of a datagram in addition to its entries: the message's own overhead, and the UDP and IP headers. */
    private static final int FRAME_BYTES = 20 + 28;
    /** A day in ms. Start times are wall-clock times, so simulated time begins a day after the epoch, which leaves room for clocks that are behind. */
    private static final long DAY_MS = 86_400_000L;

    private final Module kind;
    private final MembershipConfig terms;
    private final SplittableRandom random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<InetSocketAddress, Node> at = new HashMap<>();
    private Planted planted = Planted.NONE;
    private Watcher watcher = (nowMs, viewer, before, after) -> { };
    /** Shares of all datagrams that are lost and that are duplicated, and the maximum delay of a datagram. */
    public double loss;
    public double doubled;
    public double delayMs = 2;
    public long datagrams;
    /** The fleet features that are enabled for members started from now on. */
    public FleetFeatures choices = FleetFeatures.NONE;
    public long bytes;

    /** A member's slot in the fleet: its process can be killed, stopped and restarted. */
    public final class Node extends MessagingHost {
        public final int number;
        public final MemberName name;
        public InetSocketAddress address;
        public Subject subject;
        public boolean up;
        public double stoppedUntil;
        /** Datagrams only pass between nodes of the same partition. */
        public int group;
        /** Numbers of the nodes whose datagrams do not reach this one; set on both nodes for a cut in both directions. */
        public final Set<Integer> deafTo = new HashSet<>();
        public double loss;
        /** Offset of its wall clock in ms. */
        public long clockOffMs;
        /** Queries per second, as its router would report them; NaN while not known. */
        public double ratePerS = Double.NaN;
        public SignalExchange desk;
        public double upSince;
        public double downSince = Double.NaN;
        public MembershipStatus standing;
        public final List<String> lines = new ArrayList<>();
        private int process;
        private double wakeAt = Double.NaN;
        private final List<Runnable> waiting = new ArrayList<>();

        private Node(int number, MemberName name, InetSocketAddress address) {
            this.number = number;
            this.name = name;
            this.address = address;
        }

        /** Starts a process that knows nothing but the seed addresses. */
        public void start(List<InetSocketAddress> seeds) {
            up = true;
            upSince = now;
            process++;
            at.put(address, this);
            MemberEntry self = new MemberEntry(name, address, new Generation(Math.max(0, DAY_MS + (long) now + clockOffMs), random.nextLong()), 0, MemberEntry.State.ALIVE, 0);
            subject = switch (kind) {
                case HEARTBEATS -> new Heartbeats(this, terms.periodMs(), self);
                default -> new Subject.Shipped(new Membership(terms, self, this, random.split(), now));
            };
            subject.begin(now, seeds);
            if (choices.any()) {
                desk = new SignalExchange(membership(), terms.periodMs(), terms.maxMembers(), Announcement.NO_LOCATION, choices, new Rates(), (to, news) -> send(to, FleetMessage.of(membership().self(), news)),
                        random.split(), now);
                wakeDesk(process);
            }
        }

        private void wakeDesk(int mine) {
            after(Math.max(desk.wakeAt(), stoppedUntil) - now, () -> {
                if (process == mine && !isStopped()) {
                    desk.woken(now);
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
                return ratePerS;
            }

            @Override
            public void onVerdicts(List<PeerVerdict> words) { }

            @Override
            public void onShare(double share, double place) { }
        }

        /** The nonce of its current process. */
        public long nonce() {
            return membership().self().generation().nonce();
        }

        public Membership membership() {
            return ((Subject.Shipped) subject).membership();
        }

        /** Ends the process as SIGKILL does. */
        public void kill() {
            up = false;
            downSince = now;
            process++;
            wakeAt = Double.NaN;
            stoppedUntil = 0;
            waiting.clear();
            at.remove(address, this);
        }

        public void leaveOrderly() {
            subject.leaving(now);
            kill();
        }

        /** Stops the process for a time, as SIGSTOP and SIGCONT do: datagrams that arrive meanwhile wait in its socket buffer, up to a limit. */
        public void stop(double forMs) {
            stoppedUntil = now + forMs;
            int mine = process;
            after(forMs, () -> {
                if (process == mine) {
                    List<Runnable> late = List.copyOf(waiting);
                    waiting.clear();
                    if (kind != Module.PLAIN) {
                        late.forEach(Runnable::run);
                    }
                    if (!Double.isNaN(wakeAt) && wakeAt <= now) {
                        wakeAt = Double.NaN;
                        subject.woken(now);
                    }
                    if (kind == Module.PLAIN) {
                        late.forEach(Runnable::run);
                    }
                }
            });
        }

        public boolean isStopped() {
            return now < stoppedUntil;
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
            FleetMessage letter = planted.passed(sent, peer.name, isCall);
            if (letter == null) {
                return;
            }
            int copies = doubled > 0 && random.nextDouble() < doubled ? 2 : 1;
            int process = peer.process;
            InetSocketAddress from = address;
            for (int i = 0; i < copies; i++) {
                after(0.1 + delayMs * random.nextDouble(), () -> {
                    if (!peer.up || peer.process != process) {
                        return;
                    }
                    Runnable delivery = () -> {
                        letter.deliver(from, peer.subject.heard(now));
                        if (letter.announcements() != null && peer.desk != null) {
                            peer.desk.receive(now, letter.announcements());
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
            double lost = Math.max(loss, Math.max(SimulatedFleet.this.loss, to.loss));
            return group == to.group && !to.deafTo.contains(number) && (lost == 0 || random.nextDouble() >= lost);
        }

        @Override
        public void pingConnected(InetSocketAddress peer, MemberEntry self, long number, MemberName target, List<MemberEntry> news) {
            send(peer, pingMessage(self, number, target, news), true);
            Node there = nodeAt(peer);
            if (at.get(peer) == null && there != null && passes(there)) {
                int mine = process;
                after(1, () -> {
                    if (process == mine && !isStopped()) {
                        subject.refused(now, peer);
                    }
                });
            }
        }

        @Override
        public void wakeAt(double ms) {
            wakeAt = ms;
            int mine = process;
            after(Math.max(0, ms - now), () -> {
                if (process == mine && wakeAt == ms && !isStopped()) {
                    wakeAt = Double.NaN;
                    subject.woken(now);
                }
            });
        }

        @Override
        public void memberChanged(MemberEntry before, MemberEntry after) {
            watcher.saw(now, this, before, after);
        }

        @Override
        public void statusChanged(MembershipStatus now) {
            standing = now;
        }

        @Override
        public void log(String text) {
            if (lines.size() < 1000) {
                lines.add(text);
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

    /** The address of a node in 10.0.0.0/8. It only identifies the node within the simulation; nothing is ever sent to it. */
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

    /**
     * Creates a duplicate: a node that uses another node's name, as after a configuration mistake. It is not started, and is not among {@link #nodes()},
     * whose views have to agree.
     */
    public Node twinOf(int number) {
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

    public void watch(Watcher by) {
        watcher = by;
    }

    /** Sets the fault planted between the members. */
    public void plant(Planted by) {
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

    /** Starts all members within one period; the first {@code seeds} nodes are the seed addresses of all. */
    public void startAll(int seeds) {
        List<InetSocketAddress> known = kind == Module.HEARTBEATS ? nodes.stream().map(n -> n.address).toList()
                : nodes.subList(0, Math.min(seeds, nodes.size())).stream().map(n -> n.address).toList();
        nodes.forEach(node -> after(random.nextDouble() * terms.periodMs(), () -> node.start(known)));
    }

    /** Starts all members within one period and then preloads their views: in a large fleet, gossip about all the starts would take minutes. */
    public void startKnown() {
        startAll(1);
        runFor(terms.periodMs() + 1);
        List<MemberEntry> all = nodes.stream().map(n -> n.membership().self()).toList();
        nodes.forEach(n -> n.membership().preload(now, all));
    }

    /** Whether every running process considers every other running process live, in its current generation, and no stopped member live. */
    public boolean agree() {
        return nodes.stream().filter(n -> n.up).allMatch(this::isRight);
    }

    /** Whether one node's view is correct in that sense. */
    public boolean isRight(Node viewer) {
        for (Node node : nodes) {
            MemberEntry held = viewer.subject.of(node.name);
            boolean present = held != null && held.state().isLive();
            if (present != node.up || node.up && kind != Module.HEARTBEATS && !held.generation().equals(node.membership().self().generation())) {
                return false;
            }
        }
        return true;
    }

    /** Runs until all views are correct; returns the time it took in ms, or NaN if it took longer than the given time. */
    public double untilAgreed(double mostMs) {
        double from = now;
        while (now < from + mostMs) {
            if (agree()) {
                return now - from;
            }
            runFor(terms.periodMs() / 10);
        }
        return agree() ? now - from : Double.NaN;
    }
}
