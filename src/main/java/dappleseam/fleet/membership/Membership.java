package dappleseam.fleet.membership;

import dappleseam.fleet.membership.MemberEntry.State;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One proxy's view of all proxies: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2017), and what
 * docs/fleet-design.md adds to them. Free of I/O, one method per thing that can happen; times are ms of a clock that is never set.
 * Not for several threads.
 */
public final class Membership implements MembershipProtocol {
    /** Bytes of news in one datagram: 1,400 less two notices and the frame. */
    public static final int MAX_UPDATE_BYTES = 1100;
    /** Parts of a view that are compared by their sums. */
    public static final int DIGEST_BUCKETS = 128;
    /** Datagrams that answer one comparison at most. */
    private static final int MOST_PARTS_SENT = 8;
    /** Share of a period after which others are asked to probe, too; after which they say that it was in vain; after which it is judged. */
    private static final double ASK_SHARE = 0.35;
    private static final double NACK_SHARE = 0.3;
    private static final double JUDGE_SHARE = 0.95;
    /** Below this in ms two times are one: sums of times are rounded. */
    private static final double GRAIN_MS = 0.001;
    /** Share of a period by which a wake-up that comes late is a stall of this process's own. */
    private static final double STALL_SHARE = 0.2;
    /** Periods after a stall in which a process accuses nobody. */
    public static final double STALL_GRACE_PERIODS = 2;
    /** Periods after a stall in which it counts as slow. */
    private static final double SLOW_PERIODS = 5;
    /** Worst state of one's own health, which multiplies periods and time-outs (Lifeguard); from which one counts as slow. */
    private static final int WORST_HEALTH = 8;
    private static final int SLOW_HEALTH = 4;
    /** Periods of suspicion for each tenfold size, at least; the factor up to which it is longer without accusers; accusers that shorten it. */
    private static final double SUSPICION_PERIODS = 4;
    private static final double SUSPICION_LONGEST = 6;
    private static final int ACCUSERS = 3;
    /** Rumours are told to so many at once, every share of a period while there is one. */
    private static final int TOLD_AT_ONCE = 2;
    private static final double TELL_SHARE = 0.25;
    /** Periods between tries of a seed once somebody is known; between comparisons of views that agree; between tries of one failed member; tries in a row that it is kept for. */
    private static final int SEED_PERIODS = 5;
    private static final int COMPARE_PERIODS = 10;
    private static final int RETRY_PERIODS = 3;
    private static final int RETRIES = 4;
    /** Refusals in a row that prove an end, and the periods that they span at least: a restart takes less. */
    private static final int REFUSALS = 3;
    private static final double REFUSED_PERIODS = 9;
    /** Members asked out of turn in a period. */
    private static final int MOST_LOOKS = 4;
    /** Periods without a word from anybody after which one is alone. */
    private static final double ALONE_PERIODS = 10;
    /** Share by which the counted fleet falls in a period, one at least; periods from an end on in which it does not fall: a living process of that name is heard by then. */
    private static final double FALL_SHARE = 0.02;
    private static final double FALL_AFTER_PERIODS = 6;
    /** Comparisons after which a process that came has caught up as well as it can; those that found no difference after which it has: the first may be with another that just came. */
    private static final int CAUGHT_UP = 15;
    private static final int AGREED = 3;
    /** Number of an ack that says that sums agree; probes have others. */
    private static final long AGREES = 0;
    /** Periods between comparisons until then, at most. */
    private static final int CATCH_UP_PERIODS = 3;
    /** Members drawn for each helper that is wanted. */
    private static final int HELPER_DRAWS = 4;
    /** Probes in a row that only others got through. */
    private static final int VIA_OTHERS = 2;
    /** Probes carried out for others at once; lives of one's own name that are answered; names told of as missing. */
    private static final int MOST_ERRANDS = 64;
    private static final int MOST_LIVES = 16;
    private static final int MOST_MISSING = 32;
    /** Periods between two questions to a process of one's own name; for which its answer counts. */
    private static final double TWIN_PERIODS = 5;
    private static final double TWIN_LASTS_PERIODS = 20;
    /** Members told directly that one leaves. */
    private static final int FAREWELLS = 8;

    private final MembershipHost host;
    private final RandomGenerator random;
    private MembershipConfig terms;
    private MemberEntry self;
    private List<InetSocketAddress> seeds = List.of();
    private final Map<MemberName, Peer> peers = new LinkedHashMap<>();
    private final List<Peer> liveMembers = new ArrayList<>();
    private final List<Peer> failed = new ArrayList<>();
    private final ArrayDeque<Peer> gone = new ArrayDeque<>();
    private int nextProbed;
    private final int[] sums = new int[DIGEST_BUCKETS];
    private final Rumours<MemberName, MemberEntry> rumours = new Rumours<>(MemberEntry::maxEncodedBytes, notice -> false);
    private boolean telling;
    private final PriorityQueue<Due> dues = new PriorityQueue<>();
    private long duesMade;
    /** This process's own time: the host's without what it did not run for. */
    private double now;
    private double lost;
    private double wokenAt = Double.NaN;
    private double doubtUntil = Double.NEGATIVE_INFINITY;
    private double slowUntil = Double.NEGATIVE_INFINITY;
    private int healthScore;
    private long numbers;
    private Probe probe;
    private final Map<Long, Errand> errands = new HashMap<>();
    private int periods;
    private int compareIn = 1;
    private int comparisons;
    private int agreed;
    private boolean caughtUp;
    private Retry retry;
    private int looks;
    private double heardAt;
    private boolean heardAny;
    private double fleetSize;
    /** The most members that were counted at once, this one among them: those of the file's number beyond it were never heard of, and may come at any time. */
    private int mostKnown = 1;
    private double fallsFrom;
    private MembershipStatus status;
    private final Set<Long> outranked = new HashSet<>();
    private long twinAsked;
    private double twinAskedAt = Double.NEGATIVE_INFINITY;
    private MemberEntry duplicate;
    private double twinSeenAt = Double.NEGATIVE_INFINITY;
    private boolean hasLeft;
    private long droppedForCapacity;

    /** Another member. */
    private static final class Peer {
        MemberEntry notice;
        /** Place in {@link #liveMembers} or {@link #failed}; -1 for neither. */
        int place = -1;
        Suspicion suspicion;
        double sinceMs;
        int viaOthers;
        int refusals;
        double refusedAt;
        double lookedAt = Double.NEGATIVE_INFINITY;

        Peer(MemberEntry notice) {
            this.notice = notice;
        }
    }

    private static final class Suspicion {
        final double beganAt;
        final Set<Integer> accusers = new HashSet<>();
        /** This process has doubted its own ear because of it. */
        boolean blamedSelf;
        /** Somebody holds it for failed already. */
        boolean foundFailed;

        Suspicion(double beganAt) {
            this.beganAt = beganAt;
        }
    }

    private static final class Probe {
        final long number;
        final Peer peer;
        boolean answered;
        boolean directly;
        boolean tellsNothing;
        final Set<Peer> asked = new LinkedHashSet<>();
        final Set<MemberName> nacks = new HashSet<>();

        Probe(long number, Peer peer) {
            this.number = number;
            this.peer = peer;
        }
    }

    private record Errand(InetSocketAddress from, long number, MemberName target) {}

    private static final class Retry {
        final Peer peer;
        long number;
        int left = RETRIES;

        Retry(Peer peer) {
            this.peer = peer;
        }
    }

    private record Due(double at, long order, String what, Runnable run) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** {@code self}: a life just begun, incarnation 0, alive. {@link #begin} starts it. */
    public Membership(MembershipConfig terms, MemberEntry self, MembershipHost host, RandomGenerator random, double nowMs) {
        this.terms = terms;
        this.self = self;
        this.host = host;
        this.random = random;
        now = nowMs;
        heardAt = now;
        fleetSize = terms.initialFleetSize();
        status = new MembershipStatus(MembershipStatus.Kind.STARTING, nowMs, List.of());
        sums[part(self.name())] ^= self.sum();
    }

    /** Addresses that are tried while nobody is known. */
    public void begin(double nowMs, List<InetSocketAddress> known) {
        enter(nowMs);
        seeds = List.copyOf(known);
        spread(self);
        period();
        leave();
    }

    /** For a simulation that begins in the middle of a fleet's life: all of these are known, and nothing of it is news. */
    public void preload(double nowMs, List<MemberEntry> known) {
        enter(nowMs);
        for (MemberEntry notice : known) {
            if (!notice.name().equals(self.name())) {
                change(peers.computeIfAbsent(notice.name(), name -> new Peer(null)), notice);
            }
        }
        rumours.clear();
        caughtUp = true;
        leave();
    }

    /** Terms as they are now, for periods to come. */
    public void configChanged(double nowMs, MembershipConfig other, List<InetSocketAddress> known) {
        enter(nowMs);
        terms = other;
        seeds = List.copyOf(known);
        fleetSize = Math.max(fleetSize, actual());
        leave();
    }

    public void woken(double nowMs) {
        wokenAt = Double.NaN;
        enter(nowMs);
        while (!dues.isEmpty() && dues.peek().at <= now + GRAIN_MS) {
            dues.poll().run.run();
        }
        leave();
    }

    /** Nobody listens where {@link MembershipHost#pingConnected} went. */
    public void connectionRefused(double nowMs, InetSocketAddress peer) {
        enter(nowMs);
        if (retry != null && retry.peer.notice.address().equals(peer)) {
            refusedBy(retry.peer);
        }
        leave();
    }

    /** An operator knows that it has ended for good. False where no such member is counted. */
    public boolean markEnded(double nowMs, MemberName name) {
        enter(nowMs);
        Peer peer = peers.get(name);
        boolean known = peer != null && peer.notice.state() == State.FAILED;
        if (known) {
            change(peer, peer.notice.withState(State.ENDED, 0));
        }
        leave();
        return known;
    }

    /** This process is about to end, and its place with it. Nothing is sent after this. */
    public void announceLeave(double nowMs) {
        enter(nowMs);
        if (!hasLeft) {
            say(new MemberEntry(self.name(), self.address(), self.generation(), Math.min(MemberEntry.MAX_INCARNATION, self.incarnation() + 1), State.LEFT, 0));
            for (Peer peer : some(FAREWELLS, null)) {
                host.gossip(peer.notice.address(), self, List.of());
            }
            hasLeft = true;
            dues.clear();
        }
    }

    // What other members send.

    /** Takes what came from another member just now. */
    public MembershipProtocol receiver(double nowMs) {
        enter(nowMs);
        return this;
    }

    @Override
    public void ping(InetSocketAddress from, MemberEntry sender, long number, MemberName target, List<MemberEntry> news) {
        if (!hear(from, sender, news)) {
            return;
        }
        if (target != null && !target.equals(self.name())) { // another's address once: that it is not here is worth knowing
            host.gossip(from, self, List.of());
        } else {
            host.ack(from, self, number, null, news(sender));
        }
        leave();
    }

    @Override
    public void ack(InetSocketAddress from, MemberEntry sender, long number, MemberEntry about, List<MemberEntry> news) {
        if (!hear(from, sender, news)) {
            return;
        }
        if (number == AGREES) {
            compared(true);
        } else if (number == twinAsked && about == null && isTwin(sender)) {
            twinProved(sender);
        } else if (about != null) {
            learn(about);
            if (probe != null && probe.number == number && about.name().equals(probe.peer.notice.name())) {
                probe.answered = true;
            }
        } else if (probe != null && probe.number == number && sender.name().equals(probe.peer.notice.name())) {
            probe.answered = true;
            probe.directly = true;
        } else if (retry != null && retry.number == number && sender.name().equals(retry.peer.notice.name())) {
            retry = null;
            compare(from, false);
        } else {
            Errand errand = errands.get(number);
            if (errand != null && errand.target.equals(sender.name())) {
                errands.remove(number);
                host.ack(errand.from, self, errand.number, sender, List.of());
            }
        }
        leave();
    }

    @Override
    public void nack(InetSocketAddress from, MemberEntry sender, long number) {
        if (hear(from, sender, List.of())) {
            if (probe != null && probe.number == number) {
                probe.nacks.add(sender.name());
            }
            leave();
        }
    }

    @Override
    public void pingRequest(InetSocketAddress from, MemberEntry sender, long number, MemberEntry target, List<MemberEntry> news) {
        if (!hear(from, sender, news)) {
            return;
        }
        if (errands.size() < MOST_ERRANDS && !target.name().equals(self.name())) {
            long mine = ++numbers;
            errands.put(mine, new Errand(from, number, target.name()));
            Peer peer = peers.get(target.name());
            host.ping(peer == null ? target.address() : peer.notice.address(), self, mine, target.name(), news(target));
            due(NACK_SHARE * terms.periodMs(), "errand", () -> {
                Errand errand = errands.remove(mine);
                if (errand != null) {
                    host.nack(errand.from, self, errand.number);
                }
            });
        }
        leave();
    }

    @Override
    public void digests(InetSocketAddress from, MemberEntry sender, boolean answer, int[] theirs) {
        if (theirs.length != DIGEST_BUCKETS || !hear(from, sender, List.of())) {
            return;
        }
        boolean agrees = Arrays.equals(theirs, sums);
        compared(agrees);
        if (!agrees) {
            compareIn = Math.min(compareIn, 1);
            sendParts(from, theirs);
            if (!answer) {
                compare(from, true);
            }
        } else if (!answer) {
            host.ack(from, self, AGREES, null, List.of());
        }
        leave();
    }

    private void compared(boolean agrees) {
        comparisons++;
        agreed += agrees ? 1 : 0;
        caughtUp |= comparisons >= CAUGHT_UP || agreed >= AGREED;
    }

    @Override
    public void gossip(InetSocketAddress from, MemberEntry sender, List<MemberEntry> news) {
        if (hear(from, sender, news)) {
            if (retry != null && retry.peer.notice.address().equals(from) && !sender.name().equals(retry.peer.notice.name())) {
                refusedBy(retry.peer); // another member has its address now
            }
            leave();
        }
    }

    /** What is in any datagram. False where it is to be passed over. */
    private boolean hear(InetSocketAddress from, MemberEntry sender, List<MemberEntry> news) {
        if (hasLeft || sender.generation().equals(self.generation())) { // guards against datagrams that come back to their sender
            return false;
        }
        if (isTwin(sender)) {
            askTwin(sender.address());
        } else {
            heardAt = now;
            heardAny = true;
        }
        learn(sender);
        news.forEach(this::learn);
        Peer peer = peers.get(sender.name());
        if (peer != null && !peer.notice.state().isLive() && peer.notice.generation().equals(sender.generation())
                && sender.state().isLive()) {
            look(peer); // it lives, and hears that it has to say so
        }
        return true;
    }

    // Time.

    /** Guards the others against this process's own stalls: what it did not run for does not count as their silence. */
    private void enter(double nowMs) {
        double late = dues.isEmpty() ? 0 : nowMs - lost - dues.peek().at;
        if (late > STALL_SHARE * terms.periodMs() && terms.localHealth()) {
            lost += late;
            doubtUntil = nowMs - lost + STALL_GRACE_PERIODS * terms.periodMs();
            slowUntil = nowMs - lost + SLOW_PERIODS * terms.periodMs();
            worse();
            if (probe != null) {
                probe.tellsNothing = true;
            }
            host.stalled(late);
        }
        now = Math.max(now, nowMs - lost);
    }

    private void leave() {
        if (!dues.isEmpty()) {
            double next = dues.peek().at + lost;
            if (next != wokenAt) {
                wokenAt = next;
                host.wakeAt(next);
            }
        }
    }

    private void due(double inMs, String what, Runnable run) {
        dues.add(new Due(now + inMs, duesMade++, what, run));
    }

    private void worse() {
        healthScore = terms.localHealth() ? Math.min(WORST_HEALTH, healthScore + 1) : 0;
    }

    private void better() {
        healthScore = Math.max(0, healthScore - 1);
    }

    private double everyMs() {
        return terms.periodMs() * (1 + healthScore);
    }

    private void period() {
        if (probe != null) {
            judge();
        }
        double every = everyMs();
        due(every, "period", this::period);
        periods++;
        looks = 0;
        probeNext(every);
        if (periods % RETRY_PERIODS == 0) {
            retryOne();
        }
        if (liveMembers.isEmpty() && failed.isEmpty() || periods % SEED_PERIODS == 0) {
            trySeed();
        }
        if (--compareIn <= 0 && !liveMembers.isEmpty()) {
            compareIn = caughtUp ? COMPARE_PERIODS / 2 + random.nextInt(COMPARE_PERIODS) : 1 + random.nextInt(CATCH_UP_PERIODS);
            compare(liveMembers.get(random.nextInt(liveMembers.size())).notice.address(), false);
        }
        while (!gone.isEmpty() && gone.peek().sinceMs + terms.forgetAfterMs() <= now) {
            Peer peer = gone.poll();
            if (!peer.notice.state().isCounted() && peer.sinceMs + terms.forgetAfterMs() <= now) {
                peers.remove(peer.notice.name());
            }
        }
        if (fleetSize > actual() && now >= fallsFrom) {
            fleetSize = Math.max(actual(), fleetSize - Math.max(1, FALL_SHARE * fleetSize));
        }
        stand();
    }

    // Probing.

    private void probeNext(double every) {
        if (liveMembers.isEmpty()) {
            return;
        }
        if (nextProbed >= liveMembers.size()) {
            nextProbed = 0;
            for (int i = liveMembers.size() - 1; i > 0; i--) {
                swap(i, random.nextInt(i + 1));
            }
        }
        Probe begun = new Probe(++numbers, liveMembers.get(nextProbed++));
        probe = begun;
        host.ping(begun.peer.notice.address(), self, begun.number, begun.peer.notice.name(), news(begun.peer.notice));
        due(ASK_SHARE * every, "ask", () -> askOthers(begun));
        due(JUDGE_SHARE * every, "judge", () -> {
            if (probe == begun) {
                judge();
            }
        });
    }

    private void askOthers(Probe open) {
        if (probe != open || open.directly) {
            return;
        }
        host.ping(open.peer.notice.address(), self, open.number, open.peer.notice.name(), news(open.peer.notice));
        for (Peer helper : helpers(open.peer)) {
            open.asked.add(helper);
            host.pingRequest(helper.notice.address(), self, open.number, open.peer.notice, news(helper.notice));
        }
    }

    private void judge() {
        Probe over = probe;
        probe = null;
        if (over.tellsNothing) {
            return;
        }
        if (over.answered) {
            better();
            over.peer.viaOthers = over.directly ? 0 : over.peer.viaOthers + 1;
            return;
        }
        boolean unheard = over.asked.isEmpty() || over.asked.stream().anyMatch(helper -> !missedByOthers(helper) && !over.nacks.contains(helper.notice.name()));
        boolean doubtful = unheard && !missedByOthers(over.peer);
        if (doubtful) {
            worse(); // those that were asked did not even say no: it may be this one's own ear
        }
        if (over.peer.notice.state().isLive() && !(terms.localHealth() && now < doubtUntil)) {
            suspect(over.peer, self.name().hashCode());
            if (over.peer.suspicion != null) {
                over.peer.suspicion.blamedSelf |= doubtful;
            }
        }
    }

    private void suspect(Peer peer, int accuser) {
        if (peer.suspicion == null) {
            peer.suspicion = new Suspicion(now);
            peer.suspicion.accusers.add(accuser);
            if (peer.notice.state() == State.ALIVE) {
                change(peer, peer.notice.withState(State.SUSPECT, accuser));
            } else {
                spread(peer.notice);
            }
        } else if (peer.suspicion.accusers.size() > ACCUSERS || !peer.suspicion.accusers.add(accuser)) {
            return;
        } else {
            spread(peer.notice.withState(State.SUSPECT, accuser));
            if (peer.suspicion.blamedSelf) { // another found the same: it was not this one's ear
                peer.suspicion.blamedSelf = false;
                better();
            }
        }
        watch(peer, peer.suspicion);
    }

    private void watch(Peer peer, Suspicion suspicion) {
        due(Math.max(0, suspicion.beganAt + suspicionMs(suspicion) - now), "suspicion", () -> {
            if (peer.suspicion == suspicion && now + GRAIN_MS >= suspicion.beganAt + suspicionMs(suspicion)) {
                change(peer, peer.notice.withState(State.FAILED, 0));
            }
        });
    }

    /** Lifeguard's: the longer, the fewer have accused it. */
    private double suspicionMs(Suspicion suspicion) {
        double least = SUSPICION_PERIODS * Math.log10(Math.max(10, liveMembers.size() + 1)) * terms.periodMs();
        int wanted = Math.min(ACCUSERS, liveMembers.size() - 2);
        if (!terms.localHealth() || wanted < 1 || suspicion.foundFailed) {
            return least;
        }
        double share = Math.log(suspicion.accusers.size()) / Math.log(wanted + 1);
        return Math.max(least, least * (SUSPICION_LONGEST - (SUSPICION_LONGEST - 1) * share));
    }

    /** One that no member is known at: guards against islands, each around a seed of its own. */
    private void trySeed() {
        List<InetSocketAddress> unknown = new ArrayList<>(seeds);
        unknown.remove(self.address());
        if (!unknown.isEmpty()) {
            peers.values().forEach(peer -> unknown.remove(peer.notice.address()));
        }
        if (!unknown.isEmpty()) {
            host.ping(unknown.get(random.nextInt(unknown.size())), self, ++numbers, null, news(null));
        }
    }

    private void retryOne() {
        if (retry != null && (retry.left <= 0 || retry.peer.notice.state() != State.FAILED)) {
            retry = null;
        }
        if (retry == null && !failed.isEmpty()) {
            retry = new Retry(failed.get(random.nextInt(failed.size())));
        }
        if (retry != null) {
            retry.left--;
            retry.number = ++numbers;
            MemberEntry target = retry.peer.notice;
            host.pingConnected(target.address(), self, retry.number, target.name(), news(target));
        }
    }

    private void refusedBy(Peer peer) {
        if (peer.notice.state() != State.FAILED) {
            return;
        }
        if (peer.refusals == 0) {
            peer.refusedAt = now;
        }
        if (++peer.refusals >= REFUSALS && now >= peer.refusedAt + REFUSED_PERIODS * terms.periodMs()) {
            change(peer, peer.notice.withState(State.ENDED, 0));
        } else if (retry != null) {
            retry.left = Math.max(retry.left, 1); // it is worth asking on
        }
    }

    /** Asks one out of turn, so that it hears of what is said of it; a few in a period. */
    private void look(Peer peer) {
        if (looks < MOST_LOOKS && now >= peer.lookedAt + terms.periodMs()) {
            looks++;
            peer.lookedAt = now;
            host.ping(peer.notice.address(), self, ++numbers, peer.notice.name(), news(peer.notice));
        }
    }

    /** Whether somebody else found it silent, too. */
    private boolean missedByOthers(Peer peer) {
        return !peer.notice.state().isLive() || peer.suspicion != null && peer.suspicion.accusers.stream().anyMatch(a -> a != 0 && a != self.name().hashCode());
    }

    /** Whom to ask to probe in one's stead: by chance, of those that nobody suspects as long as there are. Guards against the silence of many that died at once, which is taken for one's own. */
    private List<Peer> helpers(Peer but) {
        List<Peer> drawn = some(HELPER_DRAWS * terms.indirectProbes(), but);
        drawn.sort(Comparator.comparing(peer -> peer.suspicion != null));
        return drawn.subList(0, Math.min(terms.indirectProbes(), drawn.size()));
    }

    /** So many present members by chance, without that one. */
    private List<Peer> some(int count, Peer but) {
        List<Peer> chosen = new ArrayList<>(count);
        for (int tries = 0; tries < 3 * count && chosen.size() < count && !liveMembers.isEmpty(); tries++) {
            Peer one = liveMembers.get(random.nextInt(liveMembers.size()));
            if (one != but && !chosen.contains(one)) {
                chosen.add(one);
            }
        }
        return chosen;
    }

    // What is known of others.

    private void learn(MemberEntry n) {
        if (n.name().equals(self.name())) {
            learnOfSelf(n);
            return;
        }
        Peer peer = peers.get(n.name());
        if (peer == null) {
            if (!n.state().isCounted()) {
                return; // nothing to guard against: it is not known here
            }
            if (peers.size() >= terms.maxMembers()) {
                droppedForCapacity++;
                return;
            }
            peer = new Peer(null);
            peers.put(n.name(), peer);
            change(peer, n.state() == State.SUSPECT ? n.withState(State.ALIVE, 0) : n);
            if (n.state() == State.SUSPECT) {
                suspect(peer, n.accuser());
            }
            return;
        }
        int order = n.compareTo(peer.notice);
        if (order < 0) {
            if (n.state().isLive() && !peer.notice.state().isLive()) {
                spread(peer.notice); // guards against old news that would raise the dead
            }
        } else if (order == 0) {
            if (n.state() == State.SUSPECT) {
                suspect(peer, n.accuser());
            }
        } else {
            learnNew(peer, n);
        }
    }

    private void learnNew(Peer peer, MemberEntry n) {
        boolean sameProcess = n.generation().equals(peer.notice.generation());
        switch (n.state()) {
            case SUSPECT -> {
                if (!sameProcess || n.incarnation() > peer.notice.incarnation()) {
                    change(peer, n.withState(State.ALIVE, 0));
                }
                suspect(peer, n.accuser());
            }
            case FAILED -> {
                if (!peer.notice.state().isLive()) {
                    change(peer, n);
                    return;
                }
                // Not believed at a stroke: guards good neighbours in a split that heals.
                if (!sameProcess || n.incarnation() > peer.notice.incarnation()) {
                    change(peer, n.withState(State.ALIVE, 0));
                }
                if (peer.suspicion == null) {
                    suspect(peer, 0);
                }
                if (!peer.suspicion.foundFailed) {
                    peer.suspicion.foundFailed = true;
                    watch(peer, peer.suspicion);
                    look(peer);
                }
            }
            default -> change(peer, n);
        }
    }

    /** Every change of a peer's notice passes here. */
    private void change(Peer peer, MemberEntry to) {
        MemberEntry before = peer.notice;
        int part = part(to.name());
        if (before != null) {
            sums[part] ^= before.sum();
        }
        sums[part] ^= to.sum();
        peer.notice = to;
        if (to.state() != State.SUSPECT) {
            peer.suspicion = null;
        }
        if (before == null || before.state() != to.state() || !before.generation().equals(to.generation())) {
            peer.sinceMs = now;
            peer.viaOthers = 0;
            peer.refusals = 0;
        }
        boolean wasPresent = before != null && before.state().isLive();
        boolean wasFailed = before != null && before.state() == State.FAILED;
        if (wasPresent && !to.state().isLive()) {
            takeOut(liveMembers, peer);
        } else if (wasFailed && to.state() != State.FAILED) {
            takeOut(failed, peer);
        }
        if (!wasPresent && to.state().isLive()) {
            putIn(liveMembers, peer);
            swap(peer.place, random.nextInt(liveMembers.size()));
        } else if (!wasFailed && to.state() == State.FAILED) {
            putIn(failed, peer);
        }
        if (!to.state().isCounted()) {
            gone.add(peer);
            if (fleetSize <= actual() + 1) { // guards the count against the end of a twin, which is not the member's
                fallsFrom = now + FALL_AFTER_PERIODS * terms.periodMs();
            }
        }
        mostKnown = Math.max(mostKnown, known());
        fleetSize = Math.max(fleetSize, actual());
        spread(to);
        host.memberChanged(before, to);
    }

    private static void putIn(List<Peer> list, Peer peer) {
        peer.place = list.size();
        list.add(peer);
    }

    private static void takeOut(List<Peer> list, Peer peer) {
        Peer last = list.remove(list.size() - 1);
        if (last != peer) {
            list.set(peer.place, last);
            last.place = peer.place;
        }
        peer.place = -1;
    }

    private void swap(int one, int other) {
        Collections.swap(liveMembers, one, other);
        liveMembers.get(one).place = one;
        liveMembers.get(other).place = other;
    }

    // Rumours and views.

    private void spread(MemberEntry notice) {
        rumours.put(notice.name(), notice);
        if (!telling) {
            telling = true;
            due(TELL_SHARE * terms.periodMs(), "tell", this::tellSome);
        }
    }

    private void tellSome() {
        telling = !rumours.isEmpty();
        if (telling) {
            for (Peer peer : some(TOLD_AT_ONCE, null)) {
                host.gossip(peer.notice.address(), self, news(peer.notice));
            }
            due(TELL_SHARE * terms.periodMs(), "tell", this::tellSome);
        }
    }

    /** What has been told least, and before it what the one who gets it has to know of itself. */
    private List<MemberEntry> news(MemberEntry to) {
        List<MemberEntry> news = new ArrayList<>();
        int room = MAX_UPDATE_BYTES;
        Peer known = to == null ? null : peers.get(to.name());
        if (known != null && (known.notice.state() != State.ALIVE && terms.localHealth() || known.notice.compareTo(to) > 0
                || known.notice.state() == State.FAILED)) {
            news.add(known.notice);
            room -= known.notice.maxEncodedBytes();
        }
        news.addAll(rumours.tell(room, liveMembers.size()));
        return news;
    }

    private void compare(InetSocketAddress with, boolean answer) {
        host.digests(with, self, answer, sums.clone());
    }

    /** From a part by chance on, so that views too different for one exchange agree after a few. */
    private void sendParts(InetSocketAddress to, int[] theirs) {
        List<List<MemberEntry>> parts = new ArrayList<>(Collections.nCopies(DIGEST_BUCKETS, null));
        peers.values().forEach(peer -> {
            int part = part(peer.notice.name());
            if (theirs[part] != sums[part]) {
                if (parts.get(part) == null) {
                    parts.set(part, new ArrayList<>());
                }
                parts.get(part).add(peer.notice);
            }
        });
        List<MemberEntry> news = new ArrayList<>();
        int room = MAX_UPDATE_BYTES;
        int sent = 0;
        int first = random.nextInt(DIGEST_BUCKETS);
        for (int i = 0; i < DIGEST_BUCKETS; i++) {
            List<MemberEntry> part = parts.get((first + i) % DIGEST_BUCKETS);
            for (MemberEntry notice : part == null ? List.<MemberEntry>of() : part) {
                if (notice.maxEncodedBytes() > room) {
                    host.gossip(to, self, news);
                    if (++sent >= MOST_PARTS_SENT) {
                        return;
                    }
                    news = new ArrayList<>();
                    room = MAX_UPDATE_BYTES;
                }
                news.add(notice);
                room -= notice.maxEncodedBytes();
            }
        }
        host.gossip(to, self, news);
    }

    private static int part(MemberName name) {
        int hash = name.hashCode();
        return (hash ^ (hash >>> 15)) & (DIGEST_BUCKETS - 1);
    }

    // Who this process is.

    private void say(MemberEntry now) {
        sums[part(self.name())] ^= self.sum() ^ now.sum();
        self = now;
        spread(self);
    }

    private void learnOfSelf(MemberEntry n) {
        if (n.generation().equals(self.generation())) {
            if (n.compareTo(self) > 0) {
                worse();
                if (n.incarnation() == MemberEntry.MAX_INCARNATION) {
                    begin(n);
                } else {
                    say(new MemberEntry(self.name(), self.address(), self.generation(), n.incarnation() + 1, State.ALIVE, 0));
                }
            }
        } else if (n.generation().nonce() == self.generation().nonce()) {
            if (n.generation().compareTo(self.generation()) < 0) {
                spread(self); // a life of this process's own that it has left behind
            } else {
                begin(n);
            }
        } else if (n.generation().compareTo(self.generation()) < 0) {
            if (n.state().isCounted()) {
                spread(self); // old news of the process before this one
            }
        } else if (!n.state().isCounted() || !n.state().isLive() && duplicate() == null) {
            begin(n); // whoever that was is over
        } else if (outranked.size() < MOST_LIVES && outranked.add(n.generation().nonce())) {
            begin(n); // the process before this one had a clock that was ahead
            if (n.state().isLive()) {
                askTwin(n.address());
            }
        } else if (n.state().isLive()) {
            askTwin(n.address()); // it went above this one again, so it lives
        }
    }

    /** A life above that one's. */
    private void begin(MemberEntry above) {
        if (above.generation().start() < Generation.MAX_START) {
            say(new MemberEntry(self.name(), self.address(), new Generation(above.generation().start() + 1, self.generation().nonce()), 0, State.ALIVE, 0));
        }
    }

    private boolean isTwin(MemberEntry other) {
        return other.name().equals(self.name()) && other.generation().nonce() != self.generation().nonce();
    }

    private void askTwin(InetSocketAddress at) {
        if (now >= twinAskedAt + TWIN_PERIODS * terms.periodMs() && !at.equals(self.address())) {
            twinAskedAt = now;
            twinAsked = ++numbers;
            host.ping(at, self, twinAsked, self.name(), List.of());
        }
    }

    private void twinProved(MemberEntry other) {
        if (duplicate() == null) {
            host.log("fleet: another process goes by this one's name " + self.name() + ", at " + other.address());
        }
        duplicate = other;
        twinSeenAt = now;
    }

    // How it stands.

    /** What the counted fleet may fall to: silence lowers it for nobody, neither of those that failed nor of those that were never heard of. */
    private int actual() {
        return known() + Math.max(0, terms.initialFleetSize() - mostKnown);
    }

    private int known() {
        return liveMembers.size() + failed.size() + 1;
    }

    private void stand() {
        List<MemberName> missing = new ArrayList<>();
        failed.stream().limit(MOST_MISSING).forEach(peer -> missing.add(peer.notice.name()));
        liveMembers.stream().filter(peer -> peer.viaOthers >= VIA_OTHERS).limit(MOST_MISSING - missing.size())
                .forEach(peer -> missing.add(peer.notice.name()));
        MembershipStatus.Kind kind;
        if (now < slowUntil) {
            kind = MembershipStatus.Kind.SLOW;
        } else if (!heardAny) {
            kind = MembershipStatus.Kind.STARTING;
        } else if (now > heardAt + ALONE_PERIODS * terms.periodMs() && liveMembers.size() + failed.size() > 0) {
            kind = MembershipStatus.Kind.ALONE;
        } else if (healthScore >= SLOW_HEALTH) {
            kind = MembershipStatus.Kind.SLOW;
        } else {
            kind = missing.isEmpty() ? MembershipStatus.Kind.WITH_ALL : MembershipStatus.Kind.CUT_OFF;
        }
        if (kind != status.kind() || !missing.equals(status.missing())) {
            boolean same = kind == status.kind();
            status = new MembershipStatus(kind, same ? status.sinceMs() : now + lost, List.copyOf(missing));
            host.statusChanged(status);
            if (!same) {
                host.log(String.format(Locale.ROOT, "fleet: stands %s, %d alive, counted %d, missing %s", kind, liveMembers.size() + 1,
                        fleetSize(), missing));
            }
        }
    }

    // What can be read of it.

    public MemberEntry self() {
        return self;
    }

    public MembershipStatus status() {
        return status;
    }

    /** What limits may be divided by: at least 1. */
    public int fleetSize() {
        return (int) Math.ceil(fleetSize);
    }

    /** Own health: 0 is good, 8 the worst. */
    public int healthScore() {
        return healthScore;
    }

    /** Another process that goes by this one's name; null for none lately. */
    public MemberEntry duplicate() {
        return now < twinSeenAt + TWIN_LASTS_PERIODS * terms.periodMs() ? duplicate : null;
    }

    /** News of members for whom there was no room. */
    public long droppedForCapacity() {
        return droppedForCapacity;
    }

    /** What is known of that member, or null. */
    public MemberEntry lookup(MemberName name) {
        Peer peer = peers.get(name);
        return name.equals(self.name()) ? self : peer == null ? null : peer.notice;
    }

    public int liveCount() {
        return liveMembers.size() + 1;
    }

    /** The whole view, this process first. */
    public List<MemberEntry> view() {
        List<MemberEntry> view = new ArrayList<>(peers.size() + 1);
        view.add(self);
        peers.values().forEach(peer -> view.add(peer.notice));
        return view;
    }

    /** Of the view, those that are alive as far as anyone could prove, this process among them unless it has left. */
    public List<MemberEntry> liveMembers() {
        return view().stream().filter(notice -> notice.state().isLive()).toList();
    }

    /** All that decides what it does next but chance, times from now on: for a checker that has to tell states apart. */
    public String fingerprint() {
        StringBuilder text = new StringBuilder(256);
        text.append(self).append(healthScore).append(' ').append(caughtUp ? -1 : agreed).append(heardAny).append(' ').append(compareIn).append(' ')
                .append(periods % (RETRY_PERIODS * SEED_PERIODS)).append(' ').append(nextProbed).append(' ').append(Math.ceil(fleetSize)).append(' ').append(mostKnown).append(' ').append(Math.round(Math.max(0, fallsFrom - now)));
        for (Peer peer : liveMembers) {
            text.append('\n').append(peer.notice).append(peer.viaOthers);
            if (peer.suspicion != null) {
                text.append(peer.suspicion.accusers).append(peer.suspicion.foundFailed).append(Math.round(now - peer.suspicion.beganAt));
            }
        }
        failed.forEach(peer -> text.append('\n').append(peer.notice).append(peer.refusals));
        peers.values().stream().filter(peer -> !peer.notice.state().isCounted()).forEach(peer -> text.append('\n').append(peer.notice));
        rumours.forEach((notice, told) -> text.append('\n').append(told).append(notice));
        dues.stream().sorted().forEach(due -> text.append('\n').append(due.what).append(Math.round(due.at - now)));
        if (probe != null) {
            text.append('\n').append(probe.peer.notice.name()).append(probe.answered).append(probe.directly).append(probe.asked.size()).append(probe.nacks.size());
        }
        errands.values().forEach(errand -> text.append('\n').append(errand.target));
        return text.toString();
    }
}
