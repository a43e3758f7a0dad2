package dappleseam.lab.fleet;

import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.peers.LeaseMessage;
import dappleseam.fleet.peers.FleetMessage;
import dappleseam.fleet.share.Announcement;
import dappleseam.fleet.share.NodeObservation;
import dappleseam.fleet.share.AnnouncedTraffic;
import dappleseam.list.ListReader;
import dappleseam.router.NodeId;
import java.util.List;
import java.util.stream.IntStream;

/** Defences that can be taken out between the members, to show that the checks see what they are for. The module itself is never another. */
public enum PlantedFault {
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
    private static LeaseMessage answer(LeaseMessage asked) {
        LeaseMessage.Op op = asked == null ? null : switch (asked.op()) {
            case PREPARE -> LeaseMessage.Op.PROMISED;
            case ASK -> LeaseMessage.Op.TOLD;
            case PROPOSE -> LeaseMessage.Op.ACCEPTED;
            default -> null;
        };
        return op == null ? null : new LeaseMessage(op, 0, asked.lease(), op == LeaseMessage.Op.TOLD ? Token.NONE : asked.ballot(), Token.NONE, null, 0, asked.number(), 0, asked.reason());
    }

    /** A letter that nobody wrote, and who seems to have. */
    public record ForgedMessage(MemberName from, MemberName to, LeaseMessage leaseMessage) {}

    private static final int LIED_ABOUT = 3;

    /** The same bulletins with a liar's own replaced. */
    private static FleetMessage lying(FleetMessage letter, int liars) {
        if (letter.announcements() == null) {
            return letter;
        }
        List<NodeObservation> lies = IntStream.range(0, LIED_ABOUT).mapToObj(i -> new NodeObservation(new NodeId(ListReader.hash("cache-" + i)), 0, true, 0)).toList();
        return FleetMessage.of(letter.sender(), letter.announcements().stream().map(b -> IntStream.range(0, liars).anyMatch(i -> b.member().text().equals("lab-" + i))
                ? new Announcement(b.member(), b.generation(), b.number(), b.location(), b.traffic(), lies) : b).toList());
    }

    /** What is made up because of that letter. */
    public List<ForgedMessage> forgedMessages(FleetMessage letter, MemberName to) {
        LeaseMessage ballot = letter.leaseMessage();
        MemberName from = letter.sender().name();
        if (ballot != null && this == FORGETFUL_VOTER && to.equals(VOTERS.get(0)) && answer(ballot) != null) {
            return List.of(new ForgedMessage(to, from, answer(ballot)));
        }
        boolean says = ballot != null && (ballot.op() == LeaseMessage.Op.PROMISED || ballot.op() == LeaseMessage.Op.TOLD || ballot.op() == LeaseMessage.Op.ACCEPTED);
        return this == MINORITY && says ? VOTERS.stream().filter(v -> !v.equals(from) && !v.equals(to)).map(v -> new ForgedMessage(v, to, ballot)).toList() : List.of();
    }

    /** The letter as it arrives; null where it does not. {@code isCall}: a try of a failed member. */
    public FleetMessage intercept(FleetMessage letter, MemberName to, boolean isCall) {
        return switch (this) {
            case NONE, MINORITY, NO_FENCE -> letter;
            case LIAR -> lying(letter, 1);
            case LIARS -> lying(letter, 4);
            case NO_RATES -> letter.announcements() == null ? letter
                    : FleetMessage.of(letter.sender(), letter.announcements().stream().map(b -> new Announcement(b.member(), b.generation(), b.number(), b.location(), AnnouncedTraffic.of(0), b.observations())).toList());
            case FORGETFUL_VOTER -> to.equals(VOTERS.get(0)) && answer(letter.leaseMessage()) != null ? null : letter;
            case NO_REFUTATION -> letter.withUpdates(letter.updates().stream().filter(n -> !n.name().equals(to)).toList());
            case NO_INDIRECT_PROBE -> letter.kind() == FleetMessage.Kind.ASK ? null : letter;
            case NO_MERGE -> isCall || letter.kind() == FleetMessage.Kind.SUMS ? null : letter;
        };
    }
}
