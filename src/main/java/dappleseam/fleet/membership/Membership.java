package dappleseam.fleet.membership;

import dappleseam.fleet.membership.Notice.State;
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
 * One proxy's view of all proxies: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2017) and
 * the extensions in docs/fleet-design.md. Performs no I/O and has one method per event; times are ms of a monotonic clock.
 * Not thread-safe.
 */
public final class Membership implements Correspondent {
    /** Maximum bytes of gossip in one datagram: 1,400 less two entries and the frame. */
    public static final int NEWS_BYTES = 1100;
    /** Number of buckets of a view whose digests are compared during anti-entropy. */
    public static final int PARTS = 128;
    /** Maximum datagrams sent in reply to one comparison of views. */
    private static final int MOST_PARTS_SENT = 8;
    /** Fraction of a period after which an unanswered probe is also sent indirectly. */
    private static final double ASK_SHARE = 0.35;
    /** Fraction of a period after which a member that probes for another replies with a nack. */
    private static final double NACK_SHARE = 0.3;
    /** Fraction of a period after which a probe's result is evaluated. */
    private static final double JUDGE_SHARE = 0.95;
    /** Times that differ by less than this, in ms, are treated as equal, because sums of times are rounded. */
    private static final double GRAIN_MS = 0.001;
    /** Delay of a wake-up, as a fraction of a period, from which it counts as a stall of this process. */
    private static final double STALL_SHARE = 0.2;
    /** Periods after a stall in which a process suspects no other member. */
    public static final double DOUBT_PERIODS = 2;
    /** Periods after a stall in which a process reports itself as slow. */
    private static final double SLOW_PERIODS = 5;
    /** Worst local health score. The probe interval and the probe deadlines are multiplied by one plus the score (Lifeguard). */
    private static final int WORST_HEALTH = 8;
    /** Local health score from which a process reports itself as slow. */
    private static final int SLOW_HEALTH = 4;
    /** Minimum periods that a suspicion lasts, for each factor of ten of the number of live members. */
    private static final double SUSPICION_PERIODS = 4;
    /** Factor by which a suspicion with a single accuser lasts longer than the minimum. */
    private static final double SUSPICION_LONGEST = 6;
    /** Number of further accusers that shorten a suspicion to the minimum. */
    private static final int ACCUSERS = 3;
    /** Members that gossip is sent to at once. */
    private static final int TOLD_AT_ONCE = 2;
    /** Interval between gossip rounds, as a fraction of a period, while there is anything to send. */
    private static final double TELL_SHARE = 0.25;
    /** Periods between pings of a seed once any member is known. */
    private static final int SEED_PERIODS = 5;
    /** Average periods between comparisons of views once a process has caught up. */
    private static final int COMPARE_PERIODS = 10;
    /** Periods between retries of a failed member. */
    private static final int RETRY_PERIODS = 3;
    /** Consecutive retries of the same failed member. */
    private static final int RETRIES = 4;
    /** Consecutive refused connections that prove that a member has ended. */
    private static final int REFUSALS = 3;
    /** Minimum periods that those refusals must span; a restart takes less time. */
    private static final double REFUSED_PERIODS = 9;
    /** Maximum members pinged out of turn in a period. */
    private static final int MOST_LOOKS = 4;
    /** Periods without any message after which a process is alone. */
    private static final double ALONE_PERIODS = 10;
    /** Fraction by which the fleet size shrinks in a period, at least by one member. */
    private static final double FALL_SHARE = 0.02;
    /** Periods after a member's end in which the fleet size does not shrink: a running process of that name is heard from by then. */
    private static final double FALL_AFTER_PERIODS = 6;
    /** Comparisons of views after which a new process counts as caught up in any case. */
    private static final int CAUGHT_UP = 15;
    /** Comparisons without a difference after which it counts as caught up. A single one may be with another new process. */
    private static final int AGREED = 3;
    /** Sequence number of an ack that reports matching digests; no ping uses it. */
    private static final long AGREES = 0;
    /** Maximum periods between comparisons of views until a process has caught up. */
    private static final int CATCH_UP_PERIODS = 3;
    /** Random candidates drawn for each indirect prober. */
    private static final int HELPER_DRAWS = 4;
    /** Consecutive probes that only indirect probers got through, from which a member is reported as missing. */
    private static final int VIA_OTHERS = 2;
    /** Maximum concurrent probes on behalf of other members. */
    private static final int MOST_ERRANDS = 64;
    /** Maximum other generations under this process's own name that it outranks. */
    private static final int MOST_LIVES = 16;
    /** Maximum members reported as missing. */
    private static final int MOST_MISSING = 32;
    /** Minimum periods between two pings of another process under the same name. */
    private static final double TWIN_PERIODS = 5;
    /** Periods for which an answer of such a process counts. */
    private static final double TWIN_LASTS_PERIODS = 20;
    /** Members that are notified directly when this process leaves. */
    private static final int FAREWELLS = 8;

    private final FleetHost host;
    private final RandomGenerator random;
    private Terms terms;
    private Notice self;
    private List<InetSocketAddress> seeds = List.of();
    private final Map<MemberName, Peer> peers = new LinkedHashMap<>();
    private final List<Peer> present = new ArrayList<>();
    private final List<Peer> failed = new ArrayList<>();
    private final ArrayDeque<Peer> gone = new ArrayDeque<>();
    private int nextProbed;
    private final int[] sums = new int[PARTS];
    private final Rumours<MemberName, Notice> rumours = new Rumours<>(Notice::bytes, notice -> false);
    private boolean telling;
    private final PriorityQueue<Due> dues = new PriorityQueue<>();
    private long duesMade;
    /** This process's own time: the host's clock minus all stalls. */
    private double now;
    private double lost;
    private double wokenAt = Double.NaN;
    private double doubtUntil = Double.NEGATIVE_INFINITY;
    private double slowUntil = Double.NEGATIVE_INFINITY;
    private int health;
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
    private double counted;
    /**
     * Most members known at once, including this one. Members that the configured fleet size has beyond this number were never heard
     * of and may still start at any time.
     */
    private int mostKnown = 1;
    private double fallsFrom;
    private Standing standing;
    private final Set<Long> outranked = new HashSet<>();
    private long twinAsked;
    private double twinAskedAt = Double.NEGATIVE_INFINITY;
    private Notice twin;
    private double twinSeenAt = Double.NEGATIVE_INFINITY;
    private boolean hasLeft;
    private long turnedAway;

    /** Another member. */
    private static final class Peer {
        Notice notice;
        /** Index in {@link #liveMembers} or {@link #failed}; -1 if in neither. */
        int place = -1;
        Suspicion suspicion;
        double sinceMs;
        int viaOthers;
        int refusals;
        double refusedAt;
        double lookedAt = Double.NEGATIVE_INFINITY;

        Peer(Notice notice) {
            this.notice = notice;
        }
    }

    private static final class Suspicion {
        final double beganAt;
        final Set<Integer> accusers = new HashSet<>();
        /** Whether this process raised its own health score when it began to suspect the member. */
        boolean blamedSelf;
        /** Whether another member already considers it failed. */
        boolean foundFailed;

        Suspicion(double beganAt) {
            this.beganAt = beganAt;
        }
    }

    /** The probe of this period, direct and indirect. */
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

    /** A probe on behalf of another member. */
    private record Errand(InetSocketAddress from, long number, MemberName target) {}

    /** The failed member that is currently being retried. */
    private static final class Retry {
        final Peer peer;
        long number;
        int left = RETRIES;

        Retry(Peer peer) {
            this.peer = peer;
        }
    }

    /** A scheduled action; {@code label} identifies it in {@link #fingerprint}. */
    private record Due(double at, long order, String what, Runnable run) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** {@code self}: a new generation, incarnation 0, alive. Nothing is sent before {@link #begin}. */
    public Membership(Terms terms, Notice self, FleetHost host, RandomGenerator random, double nowMs) {
        this.terms = terms;
        this.self = self;
        this.host = host;
        this.random = random;
        now = nowMs;
        heardAt = now;
        counted = terms.counted();
        standing = new Standing(Standing.Kind.STARTING, nowMs, List.of());
        sums[part(self.name())] ^= self.sum();
    }

    /** Starts probing and gossiping. {@code seedAddresses}: addresses to ping in order to find the fleet. */
    public void begin(double nowMs, List<InetSocketAddress> known) {
        enter(nowMs);
        seeds = List.copyOf(known);
        spread(self);
        period();
        leave();
    }

    /** For simulations that start with an established fleet: adds all entries without gossiping them. */
    public void remember(double nowMs, List<Notice> known) {
        enter(nowMs);
        for (Notice notice : known) {
            if (!notice.name().equals(self.name())) {
                change(peers.computeIfAbsent(notice.name(), name -> new Peer(null)), notice);
            }
        }
        rumours.clear();
        caughtUp = true;
        leave();
    }

    /** Applies a changed configuration from the next period on. */
    public void termsChanged(double nowMs, Terms other, List<InetSocketAddress> known) {
        enter(nowMs);
        terms = other;
        seeds = List.copyOf(known);
        counted = Math.max(counted, actual());
        leave();
    }

    /** Runs all timers that are due. */
    public void woken(double nowMs) {
        wokenAt = Double.NaN;
        enter(nowMs);
        while (!dues.isEmpty() && dues.peek().at <= now + GRAIN_MS) {
            dues.poll().run.run();
        }
        leave();
    }

    /** The port that {@link MembershipHost#pingConnected} sent to is closed. */
    public void refused(double nowMs, InetSocketAddress peer) {
        enter(nowMs);
        if (retry != null && retry.peer.notice.address().equals(peer)) {
            refusedBy(retry.peer);
        }
        leave();
    }

    /** An operator confirms that a failed member has ended for good. Returns false if no failed member has that name. */
    public boolean endedByWord(double nowMs, MemberName name) {
        enter(nowMs);
        Peer peer = peers.get(name);
        boolean known = peer != null && peer.notice.state() == State.FAILED;
        if (known) {
            change(peer, peer.notice.with(State.ENDED, 0));
        }
        leave();
        return known;
    }

    /** Announces that this process is about to end. Nothing is sent after this. */
    public void leaving(double nowMs) {
        enter(nowMs);
        if (!hasLeft) {
            say(new Notice(self.name(), self.address(), self.life(), Math.min(Notice.LAST, self.incarnation() + 1), State.LEFT, 0));
            for (Peer peer : some(FAREWELLS, null)) {
                host.tell(peer.notice.address(), self, List.of());
            }
            hasLeft = true;
            dues.clear();
        }
    }

    // Messages from other members.

    /** Returns the receiver of a message that has arrived at {@code nowMs}. */
    public Correspondent heard(double nowMs) {
        enter(nowMs);
        return this;
    }

    @Override
    public void ping(InetSocketAddress from, Notice sender, long number, MemberName target, List<Notice> news) {
        if (!hear(from, sender, news)) {
            return;
        }
        if (target != null && !target.equals(self.name())) { // the target had this address before; the reply shows that it is not here
            host.tell(from, self, List.of());
        } else {
            host.ack(from, self, number, null, news(sender));
        }
        leave();
    }

    @Override
    public void ack(InetSocketAddress from, Notice sender, long number, Notice about, List<Notice> news) {
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
    public void nack(InetSocketAddress from, Notice sender, long number) {
        if (hear(from, sender, List.of())) {
            if (probe != null && probe.number == number) {
                probe.nacks.add(sender.name());
            }
            leave();
        }
    }

    @Override
    public void ask(InetSocketAddress from, Notice sender, long number, Notice target, List<Notice> news) {
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
    public void sums(InetSocketAddress from, Notice sender, boolean answer, int[] theirs) {
        if (theirs.length != PARTS || !hear(from, sender, List.of())) {
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
    public void tell(InetSocketAddress from, Notice sender, List<Notice> news) {
        if (hear(from, sender, news)) {
            if (retry != null && retry.peer.notice.address().equals(from) && !sender.name().equals(retry.peer.notice.name())) {
                refusedBy(retry.peer); // another member has its address now, which proves as much as a refused connection
            }
            leave();
        }
    }

    /** Processes what every datagram contains. Returns false if the datagram is to be ignored. */
    private boolean hear(InetSocketAddress from, Notice sender, List<Notice> news) {
        if (hasLeft || sender.life().equals(self.life())) { // a datagram that was looped back to its sender
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
        if (peer != null && !peer.notice.state().isPresent() && peer.notice.life().equals(sender.life())
                && sender.state().isPresent()) {
            look(peer); // it is running; the ping carries the entry that it has to refute
        }
        return true;
    }

    // Timers.

    /** Sets the current time. Detects stalls of this process, whose duration must not count as silence of the other members. */
    private void enter(double nowMs) {
        double late = dues.isEmpty() ? 0 : nowMs - lost - dues.peek().at;
        if (late > STALL_SHARE * terms.periodMs() && terms.localHealth()) {
            lost += late;
            doubtUntil = nowMs - lost + DOUBT_PERIODS * terms.periodMs();
            slowUntil = nowMs - lost + SLOW_PERIODS * terms.periodMs();
            worse();
            if (probe != null) {
                probe.tellsNothing = true;
            }
            host.stoodStill(late);
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
        health = terms.localHealth() ? Math.min(WORST_HEALTH, health + 1) : 0;
    }

    private void better() {
        health = Math.max(0, health - 1);
    }

    private double everyMs() {
        return terms.periodMs() * (1 + health);
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
        if (present.isEmpty() && failed.isEmpty() || periods % SEED_PERIODS == 0) {
            trySeed();
        }
        if (--compareIn <= 0 && !present.isEmpty()) {
            compareIn = caughtUp ? COMPARE_PERIODS / 2 + random.nextInt(COMPARE_PERIODS) : 1 + random.nextInt(CATCH_UP_PERIODS);
            compare(present.get(random.nextInt(present.size())).notice.address(), false);
        }
        while (!gone.isEmpty() && gone.peek().sinceMs + terms.forgetMs() <= now) {
            Peer peer = gone.poll();
            if (!peer.notice.state().isCounted() && peer.sinceMs + terms.forgetMs() <= now) {
                peers.remove(peer.notice.name());
            }
        }
        if (counted > actual() && now >= fallsFrom) {
            counted = Math.max(actual(), counted - Math.max(1, FALL_SHARE * counted));
        }
        stand();
    }

    // Probing.

    private void probeNext(double every) {
        if (present.isEmpty()) {
            return;
        }
        if (nextProbed >= present.size()) {
            nextProbed = 0;
            for (int i = present.size() - 1; i > 0; i--) {
                swap(i, random.nextInt(i + 1));
            }
        }
        Probe begun = new Probe(++numbers, present.get(nextProbed++));
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
            host.ask(helper.notice.address(), self, open.number, open.peer.notice, news(helper.notice));
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
            worse(); // even the indirect probers sent no nack, so the fault may be this process's own link
        }
        if (over.peer.notice.state().isPresent() && !(terms.localHealth() && now < doubtUntil)) {
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
                change(peer, peer.notice.with(State.SUSPECT, accuser));
            } else {
                spread(peer.notice);
            }
        } else if (peer.suspicion.accusers.size() > ACCUSERS || !peer.suspicion.accusers.add(accuser)) {
            return;
        } else {
            spread(peer.notice.with(State.SUSPECT, accuser));
            if (peer.suspicion.blamedSelf) { // another member agrees, so the fault was not this process's own link
                peer.suspicion.blamedSelf = false;
                better();
            }
        }
        watch(peer, peer.suspicion);
    }

    private void watch(Peer peer, Suspicion suspicion) {
        due(Math.max(0, suspicion.beganAt + suspicionMs(suspicion) - now), "suspicion", () -> {
            if (peer.suspicion == suspicion && now + GRAIN_MS >= suspicion.beganAt + suspicionMs(suspicion)) {
                change(peer, peer.notice.with(State.FAILED, 0));
            }
        });
    }

    /** Duration of a suspicion, which is the longer the fewer members have accused the member (Lifeguard). */
    private double suspicionMs(Suspicion suspicion) {
        double least = SUSPICION_PERIODS * Math.log10(Math.max(10, present.size() + 1)) * terms.periodMs();
        int wanted = Math.min(ACCUSERS, present.size() - 2);
        if (!terms.localHealth() || wanted < 1 || suspicion.foundFailed) {
            return least;
        }
        double share = Math.log(suspicion.accusers.size()) / Math.log(wanted + 1);
        return Math.max(least, least * (SUSPICION_LONGEST - (SUSPICION_LONGEST - 1) * share));
    }

    /** Pings a seed address at which no member is known, so that groups that formed around different seeds find each other. */
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
            Notice target = retry.peer.notice;
            host.call(target.address(), self, retry.number, target.name(), news(target));
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
            change(peer, peer.notice.with(State.ENDED, 0));
        } else if (retry != null) {
            retry.left = Math.max(retry.left, 1); // continue with this member until the refusals suffice
        }
    }

    /** Pings a member outside the probe order, so that it learns what others report about it; limited per period. */
    private void look(Peer peer) {
        if (looks < MOST_LOOKS && now >= peer.lookedAt + terms.periodMs()) {
            looks++;
            peer.lookedAt = now;
            host.ping(peer.notice.address(), self, ++numbers, peer.notice.name(), news(peer.notice));
        }
    }

    /** Whether another member found it silent as well. */
    private boolean missedByOthers(Peer peer) {
        return !peer.notice.state().isPresent() || peer.suspicion != null && peer.suspicion.accusers.stream().anyMatch(a -> a != 0 && a != self.name().hashCode());
    }

    /**
     * Random indirect probers, preferably members that nobody suspects. After many members died at once, the silence of dead probers
     * would otherwise be taken for a fault of this process's own link.
     */
    private List<Peer> helpers(Peer but) {
        List<Peer> drawn = some(HELPER_DRAWS * terms.helpers(), but);
        drawn.sort(Comparator.comparing(peer -> peer.suspicion != null));
        return drawn.subList(0, Math.min(terms.helpers(), drawn.size()));
    }

    /** Up to {@code count} random live members other than {@code excluded}. */
    private List<Peer> some(int count, Peer but) {
        List<Peer> chosen = new ArrayList<>(count);
        for (int tries = 0; tries < 3 * count && chosen.size() < count && !present.isEmpty(); tries++) {
            Peer one = present.get(random.nextInt(present.size()));
            if (one != but && !chosen.contains(one)) {
                chosen.add(one);
            }
        }
        return chosen;
    }

    // The view of other members.

    private void learn(Notice n) {
        if (n.name().equals(self.name())) {
            learnOfSelf(n);
            return;
        }
        Peer peer = peers.get(n.name());
        if (peer == null) {
            if (!n.state().isCounted()) {
                return; // the member is not known here, so there is no older entry to override
            }
            if (peers.size() >= terms.most()) {
                turnedAway++;
                return;
            }
            peer = new Peer(null);
            peers.put(n.name(), peer);
            change(peer, n.state() == State.SUSPECT ? n.with(State.ALIVE, 0) : n);
            if (n.state() == State.SUSPECT) {
                suspect(peer, n.accuser());
            }
            return;
        }
        int order = n.compareTo(peer.notice);
        if (order < 0) {
            if (n.state().isPresent() && !peer.notice.state().isPresent()) {
                spread(peer.notice); // spread the newer entry, so that the stale one does not revive the member elsewhere
            }
        } else if (order == 0) {
            if (n.state() == State.SUSPECT) {
                suspect(peer, n.accuser());
            }
        } else {
            learnNew(peer, n);
        }
    }

    private void learnNew(Peer peer, Notice n) {
        boolean sameProcess = n.life().equals(peer.notice.life());
        switch (n.state()) {
            case SUSPECT -> {
                if (!sameProcess || n.incarnation() > peer.notice.incarnation()) {
                    change(peer, n.with(State.ALIVE, 0));
                }
                suspect(peer, n.accuser());
            }
            case FAILED -> {
                if (!peer.notice.state().isPresent()) {
                    change(peer, n);
                    return;
                }
                // Only suspected at first: when a partition heals, the other side still holds running members as failed.
                if (!sameProcess || n.incarnation() > peer.notice.incarnation()) {
                    change(peer, n.with(State.ALIVE, 0));
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

    /** Applies a new entry of a member. Every change of an entry is made here. */
    private void change(Peer peer, Notice to) {
        Notice before = peer.notice;
        int part = part(to.name());
        if (before != null) {
            sums[part] ^= before.sum();
        }
        sums[part] ^= to.sum();
        peer.notice = to;
        if (to.state() != State.SUSPECT) {
            peer.suspicion = null;
        }
        if (before == null || before.state() != to.state() || !before.life().equals(to.life())) {
            peer.sinceMs = now;
            peer.viaOthers = 0;
            peer.refusals = 0;
        }
        boolean wasPresent = before != null && before.state().isPresent();
        boolean wasFailed = before != null && before.state() == State.FAILED;
        if (wasPresent && !to.state().isPresent()) {
            takeOut(present, peer);
        } else if (wasFailed && to.state() != State.FAILED) {
            takeOut(failed, peer);
        }
        if (!wasPresent && to.state().isPresent()) {
            putIn(present, peer);
            swap(peer.place, random.nextInt(present.size()));
        } else if (!wasFailed && to.state() == State.FAILED) {
            putIn(failed, peer);
        }
        if (!to.state().isCounted()) {
            gone.add(peer);
            if (counted <= actual() + 1) { // it may be the end of a duplicate, after which the member itself still has to be counted
                fallsFrom = now + FALL_AFTER_PERIODS * terms.periodMs();
            }
        }
        mostKnown = Math.max(mostKnown, known());
        counted = Math.max(counted, actual());
        spread(to);
        host.seen(before, to);
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
        Collections.swap(present, one, other);
        present.get(one).place = one;
        present.get(other).place = other;
    }

    // Gossip and anti-entropy.

    private void spread(Notice notice) {
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
                host.tell(peer.notice.address(), self, news(peer.notice));
            }
            due(TELL_SHARE * terms.periodMs(), "tell", this::tellSome);
        }
    }

    /** The next updates for a datagram. The recipient's own entry comes first if the recipient may have to react to it. */
    private List<Notice> news(Notice to) {
        List<Notice> news = new ArrayList<>();
        int room = NEWS_BYTES;
        Peer known = to == null ? null : peers.get(to.name());
        if (known != null && (known.notice.state() != State.ALIVE && terms.localHealth() || known.notice.compareTo(to) > 0
                || known.notice.state() == State.FAILED)) {
            news.add(known.notice);
            room -= known.notice.bytes();
        }
        news.addAll(rumours.tell(room, present.size()));
        return news;
    }

    private void compare(InetSocketAddress with, boolean answer) {
        host.sums(with, self, answer, sums.clone());
    }

    /**
     * Sends the entries of all buckets that differ, starting from a random bucket, so that views that differ too much for one exchange
     * converge after several.
     */
    private void sendParts(InetSocketAddress to, int[] theirs) {
        List<List<Notice>> parts = new ArrayList<>(Collections.nCopies(PARTS, null));
        peers.values().forEach(peer -> {
            int part = part(peer.notice.name());
            if (theirs[part] != sums[part]) {
                if (parts.get(part) == null) {
                    parts.set(part, new ArrayList<>());
                }
                parts.get(part).add(peer.notice);
            }
        });
        List<Notice> news = new ArrayList<>();
        int room = NEWS_BYTES;
        int sent = 0;
        int first = random.nextInt(PARTS);
        for (int i = 0; i < PARTS; i++) {
            List<Notice> part = parts.get((first + i) % PARTS);
            for (Notice notice : part == null ? List.<Notice>of() : part) {
                if (notice.bytes() > room) {
                    host.tell(to, self, news);
                    if (++sent >= MOST_PARTS_SENT) {
                        return;
                    }
                    news = new ArrayList<>();
                    room = NEWS_BYTES;
                }
                news.add(notice);
                room -= notice.bytes();
            }
        }
        host.tell(to, self, news);
    }

    private static int part(MemberName name) {
        int hash = name.hashCode();
        return (hash ^ (hash >>> 15)) & (PARTS - 1);
    }

    // This process's own entry.

    private void say(Notice now) {
        sums[part(self.name())] ^= self.sum() ^ now.sum();
        self = now;
        spread(self);
    }

    private void learnOfSelf(Notice n) {
        if (n.life().equals(self.life())) {
            if (n.compareTo(self) > 0) {
                worse();
                if (n.incarnation() == Notice.LAST) {
                    begin(n);
                } else {
                    say(new Notice(self.name(), self.address(), self.life(), n.incarnation() + 1, State.ALIVE, 0));
                }
            }
        } else if (n.life().nonce() == self.life().nonce()) {
            if (n.life().compareTo(self.life()) < 0) {
                spread(self); // an earlier generation of this same process
            } else {
                begin(n);
            }
        } else if (n.life().compareTo(self.life()) < 0) {
            if (n.state().isCounted()) {
                spread(self); // stale news of the process that ran before this one
            }
        } else if (!n.state().isCounted() || !n.state().isPresent() && twin() == null) {
            begin(n); // that process has ended
        } else if (outranked.size() < MOST_LIVES && outranked.add(n.life().nonce())) {
            begin(n); // the process that ran before this one had a clock that was ahead
            if (n.state().isPresent()) {
                askTwin(n.address());
            }
        } else if (n.state().isPresent()) {
            askTwin(n.address()); // it has outranked this process again, so it is running
        }
    }

    /** Starts a generation greater than that of {@code above}. */
    private void begin(Notice above) {
        if (above.life().start() < Life.LATEST) {
            say(new Notice(self.name(), self.address(), new Life(above.life().start() + 1, self.life().nonce()), 0, State.ALIVE, 0));
        }
    }

    private boolean isTwin(Notice other) {
        return other.name().equals(self.name()) && other.life().nonce() != self.life().nonce();
    }

    private void askTwin(InetSocketAddress at) {
        if (now >= twinAskedAt + TWIN_PERIODS * terms.periodMs() && !at.equals(self.address())) {
            twinAskedAt = now;
            twinAsked = ++numbers;
            host.ping(at, self, twinAsked, self.name(), List.of());
        }
    }

    private void twinProved(Notice other) {
        if (twin() == null) {
            host.log("fleet: another process uses this process's name " + self.name() + ", at " + other.address());
        }
        twin = other;
        twinSeenAt = now;
    }

    // Status.

    /**
     * The size to which the fleet may shrink. Silence alone never lowers it: members that failed still count, and so do configured
     * members that were never heard of.
     */
    private int actual() {
        return known() + Math.max(0, terms.counted() - mostKnown);
    }

    private int known() {
        return present.size() + failed.size() + 1;
    }

    private void stand() {
        List<MemberName> missing = new ArrayList<>();
        failed.stream().limit(MOST_MISSING).forEach(peer -> missing.add(peer.notice.name()));
        present.stream().filter(peer -> peer.viaOthers >= VIA_OTHERS).limit(MOST_MISSING - missing.size())
                .forEach(peer -> missing.add(peer.notice.name()));
        Standing.Kind kind;
        if (now < slowUntil) {
            kind = Standing.Kind.SLOW;
        } else if (!heardAny) {
            kind = Standing.Kind.STARTING;
        } else if (now > heardAt + ALONE_PERIODS * terms.periodMs() && present.size() + failed.size() > 0) {
            kind = Standing.Kind.ALONE;
        } else if (health >= SLOW_HEALTH) {
            kind = Standing.Kind.SLOW;
        } else {
            kind = missing.isEmpty() ? Standing.Kind.WITH_ALL : Standing.Kind.CUT_OFF;
        }
        if (kind != standing.kind() || !missing.equals(standing.missing())) {
            boolean same = kind == standing.kind();
            standing = new Standing(kind, same ? standing.sinceMs() : now + lost, List.copyOf(missing));
            host.stands(standing);
            if (!same) {
                host.log(String.format(Locale.ROOT, "fleet: status %s, %d alive, fleet size %d, missing %s", kind, present.size() + 1,
                        counted(), missing));
            }
        }
    }

    // Accessors.

    public Notice self() {
        return self;
    }

    public Standing standing() {
        return standing;
    }

    /** Number of members to divide limits by, at least 1. */
    public int counted() {
        return (int) Math.ceil(counted);
    }

    /** Lifeguard's local health score, from 0 (healthy) to 8. */
    public int health() {
        return health;
    }

    /** Another process that recently answered under this process's name, or null. */
    public Notice twin() {
        return now < twinSeenAt + TWIN_LASTS_PERIODS * terms.periodMs() ? twin : null;
    }

    /** Number of received entries of new members that were dropped because the view was full. */
    public long turnedAway() {
        return turnedAway;
    }

    /** The entry of that member, or null. */
    public Notice of(MemberName name) {
        Peer peer = peers.get(name);
        return name.equals(self.name()) ? self : peer == null ? null : peer.notice;
    }

    /** Number of live members, including this process. */
    public int alive() {
        return present.size() + 1;
    }

    /** All entries of the view, this process's own first. */
    public List<Notice> view() {
        List<Notice> view = new ArrayList<>(peers.size() + 1);
        view.add(self);
        peers.values().forEach(peer -> view.add(peer.notice));
        return view;
    }

    /** The live members of the view, including this process unless it has left. */
    public List<Notice> present() {
        return view().stream().filter(notice -> notice.state().isPresent()).toList();
    }

    /**
     * Everything that determines the further behaviour apart from chance, with times relative to now. Model checkers use it to
     * recognize states that they have already explored.
     */
    public String state() {
        StringBuilder text = new StringBuilder(256);
        text.append(self).append(health).append(' ').append(caughtUp ? -1 : agreed).append(heardAny).append(' ').append(compareIn).append(' ')
                .append(periods % (RETRY_PERIODS * SEED_PERIODS)).append(' ').append(nextProbed).append(' ').append(Math.ceil(counted)).append(' ').append(mostKnown).append(' ').append(Math.round(Math.max(0, fallsFrom - now)));
        for (Peer peer : present) {
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
