package dappleseam.lab.scenario;

import dappleseam.fleet.share.FleetFeatures;
import java.util.List;
import java.util.Set;

/**
 * A run of many proxies. {@code baseScenario} is what any run has; added to it are faults on the links between the proxies and events of their
 * processes. {@code memoryMb}: memory limit of each proxy; {@code settleS}: time after the last fault until all views have to be correct;
 * {@code listPushed}: whether the proxies watch the list permanently instead of on request; {@code features}: what they announce to each other; {@code leases}: null if there are none.
 */
public record FleetScenario(Scenario baseScenario, int proxies, int memoryMb, double periodMs, double settleS, boolean listPushed, FleetFeatures features, Leases leases, List<LinkFault> linkFaults,
                            List<ProcessEvent> processEvents) {
    /**
     * Leases, with the first three proxies as voters. {@code leaseMs}: length of the lease for the last list; {@code storeDelayMs}: delay of the first write
     * of each holder at the store; {@code persistentVoters}: whether voters keep their promises on a disk that survives restarts.
     */
    public record Leases(double leaseMs, double storeDelayMs, boolean persistentVoters, List<Takeover> takeovers) {}

    /** Disrupts the current holder of the lease, {@code times} times, every {@code everyS} seconds. */
    public record Takeover(Disruption disruption, double atS, double everyS, int times, double forS) {
        /** When the last disruption is over. */
        public double endS() {
            return atS + everyS * (times - 1) + forS;
        }
    }

    /** What is done to a holder: SIGKILL and a new process later, SIGSTOP, a cut of all its links, SIGTERM and a new process later, an upgrade. */
    public enum Disruption { KILL, STOP, CUT, END, UPGRADE }

    /** What happens to datagrams between proxies. */
    public enum LinkEffect { CUT, LOSS, DELAY, DOUBLE, REORDER, GARBLE }

    /**
     * A fault on all datagrams from a member of {@code from} to a member of {@code to}; an empty set stands for all proxies.
     * {@code magnitude}: a share of the datagrams, or a delay in ms.
     */
    public record LinkFault(double atS, double forS, LinkEffect effect, Set<Integer> from, Set<Integer> to, double magnitude) {
        public boolean appliesTo(int sender, int receiver) {
            return (from.isEmpty() || from.contains(sender)) && (to.isEmpty() || to.contains(receiver));
        }

        /** Whether it is on a single link in one direction. */
        public boolean isOneLink() {
            return from.size() == 1 && to.size() == 1;
        }

        /** The same fault with a later end. */
        public LinkFault extended(double byS) {
            return new LinkFault(atS, forS + byS, effect, from, to, magnitude);
        }
    }

    /** What happens to a process. */
    public enum ProcessEventKind {
        /** SIGKILL, without a successor. */
        KILL,
        /** SIGTERM, without a successor. */
        END,
        /** SIGKILL, and after {@code forS} a new process without saved state. */
        RESTART,
        /** As RESTART, but immediately, and the new process is stopped for {@code forS} during its start-up. */
        SLOW_START,
        /** SIGSTOP, and SIGCONT after {@code forS}. */
        STOP,
        /** A new process is started next to the old one, which gets SIGTERM once the new one is ready. */
        UPGRADE,
        /** A duplicate: another process under the same name at another address, for {@code forS}. */
        TWIN
    }

    /** Applies to all of those proxies at the same time. */
    public record ProcessEvent(double atS, double forS, ProcessEventKind kind, Set<Integer> proxies) {}

    /** When the last fault of links and processes is over, in s; SIGKILL and SIGTERM count from the time at which they are sent. */
    public double faultsEndS() {
        double latestS = this.linkFaults.stream().mapToDouble(f -> f.atS + f.forS).max().orElse(0);
        latestS = Math.max(latestS, leases == null ? 0 : leases.takeovers().stream().mapToDouble(Takeover::endS).max().orElse(0));
        return Math.max(latestS, processEvents.stream().mapToDouble(e -> e.atS + e.forS).max().orElse(0));
    }
}
