package dappleseam.list;

import dappleseam.router.Member;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts the start times of nodes to this process's monotonic clock. The list gives wall-clock times, and wall clocks may be stepped, so a
 * converted time is never earlier than the actual start: a node that appears while this process watches the list is taken to start then, and
 * the age of a node in the first list is taken relative to the newest node there. A start time of 0 means long ago.
 */
public final class StartTimes {
    /** Maximum number of nodes remembered, listed or not: a node that leaves the list and returns has not been restarted. */
    private static final int MAX_NODES = 8192;

    private record Start(double bootMs, double startedAtMs) {}

    private final Map<NodeId, Start> starts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeId, Start> eldest) {
            return size() > MAX_NODES;
        }
    };

    /** The members of the list that this process starts with, from its file or the first one received, with adjusted start times. Times in ms. */
    public List<Member> adjustFirstList(NodeList list, double nowMs, double wallMs) {
        starts.clear();
        double newest = list.entries().stream().mapToDouble(entry -> entry.member().startedAtMs()).max().orElse(0);
        return members(list, nowMs, bootMs -> minAgeMs(newest - bootMs, wallMs - bootMs));
    }

    /** The lower of both ages, as the list's times may span a clock step; the list's age if this process's wall clock is behind. */
    private static double minAgeMs(double listAgeMs, double wallAgeMs) {
        return wallAgeMs < 0 ? listAgeMs : Math.min(listAgeMs, wallAgeMs);
    }

    /** The members of a later list or update, with adjusted start times. */
    public List<Member> adjustUpdate(NodeList list, double nowMs) {
        return members(list, nowMs, bootMs -> 0);
    }

    /** Estimates the age of a node, in ms, that it has at least. */
    private interface MinAge {
        double ofBootMs(double bootMs);
    }

    private List<Member> members(NodeList list, double nowMs, MinAge minAge) {
        List<Member> members = new ArrayList<>(list.entries().size());
        for (ListEntry entry : list.entries()) {
            Member member = entry.member();
            members.add(member.withStartedAt(startedAtMs(member, nowMs, minAge)));
        }
        return members;
    }

    private double startedAtMs(Member member, double nowMs, MinAge minAge) {
        double bootMs = member.startedAtMs();
        if (bootMs <= 0) {
            return 0;
        }
        Start known = starts.get(member.node());
        if (known == null || known.bootMs != bootMs) {
            known = new Start(bootMs, Math.max(0, nowMs - minAge.ofBootMs(bootMs)));
            starts.put(member.node(), known);
        }
        return known.startedAtMs;
    }

    /** The start time that the list gives for a node, 0 for long ago; at all proxies it identifies the node's process. */
    public double bootMs(NodeId node) {
        Start start = starts.get(node);
        return start == null ? 0 : start.bootMs;
    }

    /** Start time, by this process's clock, of the node's process with that boot time; NaN if another process is listed. */
    public double startedAtMs(NodeId node, double bootMs) {
        Start start = starts.get(node);
        return start == null ? bootMs <= 0 ? 0 : Double.NaN : start.bootMs == bootMs ? start.startedAtMs : Double.NaN;
    }
}
