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

/**
 * Faults that can be planted between the members: each one disables a safeguard, to show that the checks detect its absence. The faults
 * act on the messages; the shipped modules themselves are never changed.
 */
public enum Planted {
    NONE,
    /** Updates about the receiver itself are removed from messages, so that no member can refute a suspicion. */
    NO_REFUTATION,
    /** Requests for indirect probes are dropped. */
    NO_INDIRECT_PROBE,
    /** Attempts to reach failed members and view digests are dropped, so that views do not merge after a partition. */
    NO_MERGE,
    /** The first voter forgets what it has promised and accepted: it agrees to every request. */
    FORGETFUL_VOTER,
    /** Each voter's reply counts as the replies of all three. */
    MINORITY,
    /** The store accepts any token. */
    NO_FENCE,
    /** The first member announces that the first three caches fail, regardless of their actual state. */
    LIAR,
    /** The first four members announce so. */
    LIARS,
    /** Every announcement arrives with a traffic of zero. */
    NO_RATES;

    private static final List<MemberName> VOTERS = List.of(new MemberName("lab-0"), new MemberName("lab-1"), new MemberName("lab-2"));

    /** The reply of a voter that forgets everything; null if the message is not a request to a voter. */
    private static LeaseMessage answer(LeaseMessage asked) {
        LeaseMessage.Op op = asked == null ? null : switch (asked.op()) {
            case PREPARE -> LeaseMessage.Op.PROMISED;
            case ASK -> LeaseMessage.Op.TOLD;
            case PROPOSE -> LeaseMessage.Op.ACCEPTED;
            default -> null;
        };
        return op == null ? null : new LeaseMessage(op, 0, asked.lease(), op == LeaseMessage.Op.TOLD ? Token.NONE : asked.ballot(), Token.NONE, null, 0, asked.number(), 0, asked.reason());
    }

    /** A forged lease message and its apparent sender. */
    public record Forged(MemberName from, MemberName to, LeaseMessage ballot) {}

    private static final int LIED_ABOUT = 3;

    /** The same announcements, with those of the lying members replaced. */
    private static FleetMessage lying(FleetMessage letter, int liars) {
        if (letter.announcements() == null) {
            return letter;
        }
        List<NodeObservation> lies = IntStream.range(0, LIED_ABOUT).mapToObj(i -> new NodeObservation(new NodeId(ListReader.hash("cache-" + i)), 0, true, 0)).toList();
        return FleetMessage.of(letter.sender(), letter.announcements().stream().map(b -> IntStream.range(0, liars).anyMatch(i -> b.member().text().equals("lab-" + i))
                ? new Announcement(b.member(), b.generation(), b.number(), b.location(), b.traffic(), lies) : b).toList());
    }

    /** The messages that are forged in response to a message. */
    public List<Forged> forged(FleetMessage letter, MemberName to) {
        LeaseMessage ballot = letter.leaseMessage();
        MemberName from = letter.sender().name();
        if (ballot != null && this == FORGETFUL_VOTER && to.equals(VOTERS.get(0)) && answer(ballot) != null) {
            return List.of(new Forged(to, from, answer(ballot)));
        }
        boolean says = ballot != null && (ballot.op() == LeaseMessage.Op.PROMISED || ballot.op() == LeaseMessage.Op.TOLD || ballot.op() == LeaseMessage.Op.ACCEPTED);
        return this == MINORITY && says ? VOTERS.stream().filter(v -> !v.equals(from) && !v.equals(to)).map(v -> new Forged(v, to, ballot)).toList() : List.of();
    }

    /** The message as it arrives; null if it is dropped. {@code isConnected}: sent over a connected socket, which is how failed members are probed. */
    public FleetMessage passed(FleetMessage letter, MemberName to, boolean isCall) {
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
