package dappleseam.lab.scenario;

import dappleseam.fleet.share.FleetFeatures;
import java.util.List;
import java.util.Set;

/**
 * One rehearsal of many proxies: {@code play} is what any rehearsal has, beside it stand faults between the proxies and what befalls their
 * processes. {@code memoryMb}: limit of each; {@code settleS}: time after the last trouble until all views have to be right;
 * {@code listPushed}: whether they follow the list all the time, rather than ask where they have to; {@code choices}: what they tell each other; {@code leases}: null where there are none.
 */
public record FleetScenario(Scenario play, int proxies, int memoryMb, double periodMs, double settleS, boolean listPushed, FleetFeatures choices, Leases leases, List<LinkFault> links,
                            List<ProcessEvent> processes) {
    /**
     * Leases, of which the first three proxies are voters; {@code leaseMs}: of the one for the last list. {@code storeLateMs}: by how much the first write
     * of each holder is late at the store. {@code disks}: whether voters keep their promises on a disk that lasts over restarts.
     */
    public record Leases(double leaseMs, double storeLateMs, boolean disks, List<Takeover> takeovers) {}

    /** So many times, each that long after the one before: whoever holds the lease then is hit. */
    public record Takeover(Blow blow, double atS, double everyS, int times, double forS) {
        public double endS() {
            return atS + everyS * (times - 1) + forS;
        }
    }

    /** What hits a holder: SIGKILL and a new process later, SIGSTOP, all its links cut, SIGTERM and a new process later, an upgrade. */
    public enum Blow { KILL, STOP, CUT, END, UPGRADE }

    /** What happens to datagrams between proxies. */
    public enum LinkHow { CUT, LOSS, DELAY, DOUBLE, REORDER, GARBLE }

    /**
     * On all datagrams from one of {@code from} to one of {@code to}; an empty set is all, and members of both are among themselves not
     * concerned when the sets differ. {@code size}: a share, or ms of a delay.
     */
    public record LinkFault(double atS, double forS, LinkHow how, Set<Integer> from, Set<Integer> to, double size) {
        public boolean concerns(int sender, int receiver) {
            return (from.isEmpty() || from.contains(sender)) && (to.isEmpty() || to.contains(receiver));
        }

        /** Whether it is on one link only, one way. */
        public boolean isOneLink() {
            return from.size() == 1 && to.size() == 1;
        }

        /** The same with its end so much later. */
        public LinkFault prolonged(double byS) {
            return new LinkFault(atS, forS + byS, how, from, to, size);
        }
    }

    /** What happens to a process. */
    public enum ProcessKind {
        /** SIGKILL, and it stays away. */
        KILL,
        /** SIGTERM, and it stays away. */
        END,
        /** SIGKILL, and after {@code forS} a new process with nothing but its configuration. */
        RESTART,
        /** As RESTART, at once, but the new one stands still for {@code forS} on its way up. */
        SLOW_START,
        /** SIGSTOP, and SIGCONT after {@code forS}. */
        STOP,
        /** A new process beside it; SIGTERM to the old one once the new one is ready. */
        UPGRADE,
        /** Another process by its name, elsewhere, for {@code forS}. */
        TWIN
    }

    /** To those proxies, all at once. */
    public record ProcessEvent(double atS, double forS, ProcessKind kind, Set<Integer> proxies) {}

    /** When the last trouble of links and processes is over, in s; SIGKILL and SIGTERM count from when they come. */
    public double troublesEndS() {
        double links = this.links.stream().mapToDouble(f -> f.atS + f.forS).max().orElse(0);
        links = Math.max(links, leases == null ? 0 : leases.takeovers().stream().mapToDouble(Takeover::endS).max().orElse(0));
        return Math.max(links, processes.stream().mapToDouble(e -> e.atS + e.forS).max().orElse(0));
    }
}
