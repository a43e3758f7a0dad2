package dappleseam.lab.fleet;

import dappleseam.fleet.membership.MemberEntry.State;
import dappleseam.fleet.membership.MembershipConfig;
import dappleseam.lab.fleet.SimulatedFleet.Module;
import dappleseam.lab.fleet.SimulatedFleet.Node;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.IntStream;

/** Measures a membership module at one fleet size in simulated time, with a probe period of 1 s, over the seeds 1 to {@code runs} in parallel. */
public record Sizes(Module module, int members, int runs, double runningMs) {
    private static final double SECOND = 1000;
    private static final double MINUTE = 60 * SECOND;
    /** Time in ms after which all members know each other and the gossip about their starts has ended. */
    private static final double QUIET_MS = 3 * MINUTE;
    /** In fleets larger than this, that would take too long: their views are preloaded, and the remaining gossip ends within {@code PRELOADED_START_MS}. */
    private static final int NEWS_MOST = 2000;
    private static final double KNOWN_MS = 20 * SECOND;
    /** How long a member that is stopped periodically is stopped each time, in ms; it runs for {@code runningMs} in between. */
    private static final double STOPPED_MS = 4 * SECOND;

    private SimulatedFleet begun(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(module, MembershipConfig.defaults(members), members, seed);
        if (members > NEWS_MOST && module != Module.HEARTBEATS) {
            fleet.startKnown();
            fleet.runFor(KNOWN_MS);
        } else {
            fleet.startAll(2);
            fleet.runFor(QUIET_MS);
        }
        return fleet;
    }

    private String line(String what, Object... of) {
        return String.format(Locale.ROOT, "%-20s N %5d  ", module, members) + String.format(Locale.ROOT, what, of);
    }

    /** Kills one member after another: how long detection takes, and how much an idle member sends. */
    public String deaths(int times) {
        List<Double> first = new ArrayList<>();
        List<Double> spread = new ArrayList<>();
        double[] wire = new double[2];
        IntStream.rangeClosed(1, runs).parallel().forEach(seed -> {
            SimulatedFleet fleet = begun(seed);
            long datagrams = fleet.datagrams;
            long bytes = fleet.bytes;
            fleet.runFor(MINUTE);
            synchronized (wire) {
                wire[0] += (fleet.datagrams - datagrams) / 60.0 / members / runs;
                wire[1] += (fleet.bytes - bytes) / 60.0 / members / runs;
            }
            for (int i = 0; i < times; i++) {
                Node dead = fleet.node(2 + i);
                dead.kill();
                Set<Integer> knew = new HashSet<>();
                double[] at = {Double.NaN, Double.NaN};
                fleet.watch((now, viewer, before, after) -> {
                    if (after.name().equals(dead.name) && after.state() == State.FAILED && knew.add(viewer.number)) {
                        at[0] = Double.isNaN(at[0]) ? now - dead.downSince : at[0];
                        at[1] = now - dead.downSince;
                    }
                });
                fleet.runFor(MINUTE);
                synchronized (wire) {
                    first.add(at[0] / SECOND);
                    spread.add((at[1] - at[0]) / SECOND);
                }
            }
        });
        return line("idle: %.1f datagrams and %.0f bytes per second and member; one member dies (%d times): first detection after %.1f s median, %.1f s p99; last detection %.1f s median, %.1f s p99 after the first; log2 N %.1f",
                wire[0], wire[1], first.size(), Ranked.at(first, 0.5), Ranked.at(first, 0.99), Ranked.at(spread, 0.5), Ranked.at(spread, 0.99), Math.log(members) / Math.log(2));
    }

    /** Kills a share of the members at one instant: time until half, 99 % and all of the survivors' entries for the dead members are correct. */
    public String together(double share) {
        List<Double> half = new ArrayList<>();
        List<Double> most = new ArrayList<>();
        List<Double> all = new ArrayList<>();
        List<Double> wronged = new ArrayList<>();
        double[] wire = new double[1];
        IntStream.rangeClosed(1, runs).parallel().forEach(seed -> {
            SimulatedFleet fleet = begun(seed);
            int dead = (int) Math.round(share * members);
            int pairs = dead * (members - dead);
            double from = fleet.nowMs();
            Set<Long> knew = new HashSet<>();
            Set<Integer> wrongly = new HashSet<>();
            double[] at = {Double.NaN, Double.NaN, Double.NaN};
            fleet.watch((now, viewer, before, after) -> {
                int number = Integer.parseInt(after.name().text().substring(1));
                if (after.state().isLive()) {
                    return;
                }
                if (number >= dead) {
                    wrongly.add(number);
                } else if (viewer.number >= dead && knew.add((long) viewer.number << 32 | number)) {
                    double s = (now - from) / SECOND;
                    at[0] = knew.size() <= pairs / 2 ? s : at[0];
                    at[1] = knew.size() <= 0.99 * pairs ? s : at[1];
                    at[2] = knew.size() == pairs ? s : at[2];
                }
            });
            for (int i = 0; i < dead; i++) {
                fleet.node(i).kill();
            }
            long datagrams = fleet.datagrams;
            for (int i = 0; i < 3 * MINUTE / SECOND && Double.isNaN(at[2]); i++) {
                fleet.runFor(SECOND);
            }
            synchronized (half) {
                half.add(at[0]);
                most.add(at[1]);
                all.add(at[2]);
                wronged.add((double) wrongly.size());
                wire[0] += (fleet.datagrams - datagrams) / ((fleet.nowMs() - from) / SECOND) / (members - dead) / runs;
            }
        });
        return line("%.0f%% die at once: half of the entries for them are correct after %.1f s median, 99 %% after %.1f s, all after %.1f s median, %.1f s at most of %d; %.1f datagrams per second and survivor meanwhile; %.1f survivors considered failed per run",
                100 * share, Ranked.at(half, 0.5), Ranked.at(most, 0.5), Ranked.at(all, 0.5), Ranked.at(all, 1), runs, wire[0], wronged.stream().mapToDouble(w -> w).average().orElse(0));
    }

    /** Partitions the fleet into two halves for two minutes: time until all views are correct again. */
    public String heal() {
        List<Double> healed = new ArrayList<>();
        IntStream.rangeClosed(1, runs).parallel().forEach(seed -> {
            SimulatedFleet fleet = begun(seed);
            fleet.nodes().forEach(n -> n.group = n.number % 2);
            fleet.runFor(2 * MINUTE);
            fleet.nodes().forEach(n -> n.group = 0);
            double ms = fleet.untilAgreed(5 * MINUTE);
            synchronized (healed) {
                healed.add(ms / SECOND);
            }
        });
        return line("a partition into two halves heals in %.1f s median, %.1f s at most of %d", Ranked.at(healed, 0.5), Ranked.at(healed, 1), runs);
    }

    /** Kills no member: how often a view considers a running member failed while datagrams are lost at that rate and that share of the members is stopped periodically. */
    public String falseFailures(double loss, double stopping, double minutes) {
        double[] events = new double[runs];
        double[] subjects = new double[runs];
        IntStream.range(0, runs).parallel().forEach(run -> {
            SimulatedFleet fleet = begun(run + 1);
            fleet.loss = loss;
            int stopped = (int) Math.ceil(stopping * members);
            for (int i = 0; i < stopped; i++) {
                stopByTurns(fleet, fleet.node(i));
            }
            int turn = run;
            Set<Integer> failed = new HashSet<>();
            fleet.watch((now, viewer, before, after) -> {
                int number = Integer.parseInt(after.name().text().substring(1));
                // Stopped members are unreachable: only verdicts about the others are false.
                if (after.state() == State.FAILED && number >= stopped) {
                    events[turn]++;
                    failed.add(number);
                }
            });
            fleet.runFor(minutes * MINUTE);
            subjects[turn] = failed.size();
        });
        double hours = runs * minutes / 60;
        return line("loss %.0f%%, stopped for 4 s and running for %.1f s by turns %.0f%%: %.1f false failures in views per hour, %.1f members ever considered failed per run (%d runs of %.0f min)",
                100 * loss, runningMs / SECOND, 100 * stopping, Arrays.stream(events).sum() / hours, Arrays.stream(subjects).average().orElse(0), runs, minutes);
    }

    private void stopByTurns(SimulatedFleet fleet, Node node) {
        fleet.after(fleet.random().nextDouble() * (STOPPED_MS + runningMs), new Runnable() {
            @Override
            public void run() {
                node.stop(STOPPED_MS);
                fleet.after(STOPPED_MS + runningMs, this);
            }
        });
    }
}
