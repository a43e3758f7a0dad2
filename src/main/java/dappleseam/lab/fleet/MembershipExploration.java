package dappleseam.lab.fleet;

import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MemberEntry.State;
import dappleseam.fleet.membership.MembershipStatus;
import dappleseam.fleet.membership.MembershipConfig;
import dappleseam.fleet.peers.FleetMessage;
import dappleseam.fleet.peers.MessagingHost;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Model checking of the membership: all orders of events of a small fleet up to a depth, i.e. which datagram arrives next, is lost or is duplicated,
 * when time advances, and which member is killed, starts without state, or stalls. The module is the shipped one; equal states are continued from
 * only once.
 */
public final class MembershipExploration {
    /** An event; {@code which} is a datagram's index or a member's number. */
    public record Move(Kind kind, int which) {}

    /** The possible events. */
    public enum Kind { DELIVER, LOSE, REPEAT, TIME, KILL, START, STALL }

    /** The number of distinct states and of paths played, and the first violation with the moves that led to it, or null. */
    public record Result(long states, long paths, String violation) {}

    private static final int MEMBERS = 3;
    private static final double ROUNDING = 1e-9;
    private static final double PERIOD_MS = 1000;
    private static final double STALL_MS = 900;
    /** This many of the oldest datagrams in flight are considered. */
    private static final int MAX_CHOICES = 4;
    /** Time in ms without faults after which all views have to be correct, whatever the state before. */
    private static final double SETTLE_MS = 120_000;

    /** Members that are running when the exploration begins; the others start during it, or never. */
    private final int initialMembers;
    private final int depth;
    private final int maxFaults;
    private final boolean settle;
    private final PlantedFault plantedFault;
    private final Set<String> visited = new HashSet<>();
    private long paths;
    private String violation;

    /** {@code maxFaults}: losses, duplicates, deaths and stalls on one path at most; {@code settle}: continue each path without faults and check the final views. */
    public MembershipExploration(int depth, int maxFaults, boolean settle, PlantedFault plantedFault) {
        this(MEMBERS, depth, maxFaults, settle, plantedFault);
    }

    /** The same, with only the first {@code initialMembers} members running at the beginning. */
    public MembershipExploration(int initialMembers, int depth, int maxFaults, boolean settle, PlantedFault plantedFault) {
        this.initialMembers = initialMembers;
        this.plantedFault = plantedFault;
        this.depth = depth;
        this.maxFaults = maxFaults;
        this.settle = settle;
    }

    public Result run() {
        explore(new ArrayList<>(), 0);
        return new Result(visited.size(), paths, violation);
    }

    private void explore(List<Move> path, int faultsUsed) {
        if (violation != null) {
            return;
        }
        Model model = new Model(plantedFault, initialMembers);
        path.forEach(model::play);
        paths++;
        if (model.violation != null) {
            violation = model.violation + " after " + path;
            return;
        }
        if (!visited.add((depth - path.size()) + "/" + (maxFaults - faultsUsed) + "/" + model.state())) {
            return;
        }
        if (path.size() == depth) {
            if (settle) {
                model.settle();
                if (model.violation != null) {
                    violation = model.violation + " in the phase without faults after " + path;
                }
            }
            return;
        }
        for (Move move : model.moves()) {
            boolean isFault = move.kind != Kind.DELIVER && move.kind != Kind.TIME && move.kind != Kind.START;
            if (!isFault || faultsUsed < maxFaults) {
                path.add(move);
                explore(path, faultsUsed + (isFault ? 1 : 0));
                path.remove(path.size() - 1);
            }
        }
    }

    /** Three members, and the datagrams in flight between them. */
    private static final class Model {
        final PlantedFault plantedFault;
        final List<Member> members = new ArrayList<>();
        final List<InFlightMessage> inFlight = new ArrayList<>();
        final Map<Generation, MemberEntry> announced = new HashMap<>();
        double now;
        String violation;

        record InFlightMessage(int to, InetSocketAddress from, FleetMessage message) {
            String text() {
                return "\n" + to + from + message.kind() + message.sender() + message.target() + message.subject() + message.updates();
            }
        }

        Model(PlantedFault plantedFault, int initialMembers) {
            this.plantedFault = plantedFault;
            for (int i = 0; i < MEMBERS; i++) {
                members.add(new Member(this, i));
            }
            members.subList(0, initialMembers).forEach(m -> m.start(0));
            // The members get to know each other, and gossip about the starts ends: the exploration begins from there.
            while (now < 12 * PERIOD_MS) {
                deliverAll();
                advance();
            }
            deliverAll();
        }

        void deliverAll() {
            for (int i = 0; i < 10_000 && !inFlight.isEmpty(); i++) {
                deliver(inFlight.remove(0));
            }
        }

        void deliver(InFlightMessage sent) {
            Member to = members.get(sent.to);
            if (to.up) {
                sent.message.deliver(sent.from, to.membership.receiver(now));
            }
        }

        double nextTimer() {
            return members.stream().filter(m -> m.up).mapToDouble(m -> m.wakeAt).min().orElse(now + PERIOD_MS);
        }

        void advance() {
            now = Math.max(now, nextTimer());
            for (Member member : members) {
                if (member.up && member.wakeAt <= now) {
                    member.wakeAt = Double.POSITIVE_INFINITY;
                    member.membership.woken(now);
                }
            }
        }

        List<Move> moves() {
            List<Move> moves = new ArrayList<>();
            for (int i = 0; i < Math.min(MAX_CHOICES, inFlight.size()); i++) {
                moves.add(new Move(Kind.DELIVER, i));
                moves.add(new Move(Kind.LOSE, i));
                moves.add(new Move(Kind.REPEAT, i));
            }
            moves.add(new Move(Kind.TIME, 0));
            for (Member member : members) {
                moves.add(new Move(member.up ? Kind.KILL : Kind.START, member.number));
            }
            moves.add(new Move(Kind.STALL, 0));
            return moves;
        }

        void play(Move move) {
            switch (move.kind) {
                case DELIVER -> deliver(inFlight.remove(move.which));
                case LOSE -> inFlight.remove(move.which);
                case REPEAT -> deliver(inFlight.get(move.which));
                case TIME -> advance();
                case KILL -> {
                    Member member = members.get(move.which);
                    member.up = false;
                    inFlight.removeIf(s -> s.to == move.which);
                }
                case START -> members.get(move.which).start(now);
                // All members but the first keep running; the first notices the stall when it wakes up.
                case STALL -> {
                    double until = now + STALL_MS;
                    Member stopped = members.get(0);
                    while (nextTimer() < until && members.stream().anyMatch(m -> m.up && m != stopped)) {
                        double timer = stopped.wakeAt;
                        stopped.wakeAt = Double.POSITIVE_INFINITY;
                        advance();
                        stopped.wakeAt = timer;
                        if (nextTimer() == timer) {
                            break;
                        }
                    }
                    now = Math.max(now, until);
                }
            }
            checkSum();
        }

        /** Checks that the running members, however little they know of each other, together stay within the fleet-wide limits, which each divides by its fleet size. */
        void checkSum() {
            double sum = members.stream().filter(m -> m.up).mapToDouble(m -> 1.0 / m.membership.fleetSize()).sum();
            if (sum > 1 + ROUNDING) {
                recordViolation(String.format(Locale.ROOT, "the members together used %.3f of the fleet-wide limits", sum));
            }
        }

        void settle() {
            double until = now + SETTLE_MS;
            while (now < until) {
                deliverAll();
                advance();
                checkSum();
            }
            deliverAll();
            for (Member viewer : members) {
                for (Member other : members) {
                    if (viewer.up && viewer != other) {
                        MemberEntry entry = viewer.membership.lookup(other.name);
                        boolean present = entry != null && entry.state().isLive();
                        if (present != other.up || other.up && !entry.generation().equals(other.membership.self().generation())) {
                            recordViolation(viewer.name + " has the entry " + entry + " for " + other.name + ", running: " + other.up);
                        }
                    }
                }
            }
        }

        void recordViolation(String what) {
            violation = violation == null ? what : violation;
        }

        String state() {
            StringBuilder text = new StringBuilder();
            for (Member member : members) {
                text.append(member.up).append(member.up ? member.membership.fingerprint() + Math.round(member.wakeAt - now) + ' ' + member.random.count % 64 : "").append('|');
            }
            inFlight.forEach(sent -> text.append(sent.text()));
            return text.toString();
        }
    }

    /** A deterministic random source whose state is the number of values drawn. */
    private static final class CountingRandom implements RandomGenerator {
        long count;

        @Override
        public long nextLong() {
            count++;
            long mixed = count * 0x9E3779B97F4A7C15L;
            return mixed ^ (mixed >>> 29);
        }
    }

    /** A member running the shipped membership module. */
    private static final class Member extends MessagingHost {
        final Model model;
        final int number;
        final MemberName name;
        CountingRandom random;
        Membership membership;
        boolean up;
        double wakeAt = Double.POSITIVE_INFINITY;
        int starts;

        Member(Model model, int number) {
            this.model = model;
            this.number = number;
            name = new MemberName("p" + number);
        }

        /** Starts the member without state. Its wall clock does not advance, so its generations differ in their nonces only, and the greater one is not always the later. */
        void start(double now) {
            random = new CountingRandom();
            MemberEntry self = new MemberEntry(name, SimulatedFleet.address(number), new Generation(1000, 10L * (starts % 2 == 0 ? 5 + starts : 5 - starts) + number), 0, State.ALIVE, 0);
            starts++;
            up = true;
            wakeAt = Double.POSITIVE_INFINITY;
            membership = new Membership(MembershipConfig.defaults(MEMBERS).withPeriod(PERIOD_MS), self, this, random, now);
            membership.begin(now, List.of(SimulatedFleet.address((number + 1) % MEMBERS), SimulatedFleet.address((number + 2) % MEMBERS)));
        }

        @Override
        protected void send(InetSocketAddress to, FleetMessage message) {
            model.announced.merge(message.sender().generation(), message.sender(), (a, b) -> a.compareTo(b) >= 0 ? a : b);
            for (Member other : model.members) {
                FleetMessage delivered = model.plantedFault.intercept(message, other.name, false);
                if (other.up && SimulatedFleet.address(other.number).equals(to) && delivered != null) {
                    model.inFlight.add(new Model.InFlightMessage(other.number, SimulatedFleet.address(number), delivered));
                }
            }
        }

        @Override
        public void pingConnected(InetSocketAddress peer, MemberEntry self, long sequence, MemberName target, List<MemberEntry> updates) {
            ping(peer, self, sequence, target, updates);
        }

        @Override
        public void wakeAt(double ms) {
            wakeAt = ms;
        }

        /** Checks what no order of events may violate. */
        @Override
        public void memberChanged(MemberEntry before, MemberEntry now) {
            if (before != null && now.compareTo(before) <= 0) {
                model.recordViolation(name + "'s view went back from " + before + " to " + now);
            }
            MemberEntry own = model.announced.get(now.generation());
            if (now.state() == State.LEFT || own == null || now.incarnation() > own.incarnation()) {
                model.recordViolation(name + " has the entry " + now + ", which its process never announced");
            }
            if (before != null && before.generation().equals(now.generation()) && !before.state().isLive() && now.state().isLive()
                    && now.incarnation() <= before.incarnation()) {
                model.recordViolation(name + " revived " + before + " to " + now);
            }
            if (membership.fleetSize() < membership.liveCount()) {
                model.recordViolation(name + " has a fleet size below its number of live members");
            }
        }

        @Override
        public void statusChanged(MembershipStatus status) {
            // any status is allowed
        }

        @Override
        public void log(String text) {
            // log lines are not needed here
        }
    }
}
