package dappleseam.fleet.peers;

import dappleseam.fleet.lease.Ranking;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.membership.Standing;
import dappleseam.fleet.share.Board;
import dappleseam.fleet.share.Bulletin;
import dappleseam.fleet.share.Said;
import dappleseam.fleet.share.Signals;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/** This process's bulletin, all others', and what they say of caches. On the fleet's thread. */
final class SignalDesk {
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
    private double lookAt;
    private int looks;
    private List<Said> said = List.of();

    SignalDesk(Membership membership, double periodMs, int most, Sightings sightings, BiConsumer<InetSocketAddress, List<Bulletin>> out, RandomGenerator random,
               double nowMs) {
        this.membership = membership;
        this.sightings = sightings;
        this.out = out;
        this.random = random;
        lookMs = Math.max(LOOK_LEAST_MS, LOOK_SHARE * periodMs);
        board = new Board(membership.self().name(), most);
        signals = new Signals(membership.self().name());
        lookAt = nowMs + random.nextDouble() * lookMs;
    }

    /** When something is due. */
    double wakeAt() {
        return lookAt;
    }

    void heard(double nowMs, List<Bulletin> bulletins) {
        board.heard(nowMs, bulletins);
    }

    void woken(double nowMs) {
        lookAt = nowMs + lookMs;
        signals.hear(board.now(nowMs), this::counts);
        Standing.Kind kind = membership.standing().kind();
        boolean isWell = kind == Standing.Kind.WITH_ALL || kind == Standing.Kind.CUT_OFF;
        board.say(nowMs, membership.self().life(), sightings.ratePerS(), signals.own(nowMs, sightings.seen(), isWell));
        tell(nowMs);
        List<Said> now = signals.words(this::turn);
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
    private boolean counts(Bulletin bulletin) {
        Notice known = membership.of(bulletin.who());
        return known != null && known.state().isPresent() && known.life().equals(bulletin.life());
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

    /** What others' words come to now. */
    List<Said> said() {
        return said;
    }
}
