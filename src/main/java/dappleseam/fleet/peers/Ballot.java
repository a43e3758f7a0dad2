package dappleseam.fleet.peers;

import dappleseam.fleet.lease.Answers;
import dappleseam.fleet.lease.Answers.Refusal;
import dappleseam.fleet.lease.Ballots;
import dappleseam.fleet.lease.Candidate;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.Voter;
import dappleseam.fleet.membership.MemberName;

/**
 * One message between candidates and voters, as one datagram carries it: a call of {@link CandidateMessages} or {@link VoterMessages}. Fields that an
 * operation does not use have neutral values.
 */
public record Ballot(Op op, int set, LeaseName lease, Token ballot, Token other, MemberName holder, double leftMs, long count, long known, Refusal why) {
    /**
     * The ordinal is the wire format: new operations go to the end. TOLD is {@link VoterMessages#status}, RECALL is {@link VoterMessages#registerStart}, and
     * RECALLED is {@link VoterMessages#startRegistered}.
     */
    public enum Op { PREPARE, ASK, PROPOSE, RELEASE, RECALL, PROMISED, TOLD, ACCEPTED, REFUSED, RECALLED }

    /** Placeholder in messages about a start, which belong to no lease. */
    private static final LeaseName NO_LEASE = new LeaseName("-");

    static Ballot to(Op op, int set, LeaseName lease, Token ballot, long count) {
        return new Ballot(op, set, lease, ballot, Token.NONE, null, 0, count, 0, Refusal.LOWER);
    }

    static Ballot of(Op op, LeaseName lease, Token ballot, Token other, MemberName holder, double leftMs) {
        return new Ballot(op, 0, lease, ballot, other, holder, leftMs, 0, 0, Refusal.LOWER);
    }

    static Ballot recall(Op op, int set, long start, long nonce, long known) {
        return new Ballot(op, set, NO_LEASE, new Token(0, nonce), Token.NONE, null, 0, start, known, Refusal.LOWER);
    }

    static Ballot refused(LeaseName lease, Token ballot, Refusal why, Token highest) {
        return new Ballot(Op.REFUSED, 0, lease, ballot, highest, null, 0, 0, 0, why);
    }

    /** Whether the recipient is a voter, otherwise a candidate. */
    boolean isForVoter() {
        return op.compareTo(Op.RECALL) <= 0 || op == Op.RECALLED;
    }

    /** Whether the sender waits for a voter's reply, and continues sooner if it learns that there is no voter here. */
    boolean wantsAnswer() {
        return op == Op.PREPARE || op == Op.ASK || op == Op.PROPOSE;
    }

    /** Calls the voter's method for this operation. */
    void tell(double nowMs, MemberName from, Voter voter) {
        switch (op) {
            case PREPARE -> voter.prepare(nowMs, from, set, lease, ballot);
            case ASK -> voter.ask(nowMs, from, set, lease);
            case PROPOSE -> voter.propose(nowMs, from, set, lease, ballot, count);
            case RELEASE -> voter.release(nowMs, from, set, lease, ballot);
            case RECALL -> voter.recall(from, set, count, ballot.nonce());
            case RECALLED -> voter.recalled(from, count, ballot.nonce(), known);
            default -> throw new IllegalStateException(op + " is for a candidate");
        }
    }

    /** Calls the candidate's method for this operation. */
    void tell(double nowMs, MemberName from, Candidate candidate) {
        switch (op) {
            case PROMISED -> candidate.promised(nowMs, from, lease, ballot, other, leftMs);
            case TOLD -> candidate.told(nowMs, from, lease, ballot, other, leftMs);
            case ACCEPTED -> candidate.accepted(nowMs, from, lease, ballot, count);
            case REFUSED -> candidate.refused(nowMs, from, lease, ballot, why, other);
            default -> throw new IllegalStateException(op + " is for a voter");
        }
    }
}
