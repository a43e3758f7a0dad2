package dappleseam.fleet.peers;

import dappleseam.fleet.lease.Ranking;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.membership.Notice.State;
import dappleseam.fleet.membership.Standing;
import dappleseam.fleet.share.Board;
import dappleseam.fleet.share.Bulletin;
import dappleseam.fleet.share.Choices;
import dappleseam.fleet.share.ListTurns;
import dappleseam.fleet.share.Places;
import dappleseam.fleet.share.Said;
import dappleseam.fleet.share.Shares;
import dappleseam.fleet.share.Sight;
import dappleseam.fleet.share.Signals;
import dappleseam.fleet.share.Word;
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
public final class SignalDesk {
    /** Fraction of a period between gossip rounds, their minimum interval in ms, and the members gossiped to in a round. */
    private static final double LOOK_SHARE = 0.25;
    private static final double LOOK_LEAST_MS = 100;
    private static final int TOLD_AT_ONCE = 2;
    /** Rounds after which unchanged verdicts are published again: the receiver may have started since. */
    private static final int AGAIN = 4;

    private final Membership membership;
    private final Sightings sightings;
    private final BiConsumer<InetSocketAddress, List<Bulletin>> out;
    private final RandomGenerator random;
    private final double lookMs;
    private final Board board;
    private final Signals signals;
    private final Shares shares;
    private Choices choices;
    private double lookAt;
    private int looks;
    private List<Sight> own = List.of();
    private List<Said> said = List.of();
    private double share = Double.NaN;
    private double place = Double.NaN;
    private boolean toldAnew;

    /** {@code most}: announcements kept; {@code location}: as in {@link FleetAgent}; {@code out}: sends announcements to a member. */
    public SignalDesk(Membership membership, double periodMs, int most, int location, Choices choices, Sightings sightings, BiConsumer<InetSocketAddress, List<Bulletin>> out,
               RandomGenerator random, double nowMs) {
        this.membership = membership;
        this.choices = choices;
        this.sightings = sightings;
        this.out = out;
        this.random = random;
        lookMs = Math.max(LOOK_LEAST_MS, LOOK_SHARE * periodMs);
        shares = new Shares(membership.self().name(), Math.max(periodMs, LOOK_LEAST_MS / LOOK_SHARE));
        board = new Board(membership.self().name(), most, shares.ownMs(), location);
        signals = new Signals(membership.self().name());
        lookAt = nowMs + random.nextDouble() * lookMs;
    }

    /** Takes effect from now on; what is turned off is wound down in steps by its receiver. */
    void choose(Choices other) {
        choices = other;
        share = Double.NaN;
        place = Double.NaN;
    }

    /** Time of the next {@link #woken}; infinite while all features are off. */
    public double wakeAt() {
        return choices.any() ? lookAt : Double.POSITIVE_INFINITY;
    }

    /** Handles announcements from another member. */
    public void heard(double nowMs, List<Bulletin> bulletins) {
        board.heard(nowMs, bulletins);
    }

    /** Runs a round: evaluates the announcements, gossips some, and passes the results on. */
    public void woken(double nowMs) {
        lookAt = nowMs + lookMs;
        Collection<Bulletin> now = board.now(nowMs);
        signals.hear(now, this::runs);
        shares.hear(nowMs, now.stream().filter(this::counts).toList());
        Set<MemberName> names = new HashSet<>();
        Set<MemberName> missing = new HashSet<>();
        for (Notice notice : membership.view()) {
            if (notice.state().isCounted()) {
                names.add(notice.name());
                if (notice.state() != State.ALIVE) {
                    missing.add(notice.name());
                }
            }
        }
        shares.keep(names);
        double rate = sightings.ratePerS();
        if (!Double.isNaN(rate)) {
            own = choices.signals() || choices.turns() ? sights(nowMs) : List.of();
            double tellable = shares.tellable(nowMs, rate, names, missing, membership.counted());
            board.say(nowMs, membership.self().life(), tellable, shares.usualPerS(nowMs), own, shares.tellsAnew(nowMs) && !toldAnew);
            toldAnew = shares.tellsAnew(nowMs);
        }
        tell(nowMs);
        if (choices.signals() || choices.turns()) {
            sayWords();
        }
        if (choices.shares() || choices.subsets()) {
            share = choices.shares() ? shares.share(nowMs, names, membership.counted(), membership.twin() != null) : Double.NaN;
            Map<MemberName, Double> traffic = choices.subsets() ? shares.traffic(names) : null;
            place = traffic == null ? Double.NaN : Places.of(membership.self().name(), traffic);
            sightings.stands(share, place);
        }
    }

    private List<Sight> sights(double nowMs) {
        Standing.Kind kind = membership.standing().kind();
        boolean isWell = kind == Standing.Kind.WITH_ALL || kind == Standing.Kind.CUT_OFF;
        return signals.own(nowMs, sightings.seen().stream().filter(one -> isChosen(one.node())).toList(), isWell);
    }

    private boolean isChosen(NodeId node) {
        return node.equals(ListTurns.SERVICE) ? choices.turns() : choices.signals();
    }

    private void sayWords() {
        List<Said> now = signals.words(this::turn).stream().filter(word -> isChosen(word.node())).toList();
        if (!now.equals(said) || ++looks % AGAIN == 0 && !now.isEmpty()) {
            sightings.say(now);
        }
        said = now;
    }

    /** Rank of this member among the live ones, by rendezvous hashing: members with equal views agree on the order. */
    private int turn(String what) {
        return Ranking.rank(what, membership.self().name(), membership.present().stream().map(Notice::name).toList());
    }

    /** Whether the announcement is of a live member, and of its current process. */
    private boolean runs(Bulletin bulletin) {
        return counts(bulletin) && membership.of(bulletin.who()).state().isPresent();
    }

    /** Whether the announcement is of a member that may take a share, as far as anyone could prove, and of its latest process. */
    private boolean counts(Bulletin bulletin) {
        Notice known = membership.of(bulletin.who());
        return known != null && known.state().isCounted() && known.life().equals(bulletin.life());
    }

    private void tell(double nowMs) {
        List<Notice> others = new ArrayList<>(membership.present());
        others.remove(membership.self());
        for (int i = 0; i < TOLD_AT_ONCE && !others.isEmpty(); i++) {
            Notice to = others.remove(random.nextInt(others.size()));
            List<Bulletin> news = board.toTell(nowMs, others.size() + 1);
            if (news.isEmpty()) {
                return;
            }
            out.accept(to.address(), news);
        }
    }

    /** Verdicts of the last round; null if they are turned off. */
    List<Said> said() {
        return choices.signals() || choices.turns() ? said : null;
    }

    /** Caches that this process itself announces as failing. */
    Set<NodeId> sightsOfFailing() {
        return own.stream().filter(Sight::fails).map(Sight::node).collect(Collectors.toUnmodifiableSet());
    }

    /** Caches that the other members agree are failing. */
    Set<NodeId> convicted() {
        return said.stream().filter(word -> word.word() == Word.FAILS).map(Said::node).collect(Collectors.toUnmodifiableSet());
    }

    /** Position among the members, by the last round; NaN if unknown or turned off: a random position applies then. */
    double place() {
        return place;
    }

    /** This process's share of the fleet's limits, by the last round; NaN if turned off: the configured share applies then. */
    public double share() {
        return share;
    }
}
