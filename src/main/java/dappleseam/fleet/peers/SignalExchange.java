package dappleseam.fleet.peers;

import dappleseam.fleet.lease.Ranking;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MemberEntry.State;
import dappleseam.fleet.membership.MembershipStatus;
import dappleseam.fleet.share.AnnouncementStore;
import dappleseam.fleet.share.Announcement;
import dappleseam.fleet.share.FleetFeatures;
import dappleseam.fleet.share.ListRetrySchedule;
import dappleseam.fleet.share.TrafficPosition;
import dappleseam.fleet.share.PeerVerdict;
import dappleseam.fleet.share.ShareCalculator;
import dappleseam.fleet.share.NodeObservation;
import dappleseam.fleet.share.FailureVoting;
import dappleseam.fleet.share.VerdictKind;
import dappleseam.router.NodeId;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Exchanges announcements with the other members, and derives verdicts on caches, this proxy's share and its position from them. Runs on the fleet thread,
 * or in simulated time.
 */
public final class SignalExchange {
    /** Fraction of a period between gossip rounds, their minimum interval in ms, and the members gossiped to in a round. */
    private static final double ROUND_SHARE = 0.25;
    private static final double MIN_ROUND_MS = 100;
    private static final int FANOUT = 2;
    /** Rounds after which unchanged verdicts are published again: the receiver may have started since. */
    private static final int REPEAT_ROUNDS = 4;

    private final Membership membership;
    private final RouterAdapter routerAdapter;
    private final BiConsumer<InetSocketAddress, List<Announcement>> out;
    private final RandomGenerator random;
    private final double roundMs;
    private final AnnouncementStore announcementStore;
    private final FailureVoting failureVoting;
    private final ShareCalculator shareCalculator;
    private FleetFeatures features;
    private double nextRoundAt;
    private int unchangedRounds;
    private List<NodeObservation> ownObservations = List.of();
    private List<PeerVerdict> latestVerdicts = List.of();
    private double share = Double.NaN;
    private double position = Double.NaN;
    private boolean reannounced;

    /** {@code maxMembers}: maximum number of announcements kept; {@code location}: as in {@link FleetAgent}; {@code out}: sends announcements to a member. */
    public SignalExchange(Membership membership, double periodMs, int maxMembers, int location, FleetFeatures features, RouterAdapter routerAdapter, BiConsumer<InetSocketAddress, List<Announcement>> out,
               RandomGenerator random, double nowMs) {
        this.membership = membership;
        this.features = features;
        this.routerAdapter = routerAdapter;
        this.out = out;
        this.random = random;
        roundMs = Math.max(MIN_ROUND_MS, ROUND_SHARE * periodMs);
        shareCalculator = new ShareCalculator(membership.self().name(), Math.max(periodMs, MIN_ROUND_MS / ROUND_SHARE));
        announcementStore = new AnnouncementStore(membership.self().name(), maxMembers, shareCalculator.ownPropagationMs(), location);
        failureVoting = new FailureVoting(membership.self().name());
        nextRoundAt = nowMs + random.nextDouble() * roundMs;
    }

    /** Takes effect from now on; what is turned off is wound down in steps by its receiver. */
    void setFeatures(FleetFeatures newFeatures) {
        features = newFeatures;
        share = Double.NaN;
        position = Double.NaN;
    }

    /** Time of the next {@link #woken}; infinite while all features are off. */
    public double wakeAt() {
        return features.any() ? nextRoundAt : Double.POSITIVE_INFINITY;
    }

    /** Handles announcements from another member. */
    public void receive(double nowMs, List<Announcement> announcements) {
        announcementStore.receive(nowMs, announcements);
    }

    /** Runs a round: evaluates the announcements, gossips some, and passes the results on. */
    public void woken(double nowMs) {
        nextRoundAt = nowMs + roundMs;
        Collection<Announcement> current = announcementStore.current(nowMs);
        failureVoting.receive(current, this::isFromLiveMember);
        shareCalculator.receive(nowMs, current.stream().filter(this::isFromCountedMember).toList());
        Set<MemberName> names = new HashSet<>();
        Set<MemberName> missing = new HashSet<>();
        for (MemberEntry entry : membership.view()) {
            if (entry.state().isCounted()) {
                names.add(entry.name());
                if (entry.state() != State.ALIVE) {
                    missing.add(entry.name());
                }
            }
        }
        shareCalculator.retain(names);
        double rate = routerAdapter.queriesPerS();
        if (!Double.isNaN(rate)) {
            ownObservations = features.signals() || features.turns() ? currentObservations(nowMs) : List.of();
            double announcedRate = shareCalculator.announceableRate(nowMs, rate, names, missing, membership.fleetSize());
            announcementStore.announce(nowMs, membership.self().generation(), announcedRate, shareCalculator.presumedPerS(nowMs), ownObservations, shareCalculator.isReannouncing(nowMs) && !reannounced);
            reannounced = shareCalculator.isReannouncing(nowMs);
        }
        gossip(nowMs);
        if (features.signals() || features.turns()) {
            publishVerdicts();
        }
        if (features.shares() || features.subsets()) {
            share = features.shares() ? shareCalculator.share(nowMs, names, membership.fleetSize(), membership.duplicate() != null) : Double.NaN;
            Map<MemberName, Double> traffic = features.subsets() ? shareCalculator.localTraffic(names) : null;
            position = traffic == null ? Double.NaN : TrafficPosition.of(membership.self().name(), traffic);
            routerAdapter.onShare(share, position);
        }
    }

    private List<NodeObservation> currentObservations(double nowMs) {
        MembershipStatus.Kind statusKind = membership.status().kind();
        boolean isConnected = statusKind == MembershipStatus.Kind.WITH_ALL || statusKind == MembershipStatus.Kind.CUT_OFF;
        return failureVoting.localObservations(nowMs, routerAdapter.observations().stream().filter(one -> isEnabled(one.node())).toList(), isConnected);
    }

    private boolean isEnabled(NodeId node) {
        return node.equals(ListRetrySchedule.LIST_SERVICE) ? features.turns() : features.signals();
    }

    private void publishVerdicts() {
        List<PeerVerdict> current = failureVoting.verdicts(this::retryRank).stream().filter(verdict -> isEnabled(verdict.node())).toList();
        if (!current.equals(latestVerdicts) || ++unchangedRounds % REPEAT_ROUNDS == 0 && !current.isEmpty()) {
            routerAdapter.onVerdicts(current);
        }
        latestVerdicts = current;
    }

    /** Rank of this member among the live ones, by rendezvous hashing: members with equal views agree on the order. */
    private int retryRank(String key) {
        return Ranking.rank(key, membership.self().name(), membership.liveMembers().stream().map(MemberEntry::name).toList());
    }

    /** Whether the announcement is of a live member, and of its current process. */
    private boolean isFromLiveMember(Announcement announcement) {
        return isFromCountedMember(announcement) && membership.lookup(announcement.member()).state().isLive();
    }

    /** Whether the announcement is of a member that may take a share, as far as anyone could prove, and of its latest process. */
    private boolean isFromCountedMember(Announcement announcement) {
        MemberEntry known = membership.lookup(announcement.member());
        return known != null && known.state().isCounted() && known.generation().equals(announcement.generation());
    }

    private void gossip(double nowMs) {
        List<MemberEntry> others = new ArrayList<>(membership.liveMembers());
        others.remove(membership.self());
        for (int i = 0; i < FANOUT && !others.isEmpty(); i++) {
            MemberEntry peer = others.remove(random.nextInt(others.size()));
            List<Announcement> batch = announcementStore.nextBatch(nowMs, others.size() + 1);
            if (batch.isEmpty()) {
                return;
            }
            out.accept(peer.address(), batch);
        }
    }

    /** Verdicts of the last round; null if they are turned off. */
    List<PeerVerdict> latestVerdicts() {
        return features.signals() || features.turns() ? latestVerdicts : null;
    }

    /** Caches that this process itself announces as failing. */
    Set<NodeId> failingCaches() {
        return ownObservations.stream().filter(NodeObservation::failing).map(NodeObservation::node).collect(Collectors.toUnmodifiableSet());
    }

    /** Caches that the other members agree are failing. */
    Set<NodeId> convictedCaches() {
        return latestVerdicts.stream().filter(verdict -> verdict.kind() == VerdictKind.FAILS).map(PeerVerdict::node).collect(Collectors.toUnmodifiableSet());
    }

    /** Position among the members, by the last round; NaN if unknown or turned off: a random position applies then. */
    double position() {
        return position;
    }

    /** This process's share of the fleet's limits, by the last round; NaN if turned off: the configured share applies then. */
    public double share() {
        return share;
    }
}
