package dappleseam.list;

import dappleseam.router.Member;
import dappleseam.router.NodeId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * When nodes started, by this process's own clock. The list gives wall-clock times, and wall clocks are stepped, so what is told here is never
 * earlier than the start itself: a node that appears while this process follows the list starts then, and one that its first list names is as
 * old as the newest there shows it to be. A node whose time is 0 started long ago.
 */
public final class StartTimes {
    /** Nodes remembered at most, listed or not: one that leaves the list and comes back has not started again. */
    private static final int MOST = 8192;

    private record Start(double bootMs, double startedAtMs) {}

    private final Map<NodeId, Start> starts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<NodeId, Start> eldest) {
            return size() > MOST;
        }
    };

    /** The entries of a list that this process begins with: the one from its file, or the first that it hears. Times in ms. */
    public List<Member> adjustFirstList(NodeList list, double nowMs, double wallMs) {
        starts.clear();
        double newest = list.entries().stream().mapToDouble(entry -> entry.member().startedAtMs()).max().orElse(0);
        return members(list, nowMs, bootMs -> atLeast(newest - bootMs, wallMs - bootMs));
    }

    /** Where the wall clock shows less than the list does, the list spans a step of it; where it shows nothing, it is behind. */
    private static double atLeast(double agedByListMs, double agedByWallMs) {
        return agedByWallMs < 0 ? agedByListMs : Math.min(agedByListMs, agedByWallMs);
    }

    /** The entries of a later list, or of what has changed. */
    public List<Member> adjustUpdate(NodeList list, double nowMs) {
        return members(list, nowMs, bootMs -> 0);
    }

    private interface Age {
        double leastMs(double bootMs);
    }

    private List<Member> members(NodeList list, double nowMs, Age age) {
        List<Member> members = new ArrayList<>(list.entries().size());
        for (ListEntry entry : list.entries()) {
            Member member = entry.member();
            members.add(member.withStartedAt(startedAtMs(member, nowMs, age)));
        }
        return members;
    }

    private double startedAtMs(Member member, double nowMs, Age age) {
        double bootMs = member.startedAtMs();
        if (bootMs <= 0) {
            return 0;
        }
        Start known = starts.get(member.node());
        if (known == null || known.bootMs != bootMs) {
            known = new Start(bootMs, Math.max(0, nowMs - age.leastMs(bootMs)));
            starts.put(member.node(), known);
        }
        return known.startedAtMs;
    }

    /** What the list says of a node, 0 for long ago: the name of its process at every proxy. */
    public double bootMs(NodeId node) {
        Start start = starts.get(node);
        return start == null ? 0 : start.bootMs;
    }

    /** By this process's clock when that process of the node started; NaN where it is not the one that is listed. */
    public double startedAtMs(NodeId node, double bootMs) {
        Start start = starts.get(node);
        return start == null ? bootMs <= 0 ? 0 : Double.NaN : start.bootMs == bootMs ? start.startedAtMs : Double.NaN;
    }
}
