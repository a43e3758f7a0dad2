package dappleseam.fleet.lease;

import dappleseam.fleet.membership.MemberName;
import java.io.IOException;
import java.util.Map;

/** Durable storage of a voter's state across restarts. */
public interface VoterStorage {
    /** What a voter has promised and accepted for one lease; {@code holder} is null if nothing was accepted. */
    record Vote(Token promised, Token accepted, MemberName holder) {}

    /**
     * The whole state. {@code configFingerprint}: {@link LeaseConfig#fingerprint}; {@code startNumber} counts the voter's starts; {@code cleanlyClosed}:
     * written as the last step of a clean shutdown, so nothing was promised after it. {@code bindingLeaseMs}: the longest lease time under which a holder
     * may still be accepted; NaN if the state does not tell.
     */
    record VoterState(MemberName voter, int configFingerprint, long startNumber, boolean cleanlyClosed, double bindingLeaseMs, Map<LeaseName, Vote> votes) {}

    /** Reads the state and verifies its checksum; throws if there is no state that can be trusted. */
    VoterState read() throws IOException;

    /** Writes the state, and returns once it is durable. */
    void write(VoterState state) throws IOException;
}
