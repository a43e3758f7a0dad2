package dappleseam.lab.fleet;

import dappleseam.fleet.membership.MemberEntry.State;

/** One line of a proxy's own record: what the process {@code viewer} came to hold of the process {@code nonce} of the member {@code who}. */
public record ViewChange(double ms, long viewer, String member, long nonce, int incarnation, State state) {}
