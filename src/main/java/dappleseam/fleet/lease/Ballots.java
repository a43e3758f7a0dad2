package dappleseam.fleet.lease;

import dappleseam.fleet.membership.MemberName;

/**
 * What candidates say to voters, one method per kind; {@code peer} is to whom it goes. {@code set}: {@link LeaseConfig#fingerprint}. Anything may be lost, late,
 * doubled or out of order.
 */
public interface Ballots {
    /** Take no lower ballot; who holds it? */
    void prepare(MemberName peer, int set, LeaseName lease, Token ballot);

    /** Who holds it? Promises nothing. */
    void ask(MemberName peer, int set, LeaseName lease);

    /** Hold it for me. {@code turn} counts proposals of a ballot: an answer to an earlier one says nothing of a later one. */
    void propose(MemberName peer, int set, LeaseName lease, Token ballot, long turn);

    /** I act no more. */
    void release(MemberName peer, int set, LeaseName lease, Token ballot);
}
