package dappleseam.fleet.peers;

import dappleseam.fleet.lease.VoterMessages;
import dappleseam.fleet.lease.VoterMessages.Refusal;
import dappleseam.fleet.lease.Ballots;
import dappleseam.fleet.lease.Candidate;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.Voter;
import dappleseam.fleet.membership.MemberName;

/** What passes between candidates and voters in one datagram, as {@link Ballots} and {@link VoterMessages} name it. Fields that its kind has no use for hold nothing. */
public record LeaseMessage(Op op, int set, LeaseName lease, Token ballot, Token other, MemberName holder, double leftMs, long number, long known, Refusal reason) {
    /** Their order is what goes out; new ones come at the end. */
    public enum Op { PREPARE, ASK, PROPOSE, RELEASE, RECALL, PROMISED, TOLD, ACCEPTED, REFUSED, RECALLED }

    /** Of a recall, which is of no lease. */
    private static final LeaseName NO_LEASE = new LeaseName("-");

    static LeaseMessage to(Op op, int set, LeaseName lease, Token ballot, long count) {
        return new LeaseMessage(op, set, lease, ballot, Token.NONE, null, 0, count, 0, Refusal.LOWER);
    }

    static LeaseMessage of(Op op, LeaseName lease, Token ballot, Token other, MemberName holder, double leftMs) {
        return new LeaseMessage(op, 0, lease, ballot, other, holder, leftMs, 0, 0, Refusal.LOWER);
    }

    static LeaseMessage recall(Op op, int set, long start, long nonce, long known) {
        return new LeaseMessage(op, set, NO_LEASE, new Token(0, nonce), Token.NONE, null, 0, start, known, Refusal.LOWER);
    }

    static LeaseMessage refused(LeaseName lease, Token ballot, Refusal why, Token highest) {
        return new LeaseMessage(Op.REFUSED, 0, lease, ballot, highest, null, 0, 0, 0, why);
    }

    boolean isForVoter() {
        return op.compareTo(Op.RECALL) <= 0 || op == Op.RECALLED;
    }

    /** Whether whoever sent it asks a voter, and goes on sooner if told that there is none. */
    boolean wantsAnswer() {
        return op == Op.PREPARE || op == Op.ASK || op == Op.PROPOSE;
    }

    void tell(double nowMs, MemberName from, Voter voter) {
        switch (op) {
            case PREPARE -> voter.prepare(nowMs, from, set, lease, ballot);
            case ASK -> voter.ask(nowMs, from, set, lease);
            case PROPOSE -> voter.propose(nowMs, from, set, lease, ballot, number);
            case RELEASE -> voter.release(nowMs, from, set, lease, ballot);
            case RECALL -> voter.registerStart(from, set, number, ballot.nonce());
            case RECALLED -> voter.startRegistered(from, number, ballot.nonce(), known);
            default -> throw new IllegalStateException(op + " is for a candidate");
        }
    }

    void tell(double nowMs, MemberName from, Candidate candidate) {
        switch (op) {
            case PROMISED -> candidate.promised(nowMs, from, lease, ballot, other, leftMs);
            case TOLD -> candidate.status(nowMs, from, lease, ballot, other, leftMs);
            case ACCEPTED -> candidate.accepted(nowMs, from, lease, ballot, number);
            case REFUSED -> candidate.refused(nowMs, from, lease, ballot, reason, other);
            default -> throw new IllegalStateException(op + " is for a voter");
        }
    }
}
