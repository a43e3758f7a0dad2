package dappleseam.lab.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What was really done to the processes of a fleet and to the links between them; times in ms of one clock. */
public final class GroundTruth {
    /** One process of a member; {@code toMs} is infinite while it runs. */
    public record Process(String member, long nonce, double fromMs, double toMs) {
        public boolean runsAt(double ms) {
            return fromMs <= ms && ms < toMs;
        }
    }

    /** A time in which that member was stopped, or its links were bad; {@code member} is null for the links of all. */
    public record Fault(String member, double fromMs, double toMs) {
        boolean touches(String name, double from, double to) {
            return (member == null || member.equals(name)) && fromMs < to && toMs > from;
        }
    }

    private final Map<Long, Process> processes = new LinkedHashMap<>();
    private final List<Fault> troubles = new ArrayList<>();

    public synchronized void processStarted(String member, long nonce, double ms) {
        processes.put(nonce, new Process(member, nonce, ms, Double.POSITIVE_INFINITY));
    }

    /** One whose end is known already; infinite for one that ran on. */
    public synchronized void processStarted(String member, long nonce, double fromMs, double toMs) {
        processes.put(nonce, new Process(member, nonce, fromMs, toMs));
    }

    public synchronized void processEnded(String member, double ms) {
        processes.replaceAll((nonce, p) -> p.member.equals(member) && p.runsAt(ms) ? new Process(member, nonce, p.fromMs, ms) : p);
    }

    public synchronized void addFault(String member, double fromMs, double toMs) {
        troubles.add(new Fault(member, fromMs, toMs));
    }

    public synchronized List<Process> processes() {
        return List.copyOf(processes.values());
    }

    public synchronized Process process(long nonce) {
        return processes.get(nonce);
    }

    /** Whether nothing was wrong with that member in that time. */
    public synchronized boolean isFaultFree(String member, double fromMs, double toMs) {
        return troubles.stream().noneMatch(t -> t.touches(member, fromMs, toMs));
    }

    /** Whether that process had so long a time without any trouble since its start: time to be known to all. */
    synchronized boolean isKnown(Process process, double ms, double spanMs) {
        List<Double> from = new ArrayList<>(List.of(process.fromMs));
        troubles.forEach(t -> from.add(t.toMs));
        return from.stream().anyMatch(u -> u >= process.fromMs && u + spanMs <= ms
                && troubles.stream().noneMatch(t -> t.fromMs < u + spanMs && t.toMs > u));
    }

    /** The process of that member that runs then, or null. */
    public synchronized Process runningAt(String member, double ms) {
        return processes.values().stream().filter(p -> p.member.equals(member) && p.runsAt(ms)).findFirst().orElse(null);
    }
}
