package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/** Others' word on one process of a cache. {@code fails}, {@code works}: members that say so; {@code turn}: this member's place among those that may try it, from 0. */
public record PeerVerdict(NodeId node, double startedAtMs, VerdictKind kind, int failingVotes, int workingVotes, int retryRank) {}
