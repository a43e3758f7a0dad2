package dappleseam.fleet.lease;

import dappleseam.fleet.membership.MemberName;

/**
 * Messages that a candidate sends to voters, one method per kind. {@code peer} is the recipient, {@code configFingerprint} is
 * {@link LeaseConfig#fingerprint}. Messages may be lost, delayed, duplicated or reordered.
 */
public interface CandidateMessages {
    /** Asks for a promise not to take a lower ballot, and for the current holder. */
    void prepare(MemberName peer, int configFingerprint, LeaseName lease, Token ballot);

    /** Asks for the current holder, without any promise. */
    void ask(MemberName peer, int configFingerprint, LeaseName lease);

    /**
     * Asks to accept this candidate as the holder. {@code proposalNumber} counts the proposals of a ballot, so that a late reply to an earlier proposal is
     * not taken for a reply to a later one.
     */
    void propose(MemberName peer, int configFingerprint, LeaseName lease, Token ballot, long proposalNumber);

    /** The holder no longer uses the lease. */
    void release(MemberName peer, int configFingerprint, LeaseName lease, Token ballot);
}
