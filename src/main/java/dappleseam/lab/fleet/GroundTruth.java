package dappleseam.lab.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The actual lifetimes of a fleet's processes and the faults injected into them and their links. All times are in ms of one clock. */
public final class GroundTruth {
    /** One process of a member; {@code toMs} is infinite while it is running. */
    public record Process(String member, long nonce, double fromMs, double toMs) {
        public boolean runsAt(double ms) {
            return fromMs <= ms && ms < toMs;
        }
    }

    /** A period in which a member was stopped or its links were faulty; {@code member} is null if all links were affected. */
    public record Fault(String member, double fromMs, double toMs) {
        boolean overlaps(String other, double from, double to) {
            return (member == null || member.equals(other)) && fromMs < to && toMs > from;
        }
    }

    private final Map<Long, Process> processes = new LinkedHashMap<>();
    private final List<Fault> faults = new ArrayList<>();

    public synchronized void processStarted(String member, long nonce, double ms) {
        processes.put(nonce, new Process(member, nonce, ms, Double.POSITIVE_INFINITY));
    }

    /** Adds a process whose end is already known; {@code toMs} is infinite if it kept running. */
    public synchronized void processStarted(String member, long nonce, double fromMs, double toMs) {
        processes.put(nonce, new Process(member, nonce, fromMs, toMs));
    }

    public synchronized void processEnded(String member, double ms) {
        processes.replaceAll((nonce, p) -> p.member.equals(member) && p.runsAt(ms) ? new Process(member, nonce, p.fromMs, ms) : p);
    }

    public synchronized void addFault(String member, double fromMs, double toMs) {
        faults.add(new Fault(member, fromMs, toMs));
    }

    public synchronized List<Process> processes() {
        return List.copyOf(processes.values());
    }

    public synchronized Process process(long nonce) {
        return processes.get(nonce);
    }

    /** Whether no fault affected the member in the given period. */
    public synchronized boolean isFaultFree(String member, double fromMs, double toMs) {
        return faults.stream().noneMatch(fault -> fault.overlaps(member, fromMs, toMs));
    }

    /** Whether, since its start, the process has had an uninterrupted period of that length without any fault: enough for all members to learn of it. */
    synchronized boolean isPropagated(Process process, double ms, double propagationMs) {
        List<Double> starts = new ArrayList<>(List.of(process.fromMs));
        faults.forEach(fault -> starts.add(fault.toMs));
        return starts.stream().anyMatch(start -> start >= process.fromMs && start + propagationMs <= ms
                && faults.stream().noneMatch(fault -> fault.fromMs < start + propagationMs && fault.toMs > start));
    }

    /** The member's process that was running at the given time, or null. */
    public synchronized Process runningAt(String member, double ms) {
        return processes.values().stream().filter(p -> p.member.equals(member) && p.runsAt(ms)).findFirst().orElse(null);
    }
}
