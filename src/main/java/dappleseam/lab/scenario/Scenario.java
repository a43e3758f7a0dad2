package dappleseam.lab.scenario;

import java.util.List;

/** One run: the emulated services, the load, the incidents of services and the faults on connections. Times are in s or ms, as the names say. */
public record Scenario(String name, long seed, double seconds, Caches caches, Origin origin, Load load,
                       List<Incident> incidents, List<ConnectionFault> faults) {
    /**
     * Each cache processes {@code slots} commands at once, lets {@code queue} more wait, and accepts {@code connections} connections. {@code keys}: the keys it can store;
     * {@code coldCapacity}: its share of the capacity just after a cold start, which grows to 1 over {@code warmUpS}; {@code dedupWindowMs}: for how long the origin
     * recognizes an idempotency key.
     */
    public record Caches(int count, double workMs, int slots, int queue, int connections, int keys, double coldCapacity,
                         double warmUpS, double dedupWindowMs, int valueBytes) {}

    /** The origin processes {@code slots} requests at once. */
    public record Origin(double workMs, int slots) {}

    /** {@code skew}: exponent of the Zipf distribution of the keys. */
    public record Load(double perSecond, int keys, double skew, List<Grade> grades) {}

    /** Whether a query may be executed more than once. */
    public enum Semantics { IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT }

    /** A service grade. {@code share}: of the queries; {@code retries}: of the client; {@code disconnectShare}: of the clients, which disconnect before the timeout. */
    public record Grade(String name, double share, Semantics semantics, boolean write, double sloMs, double timeoutMs, int retries,
                        double disconnectShare) {}

    /** What happens to a service: see {@link Incident}. */
    public enum IncidentKind { DIE, SILENT, SLOW, ERR, DRAIN, SPOIL, LIST_OUT }

    /**
     * What happens to one cache, given by its number, for {@code forS}. {@code magnitude}: the multiple of its processing time, or a share of its answers.
     * {@code LIST_OUT} applies to the list service, whatever the number: it refuses connections for that time and afterwards answers at most {@code magnitude} calls per second, or all
     * if that is 0.
     */
    public record Incident(double atS, IncidentKind kind, int cache, double forS, double magnitude) {}

    /** The connections that a fault applies to. */
    public enum FaultLocation { CLIENTS, CACHES, ORIGIN, LIST }

    /** {@code THERE}: from the side that opened the connection; {@code BACK}: to it. */
    public enum Direction { THERE, BACK }

    /** What a fault does to the bytes or to the connection. */
    public enum FaultEffect { DELAY, SPLIT, GARBLE, CUT, RESET, HALF_CLOSE }

    /** A fault on a share of the connections, at a random byte offset below {@code withinBytes}. {@code magnitude}: in ms for a delay, in bytes for the pieces of a split. */
    public record ConnectionFault(FaultLocation location, Direction direction, FaultEffect effect, double share, int withinBytes, double magnitude) {}
}
