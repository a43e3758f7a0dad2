package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/**
 * What a proxy's own executions show about one process of a cache. {@code failing}: whether it is ejected because of them, or left an
 * execution unanswered and has not answered since; {@code failedAtMs}: when that was last found; {@code lastAnswerAtMs}: when it last
 * answered. Times are ms of one clock, {@link Double#NEGATIVE_INFINITY} for never.
 */
public record LocalObservation(NodeId node, double startedAtMs, boolean failing, double failedAtMs, double lastAnswerAtMs) {}
