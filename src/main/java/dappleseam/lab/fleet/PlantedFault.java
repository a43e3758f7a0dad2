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
public enum PlantedFault {
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
    private static LeaseMessage forgetfulReply(LeaseMessage request) {
        LeaseMessage.Op op = request == null ? null : switch (request.op()) {
            case PREPARE -> LeaseMessage.Op.PROMISED;
            case ASK -> LeaseMessage.Op.TOLD;
            case PROPOSE -> LeaseMessage.Op.ACCEPTED;
            default -> null;
        };
        return op == null ? null : new LeaseMessage(op, 0, request.lease(), op == LeaseMessage.Op.TOLD ? Token.NONE : request.ballot(), Token.NONE, null, 0, request.number(), 0, request.reason());
    }

    /** A forged lease message and its apparent sender. */
    public record ForgedMessage(MemberName from, MemberName to, LeaseMessage leaseMessage) {}

    private static final int ACCUSED_CACHES = 3;

    /** The same announcements, with those of the lying members replaced. */
    private static FleetMessage withLies(FleetMessage message, int liars) {
        if (message.announcements() == null) {
            return message;
        }
        List<NodeObservation> lies = IntStream.range(0, ACCUSED_CACHES).mapToObj(i -> new NodeObservation(new NodeId(ListReader.hash("cache-" + i)), 0, true, 0)).toList();
        return FleetMessage.of(message.sender(), message.announcements().stream().map(announcement -> IntStream.range(0, liars).anyMatch(i -> announcement.member().text().equals("lab-" + i))
                ? new Announcement(announcement.member(), announcement.generation(), announcement.number(), announcement.location(), announcement.traffic(), lies) : announcement).toList());
    }

    /** The messages that are forged in response to a message. */
    public List<ForgedMessage> forgedMessages(FleetMessage message, MemberName to) {
        LeaseMessage leaseMessage = message.leaseMessage();
        MemberName from = message.sender().name();
        if (leaseMessage != null && this == FORGETFUL_VOTER && to.equals(VOTERS.get(0)) && forgetfulReply(leaseMessage) != null) {
            return List.of(new ForgedMessage(to, from, forgetfulReply(leaseMessage)));
        }
        boolean isVoterReply = leaseMessage != null && (leaseMessage.op() == LeaseMessage.Op.PROMISED || leaseMessage.op() == LeaseMessage.Op.TOLD || leaseMessage.op() == LeaseMessage.Op.ACCEPTED);
        return this == MINORITY && isVoterReply ? VOTERS.stream().filter(v -> !v.equals(from) && !v.equals(to)).map(v -> new ForgedMessage(v, to, leaseMessage)).toList() : List.of();
    }

    /** The message as it arrives; null if it is dropped. {@code isConnected}: sent over a connected socket, which is how failed members are probed. */
    public FleetMessage intercept(FleetMessage message, MemberName to, boolean isConnected) {
        return switch (this) {
            case NONE, MINORITY, NO_FENCE -> message;
            case LIAR -> withLies(message, 1);
            case LIARS -> withLies(message, 4);
            case NO_RATES -> message.announcements() == null ? message
                    : FleetMessage.of(message.sender(), message.announcements().stream().map(announcement -> new Announcement(announcement.member(), announcement.generation(), announcement.number(), announcement.location(), AnnouncedTraffic.of(0), announcement.observations())).toList());
            case FORGETFUL_VOTER -> to.equals(VOTERS.get(0)) && forgetfulReply(message.leaseMessage()) != null ? null : message;
            case NO_REFUTATION -> message.withUpdates(message.updates().stream().filter(entry -> !entry.name().equals(to)).toList());
            case NO_INDIRECT_PROBE -> message.kind() == FleetMessage.Kind.ASK ? null : message;
            case NO_MERGE -> isConnected || message.kind() == FleetMessage.Kind.SUMS ? null : message;
        };
    }
}
