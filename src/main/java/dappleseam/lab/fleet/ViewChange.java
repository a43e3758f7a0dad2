package dappleseam.lab.fleet;

import dappleseam.fleet.membership.MemberEntry.State;

/**
 * One line of a proxy's own record: the state that the process {@code viewer} assigned to the process {@code nonce} of {@code member}. Processes are
 * identified by their nonces.
 */
public record ViewChange(double ms, long viewer, String member, long nonce, int incarnation, State state) {}
