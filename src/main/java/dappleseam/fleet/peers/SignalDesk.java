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

/** This process's bulletin, all others', and what comes of them: words on caches, and its share. On the fleet's thread, or in simulated time. */
public final class SignalDesk {
    /** Share of a period between looks, each of which tells so many members. */
    private static final double LOOK_SHARE = 0.25;
    private static final double LOOK_LEAST_MS = 100;
    private static final int TOLD_AT_ONCE = 2;
    /** Looks after which words are said again though they are the same: whoever takes them may have begun since. */
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

    /** From now on; what is off is let go by steps. */
    void choose(Choices other) {
        choices = other;
        share = Double.NaN;
        place = Double.NaN;
    }

    /** When something is due. */
    public double wakeAt() {
        return choices.any() ? lookAt : Double.POSITIVE_INFINITY;
    }

    public void heard(double nowMs, List<Bulletin> bulletins) {
        board.heard(nowMs, bulletins);
    }

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

    /** Of those that are present, by rendezvous: views that agree give one order. */
    private int turn(String what) {
        return Ranking.rank(what, membership.self().name(), membership.present().stream().map(Notice::name).toList());
    }

    /** Whoever is thought to run, and by that process of its own. */
    private boolean runs(Bulletin bulletin) {
        return counts(bulletin) && membership.of(bulletin.who()).state().isPresent();
    }

    /** Whoever takes of the whole as far as anybody could prove, by its last process. */
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

    /** What others' words came to at the last look; null where they are not heard. */
    List<Said> said() {
        return choices.signals() || choices.turns() ? said : null;
    }

    /** Of what this process says by its own sight. */
    Set<NodeId> sightsOfFailing() {
        return own.stream().filter(Sight::fails).map(Sight::node).collect(Collectors.toUnmodifiableSet());
    }

    /** Of what others' words came to. */
    Set<NodeId> convicted() {
        return said.stream().filter(word -> word.word() == Word.FAILS).map(Said::node).collect(Collectors.toUnmodifiableSet());
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
