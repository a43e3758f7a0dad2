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
 * Every order of events of a small fleet, to a depth: which datagram arrives next, is lost or comes twice, whether time goes on, who dies, returns
 * from nothing, or stands still. The module is the shipped one; states that are alike are gone on from once.
 */
public final class MembershipExploration {
    /** What is done next; {@code which} is a datagram's place or a member's number. */
    public record Move(Kind kind, int which) {}

    public enum Kind { DELIVER, LOSE, REPEAT, TIME, KILL, START, STALL }

    /** States told apart, ways played, and what broke, with the moves that led there. */
    public record Result(long states, long paths, String violation) {}

    private static final int MEMBERS = 3;
    private static final double ROUNDING = 1e-9;
    private static final double PERIOD_MS = 1000;
    private static final double STALL_MS = 900;
    /** Datagrams under way that are chosen from: the oldest. */
    private static final int CHOICE = 4;
    /** Quiet time in ms after which all views have to be right, however it began. */
    private static final double SETTLE_MS = 120_000;

    /** Members that run before what is explored begins; the others start in it, or never. */
    private final int early;
    private final int depth;
    private final int faults;
    private final boolean settle;
    private final PlantedFault planted;
    private final Set<String> seen = new HashSet<>();
    private long ways;
    private String broken;

    /** At most so many losses, repeats, deaths and stalls on one way; {@code settle}: play each way on to its quiet end. */
    public MembershipExploration(int depth, int faults, boolean settle, PlantedFault planted) {
        this(MEMBERS, depth, faults, settle, planted);
    }

    /** The same where only the first {@code early} members run at first. */
    public MembershipExploration(int early, int depth, int faults, boolean settle, PlantedFault planted) {
        this.early = early;
        this.planted = planted;
        this.depth = depth;
        this.faults = faults;
        this.settle = settle;
    }

    public Result run() {
        explore(new ArrayList<>(), 0);
        return new Result(seen.size(), ways, broken);
    }

    private void explore(List<Move> path, int faultsUsed) {
        if (broken != null) {
            return;
        }
        World world = new World(planted, early);
        path.forEach(world::play);
        ways++;
        if (world.broken != null) {
            broken = world.broken + " after " + path;
            return;
        }
        if (!seen.add((depth - path.size()) + "/" + (faults - faultsUsed) + "/" + world.state())) {
            return;
        }
        if (path.size() == depth) {
            if (settle) {
                world.settle();
                if (world.broken != null) {
                    broken = world.broken + " in the quiet after " + path;
                }
            }
            return;
        }
        for (Move move : world.moves()) {
            boolean isFault = move.kind != Kind.DELIVER && move.kind != Kind.TIME && move.kind != Kind.START;
            if (!isFault || faultsUsed < faults) {
                path.add(move);
                explore(path, faultsUsed + (isFault ? 1 : 0));
                path.remove(path.size() - 1);
            }
        }
    }

    /** Three members that know each other, and what is under way between them. */
    private static final class World {
        final PlantedFault planted;
        final List<Member> members = new ArrayList<>();
        final List<Sent> underWay = new ArrayList<>();
        final Map<Generation, MemberEntry> said = new HashMap<>();
        double now;
        String broken;

        record Sent(int to, InetSocketAddress from, FleetMessage letter) {
            String text() {
                return "\n" + to + from + letter.kind() + letter.sender() + letter.target() + letter.subject() + letter.updates();
            }
        }

        World(PlantedFault planted, int early) {
            this.planted = planted;
            for (int i = 0; i < MEMBERS; i++) {
                members.add(new Member(this, i));
            }
            members.subList(0, early).forEach(m -> m.start(0));
            // They get to know each other and fall quiet: what is explored begins here.
            while (now < 12 * PERIOD_MS) {
                deliverAll();
                time();
            }
            deliverAll();
        }

        void deliverAll() {
            for (int i = 0; i < 10_000 && !underWay.isEmpty(); i++) {
                deliver(underWay.remove(0));
            }
        }

        void deliver(Sent sent) {
            Member to = members.get(sent.to);
            if (to.up) {
                sent.letter.deliver(sent.from, to.membership.receiver(now));
            }
        }

        double next() {
            return members.stream().filter(m -> m.up).mapToDouble(m -> m.wakeAt).min().orElse(now + PERIOD_MS);
        }

        void time() {
            now = Math.max(now, next());
            for (Member member : members) {
                if (member.up && member.wakeAt <= now) {
                    member.wakeAt = Double.POSITIVE_INFINITY;
                    member.membership.woken(now);
                }
            }
        }

        List<Move> moves() {
            List<Move> moves = new ArrayList<>();
            for (int i = 0; i < Math.min(CHOICE, underWay.size()); i++) {
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
                case DELIVER -> deliver(underWay.remove(move.which));
                case LOSE -> underWay.remove(move.which);
                case REPEAT -> deliver(underWay.get(move.which));
                case TIME -> time();
                case KILL -> {
                    Member member = members.get(move.which);
                    member.up = false;
                    underWay.removeIf(s -> s.to == move.which);
                }
                case START -> members.get(move.which).start(now);
                // All but the first run; it finds out when it wakes.
                case STALL -> {
                    double until = now + STALL_MS;
                    Member stopped = members.get(0);
                    while (next() < until && members.stream().anyMatch(m -> m.up && m != stopped)) {
                        double kept = stopped.wakeAt;
                        stopped.wakeAt = Double.POSITIVE_INFINITY;
                        time();
                        stopped.wakeAt = kept;
                        if (next() == kept) {
                            break;
                        }
                    }
                    now = Math.max(now, until);
                }
            }
            checkSum();
        }

        /** All that run, however little they have heard of each other, divide the whole by so much that they take no more than it. */
        void checkSum() {
            double sum = members.stream().filter(m -> m.up).mapToDouble(m -> 1.0 / m.membership.fleetSize()).sum();
            if (sum > 1 + ROUNDING) {
                breaks(String.format(Locale.ROOT, "all together took %.3f of the whole", sum));
            }
        }

        void settle() {
            double until = now + SETTLE_MS;
            while (now < until) {
                deliverAll();
                time();
                checkSum();
            }
            deliverAll();
            for (Member viewer : members) {
                for (Member other : members) {
                    if (viewer.up && viewer != other) {
                        MemberEntry held = viewer.membership.lookup(other.name);
                        boolean present = held != null && held.state().isLive();
                        if (present != other.up || other.up && !held.generation().equals(other.membership.self().generation())) {
                            breaks(viewer.name + " holds " + held + " for " + other.name + ", up " + other.up);
                        }
                    }
                }
            }
        }

        void breaks(String what) {
            broken = broken == null ? what : broken;
        }

        String state() {
            StringBuilder text = new StringBuilder();
            for (Member member : members) {
                text.append(member.up).append(member.up ? member.membership.fingerprint() + Math.round(member.wakeAt - now) + ' ' + member.chance.count % 64 : "").append('|');
            }
            underWay.forEach(sent -> text.append(sent.text()));
            return text.toString();
        }
    }

    /** A chance that can be told apart by how often it was asked. */
    private static final class Counter implements RandomGenerator {
        long count;

        @Override
        public long nextLong() {
            count++;
            long mixed = count * 0x9E3779B97F4A7C15L;
            return mixed ^ (mixed >>> 29);
        }
    }

    private static final class Member extends MessagingHost {
        final World world;
        final int number;
        final MemberName name;
        Counter chance;
        Membership membership;
        boolean up;
        double wakeAt = Double.POSITIVE_INFINITY;
        int starts;

        Member(World world, int number) {
            this.world = world;
            this.number = number;
            name = new MemberName("p" + number);
        }

        /** From nothing, by a clock that stands: the greater start is not always the later one. */
        void start(double now) {
            chance = new Counter();
            MemberEntry self = new MemberEntry(name, SimulatedFleet.address(number), new Generation(1000, 10L * (starts % 2 == 0 ? 5 + starts : 5 - starts) + number), 0, State.ALIVE, 0);
            starts++;
            up = true;
            wakeAt = Double.POSITIVE_INFINITY;
            membership = new Membership(MembershipConfig.defaults(MEMBERS).withPeriod(PERIOD_MS), self, this, chance, now);
            membership.begin(now, List.of(SimulatedFleet.address((number + 1) % MEMBERS), SimulatedFleet.address((number + 2) % MEMBERS)));
        }

        @Override
        protected void send(InetSocketAddress to, FleetMessage letter) {
            world.said.merge(letter.sender().generation(), letter.sender(), (a, b) -> a.compareTo(b) >= 0 ? a : b);
            for (Member other : world.members) {
                FleetMessage passed = world.planted.intercept(letter, other.name, false);
                if (other.up && SimulatedFleet.address(other.number).equals(to) && passed != null) {
                    world.underWay.add(new World.Sent(other.number, SimulatedFleet.address(number), passed));
                }
            }
        }

        @Override
        public void pingConnected(InetSocketAddress peer, MemberEntry self, long count, MemberName target, List<MemberEntry> news) {
            ping(peer, self, count, target, news);
        }

        @Override
        public void wakeAt(double ms) {
            wakeAt = ms;
        }

        /** What no order of events may bring about. */
        @Override
        public void memberChanged(MemberEntry before, MemberEntry now) {
            if (before != null && now.compareTo(before) <= 0) {
                world.breaks(name + "'s view went back from " + before + " to " + now);
            }
            MemberEntry own = world.said.get(now.generation());
            if (now.state() == State.LEFT || own == null || now.incarnation() > own.incarnation()) {
                world.breaks(name + " holds " + now + ", which its process never said");
            }
            if (before != null && before.generation().equals(now.generation()) && !before.state().isLive() && now.state().isLive()
                    && now.incarnation() <= before.incarnation()) {
                world.breaks(name + " raised " + before + " to " + now);
            }
            if (membership.fleetSize() < membership.liveCount()) {
                world.breaks(name + " counts less than those alive");
            }
        }

        @Override
        public void statusChanged(MembershipStatus standing) {
            // as it may
        }

        @Override
        public void log(String text) {
            // nobody reads it
        }
    }
}
