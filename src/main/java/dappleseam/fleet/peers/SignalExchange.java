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

/** This process's bulletin, all others', and what comes of them: words on caches, and its share. On the fleet's thread, or in simulated time. */
public final class SignalExchange {
    /** Share of a period between looks, each of which tells so many members. */
    private static final double LOOK_SHARE = 0.25;
    private static final double LOOK_LEAST_MS = 100;
    private static final int TOLD_AT_ONCE = 2;
    /** Looks after which words are said again though they are the same: whoever takes them may have begun since. */
    private static final int AGAIN = 4;

    private final Membership membership;
    private final RouterAdapter sightings;
    private final BiConsumer<InetSocketAddress, List<Announcement>> out;
    private final RandomGenerator random;
    private final double lookMs;
    private final AnnouncementStore board;
    private final FailureVoting signals;
    private final ShareCalculator shares;
    private FleetFeatures choices;
    private double lookAt;
    private int looks;
    private List<NodeObservation> own = List.of();
    private List<PeerVerdict> said = List.of();
    private double share = Double.NaN;
    private double place = Double.NaN;
    private boolean toldAnew;

    public SignalExchange(Membership membership, double periodMs, int most, int location, FleetFeatures choices, RouterAdapter sightings, BiConsumer<InetSocketAddress, List<Announcement>> out,
               RandomGenerator random, double nowMs) {
        this.membership = membership;
        this.choices = choices;
        this.sightings = sightings;
        this.out = out;
        this.random = random;
        lookMs = Math.max(LOOK_LEAST_MS, LOOK_SHARE * periodMs);
        shares = new ShareCalculator(membership.self().name(), Math.max(periodMs, LOOK_LEAST_MS / LOOK_SHARE));
        board = new AnnouncementStore(membership.self().name(), most, shares.ownPropagationMs(), location);
        signals = new FailureVoting(membership.self().name());
        lookAt = nowMs + random.nextDouble() * lookMs;
    }

    /** From now on; what is off is let go by steps. */
    void choose(FleetFeatures other) {
        choices = other;
        share = Double.NaN;
        place = Double.NaN;
    }

    /** When something is due. */
    public double wakeAt() {
        return choices.any() ? lookAt : Double.POSITIVE_INFINITY;
    }

    public void receive(double nowMs, List<Announcement> bulletins) {
        board.receive(nowMs, bulletins);
    }

    public void woken(double nowMs) {
        lookAt = nowMs + lookMs;
        Collection<Announcement> now = board.current(nowMs);
        signals.receive(now, this::runs);
        shares.receive(nowMs, now.stream().filter(this::counts).toList());
        Set<MemberName> names = new HashSet<>();
        Set<MemberName> missing = new HashSet<>();
        for (MemberEntry notice : membership.view()) {
            if (notice.state().isCounted()) {
                names.add(notice.name());
                if (notice.state() != State.ALIVE) {
                    missing.add(notice.name());
                }
            }
        }
        shares.retain(names);
        double rate = sightings.queriesPerS();
        if (!Double.isNaN(rate)) {
            own = choices.signals() || choices.turns() ? sights(nowMs) : List.of();
            double tellable = shares.announceableRate(nowMs, rate, names, missing, membership.fleetSize());
            board.announce(nowMs, membership.self().generation(), tellable, shares.presumedPerS(nowMs), own, shares.isReannouncing(nowMs) && !toldAnew);
            toldAnew = shares.isReannouncing(nowMs);
        }
        tell(nowMs);
        if (choices.signals() || choices.turns()) {
            sayWords();
        }
        if (choices.shares() || choices.subsets()) {
            share = choices.shares() ? shares.share(nowMs, names, membership.fleetSize(), membership.duplicate() != null) : Double.NaN;
            Map<MemberName, Double> traffic = choices.subsets() ? shares.localTraffic(names) : null;
            place = traffic == null ? Double.NaN : TrafficPosition.of(membership.self().name(), traffic);
            sightings.onShare(share, place);
        }
    }

    private List<NodeObservation> sights(double nowMs) {
        MembershipStatus.Kind kind = membership.status().kind();
        boolean isWell = kind == MembershipStatus.Kind.WITH_ALL || kind == MembershipStatus.Kind.CUT_OFF;
        return signals.localObservations(nowMs, sightings.observations().stream().filter(one -> isChosen(one.node())).toList(), isWell);
    }

    private boolean isChosen(NodeId node) {
        return node.equals(ListRetrySchedule.LIST_SERVICE) ? choices.turns() : choices.signals();
    }

    private void sayWords() {
        List<PeerVerdict> now = signals.verdicts(this::turn).stream().filter(word -> isChosen(word.node())).toList();
        if (!now.equals(said) || ++looks % AGAIN == 0 && !now.isEmpty()) {
            sightings.onVerdicts(now);
        }
        said = now;
    }

    /** Of those that are present, by rendezvous: views that agree give one order. */
    private int turn(String what) {
        return Ranking.rank(what, membership.self().name(), membership.liveMembers().stream().map(MemberEntry::name).toList());
    }

    /** Whoever is thought to run, and by that process of its own. */
    private boolean runs(Announcement bulletin) {
        return counts(bulletin) && membership.lookup(bulletin.member()).state().isLive();
    }

    /** Whoever takes of the whole as far as anybody could prove, by its last process. */
    private boolean counts(Announcement bulletin) {
        MemberEntry known = membership.lookup(bulletin.member());
        return known != null && known.state().isCounted() && known.generation().equals(bulletin.generation());
    }

    private void tell(double nowMs) {
        List<MemberEntry> others = new ArrayList<>(membership.liveMembers());
        others.remove(membership.self());
        for (int i = 0; i < TOLD_AT_ONCE && !others.isEmpty(); i++) {
            MemberEntry to = others.remove(random.nextInt(others.size()));
            List<Announcement> news = board.nextBatch(nowMs, others.size() + 1);
            if (news.isEmpty()) {
                return;
            }
            out.accept(to.address(), news);
        }
    }

    /** What others' words came to at the last look; null where they are not heard. */
    List<PeerVerdict> said() {
        return choices.signals() || choices.turns() ? said : null;
    }

    /** Of what this process says by its own sight. */
    Set<NodeId> sightsOfFailing() {
        return own.stream().filter(NodeObservation::failing).map(NodeObservation::node).collect(Collectors.toUnmodifiableSet());
    }

    /** Of what others' words came to. */
    Set<NodeId> convicted() {
        return said.stream().filter(word -> word.kind() == VerdictKind.FAILS).map(PeerVerdict::node).collect(Collectors.toUnmodifiableSet());
    }

    /** Where it stands among all by the last look; NaN where that is by chance. */
    double place() {
        return place;
    }

    /** Of the whole, this process's by the last look; NaN where it goes by its settings. */
    public double share() {
        return share;
    }
}
