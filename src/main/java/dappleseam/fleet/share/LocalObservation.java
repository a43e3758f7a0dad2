package dappleseam.fleet.share;

import dappleseam.router.NodeId;

/**
 * What a proxy's own executions show of one process of a cache: whether it is set aside by them or left one without an answer and gave none since, when that was found last, and when it last answered; ms of any one clock,
 * {@link Double#NEGATIVE_INFINITY} for never.
 */
public record LocalObservation(NodeId node, double startedAtMs, boolean failing, double failedAtMs, double lastAnswerAtMs) {}
