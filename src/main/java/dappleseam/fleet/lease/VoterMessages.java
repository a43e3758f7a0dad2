package dappleseam.fleet.lease;

import dappleseam.fleet.membership.MemberName;

/**
 * Messages that a voter sends, one method per kind: replies to candidates, and the registration of its start number with the other voters.
 * {@code peer} is the recipient.
 */
public interface VoterMessages {
    /**
     * Promise not to take a ballot lower than {@code ballot}. {@code held} is the accepted token, valid for {@code remainingMs} more, or
     * {@link Token#NONE} if the lease is free.
     */
    void promised(MemberName peer, LeaseName lease, Token ballot, Token held, MemberName holder, double remainingMs);

    /** Reply to {@link CandidateMessages#ask}: the highest promised ballot, and the current holder if there is one. */
    void status(MemberName peer, LeaseName lease, Token highest, Token held, MemberName holder, double remainingMs);

    /** The proposal of that number was accepted. */
    void accepted(MemberName peer, LeaseName lease, Token ballot, long proposalNumber);

    /** {@code ballot} was refused; {@code highest} is the highest promised ballot. */
    void refused(MemberName peer, LeaseName lease, Token ballot, Refusal reason, Token highest);

    /** Registers this voter's start number and its process's nonce, and asks which start was known before. */
    void registerStart(MemberName peer, int configFingerprint, long startNumber, long nonce);

    /** Reply to a registration: the start number that was known before that start; -1 if none was. */
    void startRegistered(MemberName peer, long startNumber, long nonce, long previousStart);

    /**
     * Why a voter refused a request: a higher ballot is promised; it must not answer yet after its start; the sender has another configuration;
     * this process is not a voter; the promise could not be persisted; or it already keeps {@link Voter#MAX_LEASES}.
     * The order is part of the wire format.
     */
    enum Refusal { LOWER, ABSTAINS, OTHER_SET, NO_VOTER, NOT_WRITTEN, TOO_MANY }
}
