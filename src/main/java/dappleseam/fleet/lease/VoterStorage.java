package dappleseam.fleet.lease;

import dappleseam.fleet.membership.MemberName;
import java.io.IOException;
import java.util.Map;

/** What a voter keeps over its starts, where there is a disk that lasts. */
public interface VoterStorage {
    /** What one voter promised and accepted for one lease. */
    record Vote(Token promised, Token accepted, MemberName holder) {}

    /**
     * All of it. {@code set}: {@link LeaseConfig#fingerprint}; {@code start} counts the voter's starts; {@code closed}: written as the last thing of an
     * orderly end, so that nothing was promised after it.
     */
    record VoterState(MemberName voter, int configFingerprint, long startNumber, boolean cleanlyClosed, Map<LeaseName, Vote> votes) {}

    /** What was kept, checked against damage; an exception where there is nothing that can be trusted. */
    VoterState read() throws IOException;

    /** Returns once it lasts. */
    void write(VoterState kept) throws IOException;
}
