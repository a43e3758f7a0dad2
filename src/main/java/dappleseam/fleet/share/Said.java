package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/**
 * The other members' combined verdict on one process of a cache. {@code failingVotes}, {@code workingVotes}: members that report that
 * it fails or works; {@code retryRank}: this member's rank, from 0, in the order in which members may try it again.
 */
public record Said(NodeId node, double startedAtMs, Word word, int fails, int works, int turn) {}
