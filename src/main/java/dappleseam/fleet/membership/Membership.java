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
 * One proxy's view of all proxies: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2017) and
 * the extensions in docs/fleet-design.md. Performs no I/O and has one method per event; times are ms of a monotonic clock.
 * Not thread-safe.
 */
public final class Membership implements MembershipProtocol {
    /** Maximum bytes of gossip in one datagram: 1,400 less two entries and the frame. */
    public static final int MAX_UPDATE_BYTES = 1100;
    /** Number of buckets of a view whose digests are compared during anti-entropy. */
    public static final int DIGEST_BUCKETS = 128;
    /** Maximum datagrams sent in reply to one comparison of views. */
    private static final int MAX_SYNC_DATAGRAMS = 8;
    /** Fraction of a period after which an unanswered probe is also sent indirectly. */
    private static final double INDIRECT_PROBE_FRACTION = 0.35;
    /** Fraction of a period after which a member that probes for another replies with a nack. */
    private static final double NACK_FRACTION = 0.3;
    /** Fraction of a period after which a probe's result is evaluated. */
    private static final double PROBE_DEADLINE_FRACTION = 0.95;
    /** Times that differ by less than this, in ms, are treated as equal, because sums of times are rounded. */
    private static final double TIME_EPSILON_MS = 0.001;
    /** Delay of a wake-up, as a fraction of a period, from which it counts as a stall of this process. */
    private static final double STALL_FRACTION = 0.2;
    /** Periods after a stall in which a process suspects no other member. */
    public static final double STALL_GRACE_PERIODS = 2;
    /** Periods after a stall in which a process reports itself as slow. */
    private static final double SLOW_AFTER_STALL_PERIODS = 5;
    /** Worst local health score. The probe interval and the probe deadlines are multiplied by one plus the score (Lifeguard). */
    private static final int MAX_HEALTH_SCORE = 8;
    /** Local health score from which a process reports itself as slow. */
    private static final int SLOW_HEALTH_SCORE = 4;
    /** Minimum periods that a suspicion lasts, for each factor of ten of the number of live members. */
    private static final double MIN_SUSPICION_PERIODS = 4;
    /** Factor by which a suspicion with a single accuser lasts longer than the minimum. */
    private static final double MAX_SUSPICION_FACTOR = 6;
    /** Number of further accusers that shorten a suspicion to the minimum. */
    private static final int MAX_ACCUSERS = 3;
    /** Members that gossip is sent to at once. */
    private static final int GOSSIP_FANOUT = 2;
    /** Interval between gossip rounds, as a fraction of a period, while there is anything to send. */
    private static final double GOSSIP_INTERVAL_FRACTION = 0.25;
    /** Periods between pings of a seed once any member is known. */
    private static final int SEED_PING_PERIODS = 5;
    /** Average periods between comparisons of views once a process has caught up. */
    private static final int SYNC_PERIODS = 10;
    /** Periods between retries of a failed member. */
    private static final int RETRY_PERIODS = 3;
    /** Consecutive retries of the same failed member. */
    private static final int MAX_RETRIES = 4;
    /** Consecutive refused connections that prove that a member has ended. */
    private static final int MIN_REFUSALS = 3;
    /** Minimum periods that those refusals must span; a restart takes less time. */
    private static final double MIN_REFUSED_PERIODS = 9;
    /** Maximum members pinged out of turn in a period. */
    private static final int MAX_EXTRA_PINGS = 4;
    /** Periods without any message after which a process is alone. */
    private static final double ALONE_PERIODS = 10;
    /** Fraction by which the fleet size shrinks in a period, at least by one member. */
    private static final double SHRINK_FRACTION = 0.02;
    /** Periods after a member's end in which the fleet size does not shrink: a running process of that name is heard from by then. */
    private static final double SHRINK_DELAY_PERIODS = 6;
    /** Comparisons of views after which a new process counts as caught up in any case. */
    private static final int MAX_CATCH_UP_SYNCS = 15;
    /** Comparisons without a difference after which it counts as caught up. A single one may be with another new process. */
    private static final int MIN_MATCHING_SYNCS = 3;
    /** Sequence number of an ack that reports matching digests; no ping uses it. */
    private static final long DIGESTS_MATCH = 0;
    /** Maximum periods between comparisons of views until a process has caught up. */
    private static final int CATCH_UP_SYNC_PERIODS = 3;
    /** Random candidates drawn for each indirect prober. */
    private static final int DRAWS_PER_PROBER = 4;
    /** Consecutive probes that only indirect probers got through, from which a member is reported as missing. */
    private static final int MIN_INDIRECT_ONLY = 2;
    /** Maximum concurrent probes on behalf of other members. */
    private static final int MAX_RELAYED_PROBES = 64;
    /** Maximum other generations under this process's own name that it outranks. */
    private static final int MAX_OUTRANKED_GENERATIONS = 16;
    /** Maximum members reported as missing. */
    private static final int MAX_MISSING = 32;
    /** Minimum periods between two pings of another process under the same name. */
    private static final double DUPLICATE_PING_PERIODS = 5;
    /** Periods for which an answer of such a process counts. */
    private static final double DUPLICATE_EXPIRY_PERIODS = 20;
    /** Members that are notified directly when this process leaves. */
    private static final int LEAVE_FANOUT = 8;

    private final MembershipHost host;
    private final RandomGenerator random;
    private MembershipConfig config;
    private MemberEntry self;
    private List<InetSocketAddress> seeds = List.of();
    private final Map<MemberName, Peer> peers = new LinkedHashMap<>();
    private final List<Peer> liveMembers = new ArrayList<>();
    private final List<Peer> failed = new ArrayList<>();
    private final ArrayDeque<Peer> tombstones = new ArrayDeque<>();
    private int nextProbeIndex;
    private final int[] digests = new int[DIGEST_BUCKETS];
    private final GossipQueue<MemberName, MemberEntry> gossipQueue = new GossipQueue<>(MemberEntry::maxEncodedBytes, entry -> false);
    private boolean gossipScheduled;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long timersCreated;
    /** This process's own time: the host's clock minus all stalls. */
    private double now;
    private double stalledMs;
    private double scheduledWakeAt = Double.NaN;
    private double graceUntil = Double.NEGATIVE_INFINITY;
    private double slowUntil = Double.NEGATIVE_INFINITY;
    private int healthScore;
    private long lastSequence;
    private Probe probe;
    private final Map<Long, RelayedProbe> relayedProbes = new HashMap<>();
    private int periodCount;
    private int periodsToSync = 1;
    private int syncs;
    private int matchingSyncs;
    private boolean caughtUp;
    private Retry retry;
    private int extraPings;
    private double lastHeardAt;
    private boolean heardAny;
    private double fleetSize;
    /**
     * Most members known at once, including this one. Members that the configured fleet size has beyond this number were never heard
     * of and may still start at any time.
     */
    private int maxKnown = 1;
    private double shrinksFrom;
    private MembershipStatus status;
    private final Set<Long> outrankedNonces = new HashSet<>();
    private long duplicatePingSequence;
    private double duplicatePingedAt = Double.NEGATIVE_INFINITY;
    private MemberEntry duplicate;
    private double duplicateSeenAt = Double.NEGATIVE_INFINITY;
    private boolean hasLeft;
    private long droppedForCapacity;

    /** Another member. */
    private static final class Peer {
        MemberEntry entry;
        /** Index in {@link #liveMembers} or {@link #failed}; -1 if in neither. */
        int index = -1;
        Suspicion suspicion;
        double sinceMs;
        int indirectOnly;
        int refusals;
        double firstRefusedAt;
        double extraPingAt = Double.NEGATIVE_INFINITY;

        Peer(MemberEntry entry) {
            this.entry = entry;
        }
    }

    private static final class Suspicion {
        final double startedAt;
        final Set<Integer> accusers = new HashSet<>();
        /** Whether this process raised its own health score when it began to suspect the member. */
        boolean raisedHealthScore;
        /** Whether another member already considers it failed. */
        boolean reportedFailed;

        Suspicion(double startedAt) {
            this.startedAt = startedAt;
        }
    }

    /** The probe of this period, direct and indirect. */
    private static final class Probe {
        final long sequence;
        final Peer peer;
        boolean answered;
        boolean answeredDirectly;
        boolean inconclusive;
        final Set<Peer> probers = new LinkedHashSet<>();
        final Set<MemberName> nackedBy = new HashSet<>();

        Probe(long sequence, Peer peer) {
            this.sequence = sequence;
            this.peer = peer;
        }
    }

    /** A probe on behalf of another member. */
    private record RelayedProbe(InetSocketAddress requester, long requesterSequence, MemberName target) {}

    /** The failed member that is currently being retried. */
    private static final class Retry {
        final Peer peer;
        long sequence;
        int attemptsLeft = MAX_RETRIES;

        Retry(Peer peer) {
            this.peer = peer;
        }
    }

    /** A scheduled action; {@code label} identifies it in {@link #fingerprint}. */
    private record Timer(double at, long tieBreaker, String label, Runnable action) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(tieBreaker, other.tieBreaker);
        }
    }

    /** {@code self}: a new generation, incarnation 0, alive. Nothing is sent before {@link #begin}. */
    public Membership(MembershipConfig config, MemberEntry self, MembershipHost host, RandomGenerator random, double nowMs) {
        this.config = config;
        this.self = self;
        this.host = host;
        this.random = random;
        now = nowMs;
        lastHeardAt = now;
        fleetSize = config.initialFleetSize();
        status = new MembershipStatus(MembershipStatus.Kind.STARTING, nowMs, List.of());
        digests[bucket(self.name())] ^= self.digest();
    }

    /** Starts probing and gossiping. {@code seedAddresses}: addresses to ping in order to find the fleet. */
    public void begin(double nowMs, List<InetSocketAddress> seedAddresses) {
        advanceClock(nowMs);
        seeds = List.copyOf(seedAddresses);
        enqueueGossip(self);
        runPeriod();
        scheduleWakeUp();
    }

    /** For simulations that start with an established fleet: adds all entries without gossiping them. */
    public void preload(double nowMs, List<MemberEntry> entries) {
        advanceClock(nowMs);
        for (MemberEntry entry : entries) {
            if (!entry.name().equals(self.name())) {
                apply(peers.computeIfAbsent(entry.name(), name -> new Peer(null)), entry);
            }
        }
        gossipQueue.clear();
        caughtUp = true;
        scheduleWakeUp();
    }

    /** Applies a changed configuration from the next period on. */
    public void configChanged(double nowMs, MembershipConfig newConfig, List<InetSocketAddress> seedAddresses) {
        advanceClock(nowMs);
        config = newConfig;
        seeds = List.copyOf(seedAddresses);
        fleetSize = Math.max(fleetSize, minFleetSize());
        scheduleWakeUp();
    }

    /** Runs all timers that are due. */
    public void woken(double nowMs) {
        scheduledWakeAt = Double.NaN;
        advanceClock(nowMs);
        while (!timers.isEmpty() && timers.peek().at <= now + TIME_EPSILON_MS) {
            timers.poll().action.run();
        }
        scheduleWakeUp();
    }

    /** The port that {@link MembershipHost#pingConnected} sent to is closed. */
    public void connectionRefused(double nowMs, InetSocketAddress peer) {
        advanceClock(nowMs);
        if (retry != null && retry.peer.entry.address().equals(peer)) {
            countRefusal(retry.peer);
        }
        scheduleWakeUp();
    }

    /** An operator confirms that a failed member has ended for good. Returns false if no failed member has that name. */
    public boolean markEnded(double nowMs, MemberName name) {
        advanceClock(nowMs);
        Peer peer = peers.get(name);
        boolean known = peer != null && peer.entry.state() == State.FAILED;
        if (known) {
            apply(peer, peer.entry.withState(State.ENDED, 0));
        }
        scheduleWakeUp();
        return known;
    }

    /** Announces that this process is about to end. Nothing is sent after this. */
    public void announceLeave(double nowMs) {
        advanceClock(nowMs);
        if (!hasLeft) {
            setSelf(new MemberEntry(self.name(), self.address(), self.generation(), Math.min(MemberEntry.MAX_INCARNATION, self.incarnation() + 1), State.LEFT, 0));
            for (Peer peer : randomLive(LEAVE_FANOUT, null)) {
                host.gossip(peer.entry.address(), self, List.of());
            }
            hasLeft = true;
            timers.clear();
        }
    }

    // Messages from other members.

    /** Returns the receiver of a message that has arrived at {@code nowMs}. */
    public MembershipProtocol receiver(double nowMs) {
        advanceClock(nowMs);
        return this;
    }

    @Override
    public void ping(InetSocketAddress from, MemberEntry sender, long sequence, MemberName target, List<MemberEntry> updates) {
        if (!accept(from, sender, updates)) {
            return;
        }
        if (target != null && !target.equals(self.name())) { // the target had this address before; the reply shows that it is not here
            host.gossip(from, self, List.of());
        } else {
            host.ack(from, self, sequence, null, updatesFor(sender));
        }
        scheduleWakeUp();
    }

    @Override
    public void ack(InetSocketAddress from, MemberEntry sender, long sequence, MemberEntry subject, List<MemberEntry> updates) {
        if (!accept(from, sender, updates)) {
            return;
        }
        if (sequence == DIGESTS_MATCH) {
            recordSync(true);
        } else if (sequence == duplicatePingSequence && subject == null && isDuplicate(sender)) {
            confirmDuplicate(sender);
        } else if (subject != null) {
            merge(subject);
            if (probe != null && probe.sequence == sequence && subject.name().equals(probe.peer.entry.name())) {
                probe.answered = true;
            }
        } else if (probe != null && probe.sequence == sequence && sender.name().equals(probe.peer.entry.name())) {
            probe.answered = true;
            probe.answeredDirectly = true;
        } else if (retry != null && retry.sequence == sequence && sender.name().equals(retry.peer.entry.name())) {
            retry = null;
            sendDigests(from, false);
        } else {
            RelayedProbe relayed = relayedProbes.get(sequence);
            if (relayed != null && relayed.target.equals(sender.name())) {
                relayedProbes.remove(sequence);
                host.ack(relayed.requester, self, relayed.requesterSequence, sender, List.of());
            }
        }
        scheduleWakeUp();
    }

    @Override
    public void nack(InetSocketAddress from, MemberEntry sender, long sequence) {
        if (accept(from, sender, List.of())) {
            if (probe != null && probe.sequence == sequence) {
                probe.nackedBy.add(sender.name());
            }
            scheduleWakeUp();
        }
    }

    @Override
    public void pingRequest(InetSocketAddress from, MemberEntry sender, long sequence, MemberEntry target, List<MemberEntry> updates) {
        if (!accept(from, sender, updates)) {
            return;
        }
        if (relayedProbes.size() < MAX_RELAYED_PROBES && !target.name().equals(self.name())) {
            long ownSequence = ++lastSequence;
            relayedProbes.put(ownSequence, new RelayedProbe(from, sequence, target.name()));
            Peer peer = peers.get(target.name());
            host.ping(peer == null ? target.address() : peer.entry.address(), self, ownSequence, target.name(), updatesFor(target));
            schedule(NACK_FRACTION * config.periodMs(), "errand", () -> {
                RelayedProbe relayed = relayedProbes.remove(ownSequence);
                if (relayed != null) {
                    host.nack(relayed.requester, self, relayed.requesterSequence);
                }
            });
        }
        scheduleWakeUp();
    }

    @Override
    public void digests(InetSocketAddress from, MemberEntry sender, boolean isReply, int[] theirs) {
        if (theirs.length != DIGEST_BUCKETS || !accept(from, sender, List.of())) {
            return;
        }
        boolean matches = Arrays.equals(theirs, digests);
        recordSync(matches);
        if (!matches) {
            periodsToSync = Math.min(periodsToSync, 1);
            sendBuckets(from, theirs);
            if (!isReply) {
                sendDigests(from, true);
            }
        } else if (!isReply) {
            host.ack(from, self, DIGESTS_MATCH, null, List.of());
        }
        scheduleWakeUp();
    }

    private void recordSync(boolean matches) {
        syncs++;
        matchingSyncs += matches ? 1 : 0;
        caughtUp |= syncs >= MAX_CATCH_UP_SYNCS || matchingSyncs >= MIN_MATCHING_SYNCS;
    }

    @Override
    public void gossip(InetSocketAddress from, MemberEntry sender, List<MemberEntry> updates) {
        if (accept(from, sender, updates)) {
            if (retry != null && retry.peer.entry.address().equals(from) && !sender.name().equals(retry.peer.entry.name())) {
                countRefusal(retry.peer); // another member has its address now, which proves as much as a refused connection
            }
            scheduleWakeUp();
        }
    }

    /** Processes what every datagram contains. Returns false if the datagram is to be ignored. */
    private boolean accept(InetSocketAddress from, MemberEntry sender, List<MemberEntry> updates) {
        if (hasLeft || sender.generation().equals(self.generation())) { // a datagram that was looped back to its sender
            return false;
        }
        if (isDuplicate(sender)) {
            pingDuplicate(sender.address());
        } else {
            lastHeardAt = now;
            heardAny = true;
        }
        merge(sender);
        updates.forEach(this::merge);
        Peer peer = peers.get(sender.name());
        if (peer != null && !peer.entry.state().isLive() && peer.entry.generation().equals(sender.generation())
                && sender.state().isLive()) {
            pingOutOfTurn(peer); // it is running; the ping carries the entry that it has to refute
        }
        return true;
    }

    // Timers.

    /** Sets the current time. Detects stalls of this process, whose duration must not count as silence of the other members. */
    private void advanceClock(double nowMs) {
        double lateMs = timers.isEmpty() ? 0 : nowMs - stalledMs - timers.peek().at;
        if (lateMs > STALL_FRACTION * config.periodMs() && config.localHealth()) {
            stalledMs += lateMs;
            graceUntil = nowMs - stalledMs + STALL_GRACE_PERIODS * config.periodMs();
            slowUntil = nowMs - stalledMs + SLOW_AFTER_STALL_PERIODS * config.periodMs();
            raiseHealthScore();
            if (probe != null) {
                probe.inconclusive = true;
            }
            host.stalled(lateMs);
        }
        now = Math.max(now, nowMs - stalledMs);
    }

    private void scheduleWakeUp() {
        if (!timers.isEmpty()) {
            double next = timers.peek().at + stalledMs;
            if (next != scheduledWakeAt) {
                scheduledWakeAt = next;
                host.wakeAt(next);
            }
        }
    }

    private void schedule(double delayMs, String label, Runnable action) {
        timers.add(new Timer(now + delayMs, timersCreated++, label, action));
    }

    private void raiseHealthScore() {
        healthScore = config.localHealth() ? Math.min(MAX_HEALTH_SCORE, healthScore + 1) : 0;
    }

    private void lowerHealthScore() {
        healthScore = Math.max(0, healthScore - 1);
    }

    private double probeIntervalMs() {
        return config.periodMs() * (1 + healthScore);
    }

    private void runPeriod() {
        if (probe != null) {
            concludeProbe();
        }
        double intervalMs = probeIntervalMs();
        schedule(intervalMs, "period", this::runPeriod);
        periodCount++;
        extraPings = 0;
        probeNext(intervalMs);
        if (periodCount % RETRY_PERIODS == 0) {
            retryFailed();
        }
        if (liveMembers.isEmpty() && failed.isEmpty() || periodCount % SEED_PING_PERIODS == 0) {
            pingSeed();
        }
        if (--periodsToSync <= 0 && !liveMembers.isEmpty()) {
            periodsToSync = caughtUp ? SYNC_PERIODS / 2 + random.nextInt(SYNC_PERIODS) : 1 + random.nextInt(CATCH_UP_SYNC_PERIODS);
            sendDigests(liveMembers.get(random.nextInt(liveMembers.size())).entry.address(), false);
        }
        while (!tombstones.isEmpty() && tombstones.peek().sinceMs + config.forgetAfterMs() <= now) {
            Peer peer = tombstones.poll();
            if (!peer.entry.state().isCounted() && peer.sinceMs + config.forgetAfterMs() <= now) {
                peers.remove(peer.entry.name());
            }
        }
        if (fleetSize > minFleetSize() && now >= shrinksFrom) {
            fleetSize = Math.max(minFleetSize(), fleetSize - Math.max(1, SHRINK_FRACTION * fleetSize));
        }
        updateStatus();
    }

    // Probing.

    private void probeNext(double intervalMs) {
        if (liveMembers.isEmpty()) {
            return;
        }
        if (nextProbeIndex >= liveMembers.size()) {
            nextProbeIndex = 0;
            for (int i = liveMembers.size() - 1; i > 0; i--) {
                swap(i, random.nextInt(i + 1));
            }
        }
        Probe started = new Probe(++lastSequence, liveMembers.get(nextProbeIndex++));
        probe = started;
        host.ping(started.peer.entry.address(), self, started.sequence, started.peer.entry.name(), updatesFor(started.peer.entry));
        schedule(INDIRECT_PROBE_FRACTION * intervalMs, "ask", () -> probeIndirectly(started));
        schedule(PROBE_DEADLINE_FRACTION * intervalMs, "judge", () -> {
            if (probe == started) {
                concludeProbe();
            }
        });
    }

    private void probeIndirectly(Probe pending) {
        if (probe != pending || pending.answeredDirectly) {
            return;
        }
        host.ping(pending.peer.entry.address(), self, pending.sequence, pending.peer.entry.name(), updatesFor(pending.peer.entry));
        for (Peer prober : chooseProbers(pending.peer)) {
            pending.probers.add(prober);
            host.pingRequest(prober.entry.address(), self, pending.sequence, pending.peer.entry, updatesFor(prober.entry));
        }
    }

    private void concludeProbe() {
        Probe concluded = probe;
        probe = null;
        if (concluded.inconclusive) {
            return;
        }
        if (concluded.answered) {
            lowerHealthScore();
            concluded.peer.indirectOnly = concluded.answeredDirectly ? 0 : concluded.peer.indirectOnly + 1;
            return;
        }
        boolean proberSilent = concluded.probers.isEmpty() || concluded.probers.stream().anyMatch(prober -> !accusedByOthers(prober) && !concluded.nackedBy.contains(prober.entry.name()));
        boolean ownLinkSuspected = proberSilent && !accusedByOthers(concluded.peer);
        if (ownLinkSuspected) {
            raiseHealthScore(); // even the indirect probers sent no nack, so the fault may be this process's own link
        }
        if (concluded.peer.entry.state().isLive() && !(config.localHealth() && now < graceUntil)) {
            suspect(concluded.peer, self.name().hashCode());
            if (concluded.peer.suspicion != null) {
                concluded.peer.suspicion.raisedHealthScore |= ownLinkSuspected;
            }
        }
    }

    private void suspect(Peer peer, int accuser) {
        if (peer.suspicion == null) {
            peer.suspicion = new Suspicion(now);
            peer.suspicion.accusers.add(accuser);
            if (peer.entry.state() == State.ALIVE) {
                apply(peer, peer.entry.withState(State.SUSPECT, accuser));
            } else {
                enqueueGossip(peer.entry);
            }
        } else if (peer.suspicion.accusers.size() > MAX_ACCUSERS || !peer.suspicion.accusers.add(accuser)) {
            return;
        } else {
            enqueueGossip(peer.entry.withState(State.SUSPECT, accuser));
            if (peer.suspicion.raisedHealthScore) { // another member agrees, so the fault was not this process's own link
                peer.suspicion.raisedHealthScore = false;
                lowerHealthScore();
            }
        }
        scheduleSuspicionTimeout(peer, peer.suspicion);
    }

    private void scheduleSuspicionTimeout(Peer peer, Suspicion suspicion) {
        schedule(Math.max(0, suspicion.startedAt + suspicionMs(suspicion) - now), "suspicion", () -> {
            if (peer.suspicion == suspicion && now + TIME_EPSILON_MS >= suspicion.startedAt + suspicionMs(suspicion)) {
                apply(peer, peer.entry.withState(State.FAILED, 0));
            }
        });
    }

    /** Duration of a suspicion, which is the longer the fewer members have accused the member (Lifeguard). */
    private double suspicionMs(Suspicion suspicion) {
        double minMs = MIN_SUSPICION_PERIODS * Math.log10(Math.max(10, liveMembers.size() + 1)) * config.periodMs();
        int maxAccusers = Math.min(MAX_ACCUSERS, liveMembers.size() - 2);
        if (!config.localHealth() || maxAccusers < 1 || suspicion.reportedFailed) {
            return minMs;
        }
        double fraction = Math.log(suspicion.accusers.size()) / Math.log(maxAccusers + 1);
        return Math.max(minMs, minMs * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * fraction));
    }

    /** Pings a seed address at which no member is known, so that groups that formed around different seeds find each other. */
    private void pingSeed() {
        List<InetSocketAddress> candidates = new ArrayList<>(seeds);
        candidates.remove(self.address());
        if (!candidates.isEmpty()) {
            peers.values().forEach(peer -> candidates.remove(peer.entry.address()));
        }
        if (!candidates.isEmpty()) {
            host.ping(candidates.get(random.nextInt(candidates.size())), self, ++lastSequence, null, updatesFor(null));
        }
    }

    private void retryFailed() {
        if (retry != null && (retry.attemptsLeft <= 0 || retry.peer.entry.state() != State.FAILED)) {
            retry = null;
        }
        if (retry == null && !failed.isEmpty()) {
            retry = new Retry(failed.get(random.nextInt(failed.size())));
        }
        if (retry != null) {
            retry.attemptsLeft--;
            retry.sequence = ++lastSequence;
            MemberEntry target = retry.peer.entry;
            host.pingConnected(target.address(), self, retry.sequence, target.name(), updatesFor(target));
        }
    }

    private void countRefusal(Peer peer) {
        if (peer.entry.state() != State.FAILED) {
            return;
        }
        if (peer.refusals == 0) {
            peer.firstRefusedAt = now;
        }
        if (++peer.refusals >= MIN_REFUSALS && now >= peer.firstRefusedAt + MIN_REFUSED_PERIODS * config.periodMs()) {
            apply(peer, peer.entry.withState(State.ENDED, 0));
        } else if (retry != null) {
            retry.attemptsLeft = Math.max(retry.attemptsLeft, 1); // continue with this member until the refusals suffice
        }
    }

    /** Pings a member outside the probe order, so that it learns what others report about it; limited per period. */
    private void pingOutOfTurn(Peer peer) {
        if (extraPings < MAX_EXTRA_PINGS && now >= peer.extraPingAt + config.periodMs()) {
            extraPings++;
            peer.extraPingAt = now;
            host.ping(peer.entry.address(), self, ++lastSequence, peer.entry.name(), updatesFor(peer.entry));
        }
    }

    /** Whether another member found it silent as well. */
    private boolean accusedByOthers(Peer peer) {
        return !peer.entry.state().isLive() || peer.suspicion != null && peer.suspicion.accusers.stream().anyMatch(a -> a != 0 && a != self.name().hashCode());
    }

    /**
     * Random indirect probers, preferably members that nobody suspects. After many members died at once, the silence of dead probers
     * would otherwise be taken for a fault of this process's own link.
     */
    private List<Peer> chooseProbers(Peer excluded) {
        List<Peer> drawn = randomLive(DRAWS_PER_PROBER * config.indirectProbes(), excluded);
        drawn.sort(Comparator.comparing(peer -> peer.suspicion != null));
        return drawn.subList(0, Math.min(config.indirectProbes(), drawn.size()));
    }

    /** Up to {@code count} random live members other than {@code excluded}. */
    private List<Peer> randomLive(int count, Peer excluded) {
        List<Peer> chosen = new ArrayList<>(count);
        for (int tries = 0; tries < 3 * count && chosen.size() < count && !liveMembers.isEmpty(); tries++) {
            Peer candidate = liveMembers.get(random.nextInt(liveMembers.size()));
            if (candidate != excluded && !chosen.contains(candidate)) {
                chosen.add(candidate);
            }
        }
        return chosen;
    }

    // The view of other members.

    private void merge(MemberEntry received) {
        if (received.name().equals(self.name())) {
            mergeSelf(received);
            return;
        }
        Peer peer = peers.get(received.name());
        if (peer == null) {
            if (!received.state().isCounted()) {
                return; // the member is not known here, so there is no older entry to override
            }
            if (peers.size() >= config.maxMembers()) {
                droppedForCapacity++;
                return;
            }
            peer = new Peer(null);
            peers.put(received.name(), peer);
            apply(peer, received.state() == State.SUSPECT ? received.withState(State.ALIVE, 0) : received);
            if (received.state() == State.SUSPECT) {
                suspect(peer, received.accuser());
            }
            return;
        }
        int order = received.compareTo(peer.entry);
        if (order < 0) {
            if (received.state().isLive() && !peer.entry.state().isLive()) {
                enqueueGossip(peer.entry); // spread the newer entry, so that the stale one does not revive the member elsewhere
            }
        } else if (order == 0) {
            if (received.state() == State.SUSPECT) {
                suspect(peer, received.accuser());
            }
        } else {
            mergeNewer(peer, received);
        }
    }

    private void mergeNewer(Peer peer, MemberEntry received) {
        boolean sameProcess = received.generation().equals(peer.entry.generation());
        switch (received.state()) {
            case SUSPECT -> {
                if (!sameProcess || received.incarnation() > peer.entry.incarnation()) {
                    apply(peer, received.withState(State.ALIVE, 0));
                }
                suspect(peer, received.accuser());
            }
            case FAILED -> {
                if (!peer.entry.state().isLive()) {
                    apply(peer, received);
                    return;
                }
                // Only suspected at first: when a partition heals, the other side still holds running members as failed.
                if (!sameProcess || received.incarnation() > peer.entry.incarnation()) {
                    apply(peer, received.withState(State.ALIVE, 0));
                }
                if (peer.suspicion == null) {
                    suspect(peer, 0);
                }
                if (!peer.suspicion.reportedFailed) {
                    peer.suspicion.reportedFailed = true;
                    scheduleSuspicionTimeout(peer, peer.suspicion);
                    pingOutOfTurn(peer);
                }
            }
            default -> apply(peer, received);
        }
    }

    /** Applies a new entry of a member. Every change of an entry is made here. */
    private void apply(Peer peer, MemberEntry after) {
        MemberEntry before = peer.entry;
        int bucket = bucket(after.name());
        if (before != null) {
            digests[bucket] ^= before.digest();
        }
        digests[bucket] ^= after.digest();
        peer.entry = after;
        if (after.state() != State.SUSPECT) {
            peer.suspicion = null;
        }
        if (before == null || before.state() != after.state() || !before.generation().equals(after.generation())) {
            peer.sinceMs = now;
            peer.indirectOnly = 0;
            peer.refusals = 0;
        }
        boolean wasLive = before != null && before.state().isLive();
        boolean wasFailed = before != null && before.state() == State.FAILED;
        if (wasLive && !after.state().isLive()) {
            removeFrom(liveMembers, peer);
        } else if (wasFailed && after.state() != State.FAILED) {
            removeFrom(failed, peer);
        }
        if (!wasLive && after.state().isLive()) {
            addTo(liveMembers, peer);
            swap(peer.index, random.nextInt(liveMembers.size()));
        } else if (!wasFailed && after.state() == State.FAILED) {
            addTo(failed, peer);
        }
        if (!after.state().isCounted()) {
            tombstones.add(peer);
            if (fleetSize <= minFleetSize() + 1) { // it may be a duplicate that ended, and the member itself still counts
                shrinksFrom = now + SHRINK_DELAY_PERIODS * config.periodMs();
            }
        }
        maxKnown = Math.max(maxKnown, knownMembers());
        fleetSize = Math.max(fleetSize, minFleetSize());
        enqueueGossip(after);
        host.memberChanged(before, after);
    }

    private static void addTo(List<Peer> list, Peer peer) {
        peer.index = list.size();
        list.add(peer);
    }

    private static void removeFrom(List<Peer> list, Peer peer) {
        Peer last = list.remove(list.size() - 1);
        if (last != peer) {
            list.set(peer.index, last);
            last.index = peer.index;
        }
        peer.index = -1;
    }

    private void swap(int one, int other) {
        Collections.swap(liveMembers, one, other);
        liveMembers.get(one).index = one;
        liveMembers.get(other).index = other;
    }

    // Gossip and anti-entropy.

    private void enqueueGossip(MemberEntry entry) {
        gossipQueue.put(entry.name(), entry);
        if (!gossipScheduled) {
            gossipScheduled = true;
            schedule(GOSSIP_INTERVAL_FRACTION * config.periodMs(), "tell", this::gossipRound);
        }
    }

    private void gossipRound() {
        gossipScheduled = !gossipQueue.isEmpty();
        if (gossipScheduled) {
            for (Peer peer : randomLive(GOSSIP_FANOUT, null)) {
                host.gossip(peer.entry.address(), self, updatesFor(peer.entry));
            }
            schedule(GOSSIP_INTERVAL_FRACTION * config.periodMs(), "tell", this::gossipRound);
        }
    }

    /** The next updates for a datagram. The recipient's own entry comes first if the recipient may have to react to it. */
    private List<MemberEntry> updatesFor(MemberEntry recipient) {
        List<MemberEntry> updates = new ArrayList<>();
        int remaining = MAX_UPDATE_BYTES;
        Peer known = recipient == null ? null : peers.get(recipient.name());
        if (known != null && (known.entry.state() != State.ALIVE && config.localHealth() || known.entry.compareTo(recipient) > 0
                || known.entry.state() == State.FAILED)) {
            updates.add(known.entry);
            remaining -= known.entry.maxEncodedBytes();
        }
        updates.addAll(gossipQueue.takeBatch(remaining, liveMembers.size()));
        return updates;
    }

    private void sendDigests(InetSocketAddress with, boolean isReply) {
        host.digests(with, self, isReply, digests.clone());
    }

    /**
     * Sends the entries of all buckets that differ, starting from a random bucket, so that views that differ too much for one exchange
     * converge after several.
     */
    private void sendBuckets(InetSocketAddress to, int[] theirs) {
        List<List<MemberEntry>> buckets = new ArrayList<>(Collections.nCopies(DIGEST_BUCKETS, null));
        peers.values().forEach(peer -> {
            int bucket = bucket(peer.entry.name());
            if (theirs[bucket] != digests[bucket]) {
                if (buckets.get(bucket) == null) {
                    buckets.set(bucket, new ArrayList<>());
                }
                buckets.get(bucket).add(peer.entry);
            }
        });
        List<MemberEntry> updates = new ArrayList<>();
        int remaining = MAX_UPDATE_BYTES;
        int sent = 0;
        int first = random.nextInt(DIGEST_BUCKETS);
        for (int i = 0; i < DIGEST_BUCKETS; i++) {
            List<MemberEntry> bucket = buckets.get((first + i) % DIGEST_BUCKETS);
            for (MemberEntry entry : bucket == null ? List.<MemberEntry>of() : bucket) {
                if (entry.maxEncodedBytes() > remaining) {
                    host.gossip(to, self, updates);
                    if (++sent >= MAX_SYNC_DATAGRAMS) {
                        return;
                    }
                    updates = new ArrayList<>();
                    remaining = MAX_UPDATE_BYTES;
                }
                updates.add(entry);
                remaining -= entry.maxEncodedBytes();
            }
        }
        host.gossip(to, self, updates);
    }

    private static int bucket(MemberName name) {
        int hash = name.hashCode();
        return (hash ^ (hash >>> 15)) & (DIGEST_BUCKETS - 1);
    }

    // This process's own entry.

    private void setSelf(MemberEntry newSelf) {
        digests[bucket(self.name())] ^= self.digest() ^ newSelf.digest();
        self = newSelf;
        enqueueGossip(self);
    }

    private void mergeSelf(MemberEntry received) {
        if (received.generation().equals(self.generation())) {
            if (received.compareTo(self) > 0) {
                raiseHealthScore();
                if (received.incarnation() == MemberEntry.MAX_INCARNATION) {
                    supersede(received);
                } else {
                    setSelf(new MemberEntry(self.name(), self.address(), self.generation(), received.incarnation() + 1, State.ALIVE, 0));
                }
            }
        } else if (received.generation().nonce() == self.generation().nonce()) {
            if (received.generation().compareTo(self.generation()) < 0) {
                enqueueGossip(self); // an earlier generation of this same process
            } else {
                supersede(received);
            }
        } else if (received.generation().compareTo(self.generation()) < 0) {
            if (received.state().isCounted()) {
                enqueueGossip(self); // stale news of the process that ran before this one
            }
        } else if (!received.state().isCounted() || !received.state().isLive() && duplicate() == null) {
            supersede(received); // that process has ended
        } else if (outrankedNonces.size() < MAX_OUTRANKED_GENERATIONS && outrankedNonces.add(received.generation().nonce())) {
            supersede(received); // the process that ran before this one had a clock that was ahead
            if (received.state().isLive()) {
                pingDuplicate(received.address());
            }
        } else if (received.state().isLive()) {
            pingDuplicate(received.address()); // it has outranked this process again, so it is running
        }
    }

    /** Starts a generation greater than that of {@code above}. */
    private void supersede(MemberEntry above) {
        if (above.generation().start() < Generation.MAX_START) {
            setSelf(new MemberEntry(self.name(), self.address(), new Generation(above.generation().start() + 1, self.generation().nonce()), 0, State.ALIVE, 0));
        }
    }

    private boolean isDuplicate(MemberEntry other) {
        return other.name().equals(self.name()) && other.generation().nonce() != self.generation().nonce();
    }

    private void pingDuplicate(InetSocketAddress at) {
        if (now >= duplicatePingedAt + DUPLICATE_PING_PERIODS * config.periodMs() && !at.equals(self.address())) {
            duplicatePingedAt = now;
            duplicatePingSequence = ++lastSequence;
            host.ping(at, self, duplicatePingSequence, self.name(), List.of());
        }
    }

    private void confirmDuplicate(MemberEntry other) {
        if (duplicate() == null) {
            host.log("fleet: another process uses this process's name " + self.name() + ", at " + other.address());
        }
        duplicate = other;
        duplicateSeenAt = now;
    }

    // Status.

    /**
     * The size to which the fleet may shrink. Silence alone never lowers it: members that failed still count, and so do configured
     * members that were never heard of.
     */
    private int minFleetSize() {
        return knownMembers() + Math.max(0, config.initialFleetSize() - maxKnown);
    }

    private int knownMembers() {
        return liveMembers.size() + failed.size() + 1;
    }

    private void updateStatus() {
        List<MemberName> missing = new ArrayList<>();
        failed.stream().limit(MAX_MISSING).forEach(peer -> missing.add(peer.entry.name()));
        liveMembers.stream().filter(peer -> peer.indirectOnly >= MIN_INDIRECT_ONLY).limit(MAX_MISSING - missing.size())
                .forEach(peer -> missing.add(peer.entry.name()));
        MembershipStatus.Kind kind;
        if (now < slowUntil) {
            kind = MembershipStatus.Kind.SLOW;
        } else if (!heardAny) {
            kind = MembershipStatus.Kind.STARTING;
        } else if (now > lastHeardAt + ALONE_PERIODS * config.periodMs() && liveMembers.size() + failed.size() > 0) {
            kind = MembershipStatus.Kind.ALONE;
        } else if (healthScore >= SLOW_HEALTH_SCORE) {
            kind = MembershipStatus.Kind.SLOW;
        } else {
            kind = missing.isEmpty() ? MembershipStatus.Kind.WITH_ALL : MembershipStatus.Kind.CUT_OFF;
        }
        if (kind != status.kind() || !missing.equals(status.missing())) {
            boolean sameKind = kind == status.kind();
            status = new MembershipStatus(kind, sameKind ? status.sinceMs() : now + stalledMs, List.copyOf(missing));
            host.statusChanged(status);
            if (!sameKind) {
                host.log(String.format(Locale.ROOT, "fleet: stands %s, %d alive, counted %d, missing %s", kind, liveMembers.size() + 1,
                        fleetSize(), missing));
            }
        }
    }

    // Accessors.

    public MemberEntry self() {
        return self;
    }

    public MembershipStatus status() {
        return status;
    }

    /** Number of members to divide limits by, at least 1. */
    public int fleetSize() {
        return (int) Math.ceil(fleetSize);
    }

    /** Lifeguard's local health score, from 0 (healthy) to 8. */
    public int healthScore() {
        return healthScore;
    }

    /** Another process that recently answered under this process's name, or null. */
    public MemberEntry duplicate() {
        return now < duplicateSeenAt + DUPLICATE_EXPIRY_PERIODS * config.periodMs() ? duplicate : null;
    }

    /** Number of received entries of new members that were dropped because the view was full. */
    public long droppedForCapacity() {
        return droppedForCapacity;
    }

    /** The entry of that member, or null. */
    public MemberEntry lookup(MemberName name) {
        Peer peer = peers.get(name);
        return name.equals(self.name()) ? self : peer == null ? null : peer.entry;
    }

    /** Number of live members, including this process. */
    public int liveCount() {
        return liveMembers.size() + 1;
    }

    /** All entries of the view, this process's own first. */
    public List<MemberEntry> view() {
        List<MemberEntry> view = new ArrayList<>(peers.size() + 1);
        view.add(self);
        peers.values().forEach(peer -> view.add(peer.entry));
        return view;
    }

    /** The live members of the view, including this process unless it has left. */
    public List<MemberEntry> liveMembers() {
        return view().stream().filter(entry -> entry.state().isLive()).toList();
    }

    /**
     * Everything that determines the further behaviour apart from chance, with times relative to now. Model checkers use it to
     * recognize states that they have already explored.
     */
    public String fingerprint() {
        StringBuilder text = new StringBuilder(256);
        text.append(self).append(healthScore).append(' ').append(caughtUp ? -1 : matchingSyncs).append(heardAny).append(' ').append(periodsToSync).append(' ')
                .append(periodCount % (RETRY_PERIODS * SEED_PING_PERIODS)).append(' ').append(nextProbeIndex).append(' ').append(Math.ceil(fleetSize)).append(' ').append(maxKnown).append(' ').append(Math.round(Math.max(0, shrinksFrom - now)));
        for (Peer peer : liveMembers) {
            text.append('\n').append(peer.entry).append(peer.indirectOnly);
            if (peer.suspicion != null) {
                text.append(peer.suspicion.accusers).append(peer.suspicion.reportedFailed).append(Math.round(now - peer.suspicion.startedAt));
            }
        }
        failed.forEach(peer -> text.append('\n').append(peer.entry).append(peer.refusals));
        peers.values().stream().filter(peer -> !peer.entry.state().isCounted()).forEach(peer -> text.append('\n').append(peer.entry));
        gossipQueue.forEach((entry, timesSent) -> text.append('\n').append(timesSent).append(entry));
        timers.stream().sorted().forEach(timer -> text.append('\n').append(timer.label).append(Math.round(timer.at - now)));
        if (probe != null) {
            text.append('\n').append(probe.peer.entry.name()).append(probe.answered).append(probe.answeredDirectly).append(probe.probers.size()).append(probe.nackedBy.size());
        }
        relayedProbes.values().forEach(relayed -> text.append('\n').append(relayed.target));
        return text.toString();
    }
}
