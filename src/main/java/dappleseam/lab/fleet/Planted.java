package dappleseam.lab.fleet;

import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.peers.Ballot;
import dappleseam.fleet.peers.Letter;
import dappleseam.fleet.share.Announcement;
import dappleseam.fleet.share.NodeObservation;
import dappleseam.fleet.share.AnnouncedTraffic;
import dappleseam.list.ListReader;
import dappleseam.router.NodeId;
import java.util.List;
import java.util.stream.IntStream;

/** Defences that can be taken out between the members, to show that the checks see what they are for. The module itself is never another. */
public enum Planted {
    NONE,
    /** Nobody hears what is said of itself. */
    NO_REFUTATION,
    /** Nobody probes in another's stead. */
    NO_INDIRECT_PROBE,
    /** No failed member is tried again, and no views are compared. */
    NO_MERGE,
    /** The first voter forgets what it promised and accepted: it says yes to each. */
    FORGETFUL_VOTER,
    /** Each voter's answer counts for all three. */
    MINORITY,
    /** The store takes any token. */
    NO_FENCE,
    /** The first member says that the first three caches fail, whatever they do. */
    LIAR,
    /** The first four say so. */
    LIARS,
    /** Nobody hears of anybody's traffic but that there is none. */
    NO_RATES;

    private static final List<MemberName> VOTERS = List.of(new MemberName("lab-0"), new MemberName("lab-1"), new MemberName("lab-2"));

    /** What a voter says that forgets all; null where it is not asked. */
    private static Ballot answer(Ballot asked) {
        Ballot.Op op = asked == null ? null : switch (asked.op()) {
            case PREPARE -> Ballot.Op.PROMISED;
            case ASK -> Ballot.Op.TOLD;
            case PROPOSE -> Ballot.Op.ACCEPTED;
            default -> null;
        };
        return op == null ? null : new Ballot(op, 0, asked.lease(), op == Ballot.Op.TOLD ? Token.NONE : asked.ballot(), Token.NONE, null, 0, asked.count(), 0, asked.why());
    }

    /** A letter that nobody wrote, and who seems to have. */
    public record Forged(MemberName from, MemberName to, Ballot ballot) {}

    private static final int LIED_ABOUT = 3;

    /** The same bulletins with a liar's own replaced. */
    private static Letter lying(Letter letter, int liars) {
        if (letter.bulletins() == null) {
            return letter;
        }
        List<NodeObservation> lies = IntStream.range(0, LIED_ABOUT).mapToObj(i -> new NodeObservation(new NodeId(ListReader.hash("cache-" + i)), 0, true, 0)).toList();
        return Letter.of(letter.self(), letter.bulletins().stream().map(b -> IntStream.range(0, liars).anyMatch(i -> b.member().text().equals("lab-" + i))
                ? new Announcement(b.member(), b.generation(), b.number(), b.location(), b.traffic(), lies) : b).toList());
    }

    /** What is made up because of that letter. */
    public List<Forged> forged(Letter letter, MemberName to) {
        Ballot ballot = letter.ballot();
        MemberName from = letter.self().name();
        if (ballot != null && this == FORGETFUL_VOTER && to.equals(VOTERS.get(0)) && answer(ballot) != null) {
            return List.of(new Forged(to, from, answer(ballot)));
        }
        boolean says = ballot != null && (ballot.op() == Ballot.Op.PROMISED || ballot.op() == Ballot.Op.TOLD || ballot.op() == Ballot.Op.ACCEPTED);
        return this == MINORITY && says ? VOTERS.stream().filter(v -> !v.equals(from) && !v.equals(to)).map(v -> new Forged(v, to, ballot)).toList() : List.of();
    }

    /** The letter as it arrives; null where it does not. {@code isCall}: a try of a failed member. */
    public Letter passed(Letter letter, MemberName to, boolean isCall) {
        return switch (this) {
            case NONE, MINORITY, NO_FENCE -> letter;
            case LIAR -> lying(letter, 1);
            case LIARS -> lying(letter, 4);
            case NO_RATES -> letter.bulletins() == null ? letter
                    : Letter.of(letter.self(), letter.bulletins().stream().map(b -> new Announcement(b.member(), b.generation(), b.number(), b.location(), AnnouncedTraffic.of(0), b.observations())).toList());
            case FORGETFUL_VOTER -> to.equals(VOTERS.get(0)) && answer(letter.ballot()) != null ? null : letter;
            case NO_REFUTATION -> letter.with(letter.news().stream().filter(n -> !n.name().equals(to)).toList());
            case NO_INDIRECT_PROBE -> letter.kind() == Letter.Kind.ASK ? null : letter;
            case NO_MERGE -> isCall || letter.kind() == Letter.Kind.SUMS ? null : letter;
        };
    }
}
