package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/**
 * The other members' combined verdict on one process of a cache. {@code failingVotes}, {@code workingVotes}: members that report that
 * it fails or works; {@code retryRank}: this member's rank, from 0, in the order in which members may try it again.
 */
public record PeerVerdict(NodeId node, double startedAtMs, VerdictKind kind, int failingVotes, int workingVotes, int retryRank) {}
