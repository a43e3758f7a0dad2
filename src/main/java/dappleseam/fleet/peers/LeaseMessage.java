package dappleseam.fleet.peers;

import dappleseam.fleet.lease.VoterMessages;
import dappleseam.fleet.lease.VoterMessages.Refusal;
import dappleseam.fleet.lease.CandidateMessages;
import dappleseam.fleet.lease.Candidate;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.Voter;
import dappleseam.fleet.membership.MemberName;

/**
 * One message between candidates and voters, as one datagram carries it: a call of {@link CandidateMessages} or {@link VoterMessages}.
 * {@code otherToken}: the held token, or the highest promise in a refusal; {@code number}: of a proposal, or of a voter's start; {@code previousStart}: the
 * start known before that one. In messages about a start, {@code ballot} carries the nonce of the voter's process. Fields that an operation does not use
 * have neutral values.
 */
public record LeaseMessage(Op op, int configFingerprint, LeaseName lease, Token ballot, Token otherToken, MemberName holder, double remainingMs, long number, long previousStart, Refusal reason) {
    /**
     * The ordinal is the wire format: new operations go to the end. TOLD is {@link VoterMessages#status}, RECALL is {@link VoterMessages#registerStart}, and
     * RECALLED is {@link VoterMessages#startRegistered}.
     */
    public enum Op { PREPARE, ASK, PROPOSE, RELEASE, RECALL, PROMISED, TOLD, ACCEPTED, REFUSED, RECALLED }

    /** Placeholder in messages about a start, which belong to no lease. */
    private static final LeaseName NO_LEASE = new LeaseName("-");

    /** A message with a proposal number or without one. */
    static LeaseMessage numbered(Op op, int configFingerprint, LeaseName lease, Token ballot, long number) {
        return new LeaseMessage(op, configFingerprint, lease, ballot, Token.NONE, null, 0, number, 0, Refusal.LOWER);
    }

    /** A reply that reports the holder. */
    static LeaseMessage withHolder(Op op, LeaseName lease, Token ballot, Token otherToken, MemberName holder, double remainingMs) {
        return new LeaseMessage(op, 0, lease, ballot, otherToken, holder, remainingMs, 0, 0, Refusal.LOWER);
    }

    /** A message between voters about a start. */
    static LeaseMessage aboutStart(Op op, int configFingerprint, long startNumber, long nonce, long previousStart) {
        return new LeaseMessage(op, configFingerprint, NO_LEASE, new Token(0, nonce), Token.NONE, null, 0, startNumber, previousStart, Refusal.LOWER);
    }

    static LeaseMessage refusal(LeaseName lease, Token ballot, Refusal reason, Token highest) {
        return new LeaseMessage(Op.REFUSED, 0, lease, ballot, highest, null, 0, 0, 0, reason);
    }

    /** Whether the recipient is a voter, otherwise a candidate. */
    boolean isForVoter() {
        return op.compareTo(Op.RECALL) <= 0 || op == Op.RECALLED;
    }

    /** Whether the sender waits for a voter's reply, and continues sooner if it learns that there is no voter here. */
    boolean expectsReply() {
        return op == Op.PREPARE || op == Op.ASK || op == Op.PROPOSE;
    }

    /** Calls the voter's method for this operation. */
    void dispatch(double nowMs, MemberName from, Voter voter) {
        switch (op) {
            case PREPARE -> voter.prepare(nowMs, from, configFingerprint, lease, ballot);
            case ASK -> voter.ask(nowMs, from, configFingerprint, lease);
            case PROPOSE -> voter.propose(nowMs, from, configFingerprint, lease, ballot, number);
            case RELEASE -> voter.release(nowMs, from, configFingerprint, lease, ballot);
            case RECALL -> voter.registerStart(from, configFingerprint, number, ballot.nonce());
            case RECALLED -> voter.startRegistered(from, number, ballot.nonce(), previousStart);
            default -> throw new IllegalStateException(op + " is for a candidate");
        }
    }

    /** Calls the candidate's method for this operation. */
    void dispatch(double nowMs, MemberName from, Candidate candidate) {
        switch (op) {
            case PROMISED -> candidate.promised(nowMs, from, lease, ballot, otherToken, remainingMs);
            case TOLD -> candidate.status(nowMs, from, lease, ballot, otherToken, remainingMs);
            case ACCEPTED -> candidate.accepted(nowMs, from, lease, ballot, number);
            case REFUSED -> candidate.refused(nowMs, from, lease, ballot, reason, otherToken);
            default -> throw new IllegalStateException(op + " is for a voter");
        }
    }
}
