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

/** Figures of a module at one size, over seeds from 1 on, played at once. Simulated, a period of 1 s. */
public record MembershipMeasurement(Module module, int members, int runs, double runningMs) {
    private static final double SECOND = 1000;
    private static final double MINUTE = 60 * SECOND;
    /** Time in ms in which all know each other and the news of that has been told. */
    private static final double QUIET_MS = 3 * MINUTE;
    /** Members from which on that takes too long: there, all know each other from the start, and what is left of it is over after so many ms. */
    private static final int NEWS_MOST = 2000;
    private static final double KNOWN_MS = 20 * SECOND;
    /** How long a member stands still that does so by turns, in ms; {@code runningMs} is how long it does not. */
    private static final double STOPPED_MS = 4 * SECOND;

    private SimulatedFleet begun(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(module, MembershipConfig.defaults(members), members, seed);
        if (members > NEWS_MOST && module != Module.HEARTBEATS) {
            fleet.startPreloaded();
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

    /** One dies, so many times: who knows when; and what a quiet member sends. */
    public String singleDeaths(int times) {
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
                fleet.setViewListener((now, viewer, before, after) -> {
                    if (after.name().equals(dead.name) && after.state() == State.FAILED && knew.add(viewer.number)) {
                        at[0] = Double.isNaN(at[0]) ? now - dead.downSinceMs : at[0];
                        at[1] = now - dead.downSinceMs;
                    }
                });
                fleet.runFor(MINUTE);
                synchronized (wire) {
                    first.add(at[0] / SECOND);
                    spread.add((at[1] - at[0]) / SECOND);
                }
            }
        });
        return line("quiet %.1f datagrams and %.0f bytes a second; one dies (%d times): first knows after %.1f s median, %.1f s 99 of 100; last %.1f and %.1f s later; log2 N %.1f",
                wire[0], wire[1], first.size(), Ranked.at(first, 0.5), Ranked.at(first, 0.99), Ranked.at(spread, 0.5), Ranked.at(spread, 0.99), Math.log(members) / Math.log(2));
    }

    /** That share dies at one instant: time until a half, all but one of a hundred, and all of what the living hold of the dead is right. */
    public String simultaneousDeaths(double share) {
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
            fleet.setViewListener((now, viewer, before, after) -> {
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
        return line("%.0f%% die at once: half of what is held of them is right after %.1f s median, 99 of 100 after %.1f s, all after %.1f s median, %.1f s at most of %d; %.1f datagrams a second meanwhile; living held for failed %.1f a run",
                100 * share, Ranked.at(half, 0.5), Ranked.at(most, 0.5), Ranked.at(all, 0.5), Ranked.at(all, 1), runs, wire[0], wronged.stream().mapToDouble(w -> w).average().orElse(0));
    }

    /** Cut in two for two minutes: time until all views are right again. */
    public String partitionHealing() {
        List<Double> healed = new ArrayList<>();
        IntStream.rangeClosed(1, runs).parallel().forEach(seed -> {
            SimulatedFleet fleet = begun(seed);
            fleet.nodes().forEach(n -> n.partition = n.number % 2);
            fleet.runFor(2 * MINUTE);
            fleet.nodes().forEach(n -> n.partition = 0);
            double ms = fleet.runUntilAgreed(5 * MINUTE);
            synchronized (healed) {
                healed.add(ms / SECOND);
            }
        });
        return line("a split in two heals in %.1f s median, %.1f s at most of %d", Ranked.at(healed, 0.5), Ranked.at(healed, 1), runs);
    }

    /** Nobody dies: how often a view holds for failed who runs; a share is lost everywhere, or a share of the members stands still by turns. */
    public String falseFailures(double loss, double stopping, double minutes) {
        double[] events = new double[runs];
        double[] subjects = new double[runs];
        IntStream.range(0, runs).parallel().forEach(run -> {
            SimulatedFleet fleet = begun(run + 1);
            fleet.lossRate = loss;
            int stopped = (int) Math.ceil(stopping * members);
            for (int i = 0; i < stopped; i++) {
                stopByTurns(fleet, fleet.node(i));
            }
            int turn = run;
            Set<Integer> failed = new HashSet<>();
            fleet.setViewListener((now, viewer, before, after) -> {
                int number = Integer.parseInt(after.name().text().substring(1));
                // Those that stand still are away; what counts is what is said of those that are not.
                if (after.state() == State.FAILED && number >= stopped) {
                    events[turn]++;
                    failed.add(number);
                }
            });
            fleet.runFor(minutes * MINUTE);
            subjects[turn] = failed.size();
        });
        double hours = runs * minutes / 60;
        return line("loss %.0f%%, standing still 4 s and running %.1f s by turns %.0f%%: false failures in views an hour %.1f, members ever failed %.1f a run (%d runs of %.0f min)",
                100 * loss, runningMs / SECOND, 100 * stopping, Arrays.stream(events).sum() / hours, Arrays.stream(subjects).average().orElse(0), runs, minutes);
    }

    private void stopByTurns(SimulatedFleet fleet, Node node) {
        fleet.schedule(fleet.random().nextDouble() * (STOPPED_MS + runningMs), new Runnable() {
            @Override
            public void run() {
                node.stop(STOPPED_MS);
                fleet.schedule(STOPPED_MS + runningMs, this);
            }
        });
    }
}
