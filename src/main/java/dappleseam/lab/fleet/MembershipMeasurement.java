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
public record MembershipMeasurement(Module module, int members, int runs, double runningMs) {
    private static final double SECOND = 1000;
    private static final double MINUTE = 60 * SECOND;
    /** Time in ms after which all members know each other and the gossip about their starts has ended. */
    private static final double START_MS = 3 * MINUTE;
    /** In fleets larger than this, that would take too long: their views are preloaded, and the remaining gossip ends within {@code PRELOADED_START_MS}. */
    private static final int MAX_UNAIDED_MEMBERS = 2000;
    private static final double PRELOADED_START_MS = 20 * SECOND;
    /** How long a member that is stopped periodically is stopped each time, in ms; it runs for {@code runningMs} in between. */
    private static final double STOPPED_MS = 4 * SECOND;

    private SimulatedFleet startedFleet(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(module, MembershipConfig.defaults(members), members, seed);
        if (members > MAX_UNAIDED_MEMBERS && module != Module.HEARTBEATS) {
            fleet.startPreloaded();
            fleet.runFor(PRELOADED_START_MS);
        } else {
            fleet.startAll(2);
            fleet.runFor(START_MS);
        }
        return fleet;
    }

    private String line(String template, Object... args) {
        return String.format(Locale.ROOT, "%-20s N %5d  ", module, members) + String.format(Locale.ROOT, template, args);
    }

    /** Kills one member after another: how long detection takes, and how much an idle member sends. */
    public String singleDeaths(int times) {
        List<Double> first = new ArrayList<>();
        List<Double> spread = new ArrayList<>();
        double[] traffic = new double[2];
        IntStream.rangeClosed(1, runs).parallel().forEach(seed -> {
            SimulatedFleet fleet = startedFleet(seed);
            long datagrams = fleet.datagrams;
            long bytes = fleet.bytes;
            fleet.runFor(MINUTE);
            synchronized (traffic) {
                traffic[0] += (fleet.datagrams - datagrams) / 60.0 / members / runs;
                traffic[1] += (fleet.bytes - bytes) / 60.0 / members / runs;
            }
            for (int i = 0; i < times; i++) {
                Node dead = fleet.node(2 + i);
                dead.kill();
                Set<Integer> informed = new HashSet<>();
                double[] detectedAfterMs = {Double.NaN, Double.NaN};
                fleet.setViewListener((now, viewer, before, after) -> {
                    if (after.name().equals(dead.name) && after.state() == State.FAILED && informed.add(viewer.number)) {
                        detectedAfterMs[0] = Double.isNaN(detectedAfterMs[0]) ? now - dead.downSinceMs : detectedAfterMs[0];
                        detectedAfterMs[1] = now - dead.downSinceMs;
                    }
                });
                fleet.runFor(MINUTE);
                synchronized (traffic) {
                    first.add(detectedAfterMs[0] / SECOND);
                    spread.add((detectedAfterMs[1] - detectedAfterMs[0]) / SECOND);
                }
            }
        });
        return line("idle: %.1f datagrams and %.0f bytes per second and member; one member dies (%d times): first detection after %.1f s median, %.1f s p99; last detection %.1f s median, %.1f s p99 after the first; log2 N %.1f",
                traffic[0], traffic[1], first.size(), Quantiles.quantile(first, 0.5), Quantiles.quantile(first, 0.99), Quantiles.quantile(spread, 0.5), Quantiles.quantile(spread, 0.99), Math.log(members) / Math.log(2));
    }

    /** Kills a share of the members at one instant: time until half, 99 % and all of the survivors' entries for the dead members are correct. */
    public String simultaneousDeaths(double share) {
        List<Double> half = new ArrayList<>();
        List<Double> ninetyNine = new ArrayList<>();
        List<Double> all = new ArrayList<>();
        List<Double> falseFailureCounts = new ArrayList<>();
        double[] traffic = new double[1];
        IntStream.rangeClosed(1, runs).parallel().forEach(seed -> {
            SimulatedFleet fleet = startedFleet(seed);
            int dead = (int) Math.round(share * members);
            int pairs = dead * (members - dead);
            double from = fleet.nowMs();
            Set<Long> informed = new HashSet<>();
            Set<Integer> falselyFailed = new HashSet<>();
            double[] reachedAfterS = {Double.NaN, Double.NaN, Double.NaN};
            fleet.setViewListener((now, viewer, before, after) -> {
                int number = Integer.parseInt(after.name().text().substring(1));
                if (after.state().isLive()) {
                    return;
                }
                if (number >= dead) {
                    falselyFailed.add(number);
                } else if (viewer.number >= dead && informed.add((long) viewer.number << 32 | number)) {
                    double s = (now - from) / SECOND;
                    reachedAfterS[0] = informed.size() <= pairs / 2 ? s : reachedAfterS[0];
                    reachedAfterS[1] = informed.size() <= 0.99 * pairs ? s : reachedAfterS[1];
                    reachedAfterS[2] = informed.size() == pairs ? s : reachedAfterS[2];
                }
            });
            for (int i = 0; i < dead; i++) {
                fleet.node(i).kill();
            }
            long datagrams = fleet.datagrams;
            for (int i = 0; i < 3 * MINUTE / SECOND && Double.isNaN(reachedAfterS[2]); i++) {
                fleet.runFor(SECOND);
            }
            synchronized (half) {
                half.add(reachedAfterS[0]);
                ninetyNine.add(reachedAfterS[1]);
                all.add(reachedAfterS[2]);
                falseFailureCounts.add((double) falselyFailed.size());
                traffic[0] += (fleet.datagrams - datagrams) / ((fleet.nowMs() - from) / SECOND) / (members - dead) / runs;
            }
        });
        return line("%.0f%% die at once: half of the entries for them are correct after %.1f s median, 99 %% after %.1f s, all after %.1f s median, %.1f s at most of %d; %.1f datagrams per second and survivor meanwhile; %.1f survivors considered failed per run",
                100 * share, Quantiles.quantile(half, 0.5), Quantiles.quantile(ninetyNine, 0.5), Quantiles.quantile(all, 0.5), Quantiles.quantile(all, 1), runs, traffic[0], falseFailureCounts.stream().mapToDouble(w -> w).average().orElse(0));
    }

    /** Partitions the fleet into two halves for two minutes: time until all views are correct again. */
    public String partitionHealing() {
        List<Double> healingS = new ArrayList<>();
        IntStream.rangeClosed(1, runs).parallel().forEach(seed -> {
            SimulatedFleet fleet = startedFleet(seed);
            fleet.nodes().forEach(n -> n.partition = n.number % 2);
            fleet.runFor(2 * MINUTE);
            fleet.nodes().forEach(n -> n.partition = 0);
            double ms = fleet.runUntilAgreed(5 * MINUTE);
            synchronized (healingS) {
                healingS.add(ms / SECOND);
            }
        });
        return line("a partition into two halves heals in %.1f s median, %.1f s at most of %d", Quantiles.quantile(healingS, 0.5), Quantiles.quantile(healingS, 1), runs);
    }

    /** Kills no member: how often a view considers a running member failed while datagrams are lost at that rate and that share of the members is stopped periodically. */
    public String falseFailures(double lossRate, double stoppingShare, double minutes) {
        double[] events = new double[runs];
        double[] failedMembers = new double[runs];
        IntStream.range(0, runs).parallel().forEach(run -> {
            SimulatedFleet fleet = startedFleet(run + 1);
            fleet.lossRate = lossRate;
            int stopped = (int) Math.ceil(stoppingShare * members);
            for (int i = 0; i < stopped; i++) {
                stopPeriodically(fleet, fleet.node(i));
            }
            int index = run;
            Set<Integer> failed = new HashSet<>();
            fleet.setViewListener((now, viewer, before, after) -> {
                int number = Integer.parseInt(after.name().text().substring(1));
                // Stopped members are unreachable: only verdicts about the others are false.
                if (after.state() == State.FAILED && number >= stopped) {
                    events[index]++;
                    failed.add(number);
                }
            });
            fleet.runFor(minutes * MINUTE);
            failedMembers[index] = failed.size();
        });
        double hours = runs * minutes / 60;
        return line("loss %.0f%%, stopped for 4 s and running for %.1f s by turns %.0f%%: %.1f false failures in views per hour, %.1f members ever considered failed per run (%d runs of %.0f min)",
                100 * lossRate, runningMs / SECOND, 100 * stoppingShare, Arrays.stream(events).sum() / hours, Arrays.stream(failedMembers).average().orElse(0), runs, minutes);
    }

    private void stopPeriodically(SimulatedFleet fleet, Node node) {
        fleet.schedule(fleet.random().nextDouble() * (STOPPED_MS + runningMs), new Runnable() {
            @Override
            public void run() {
                node.stop(STOPPED_MS);
                fleet.schedule(STOPPED_MS + runningMs, this);
            }
        });
    }
}
