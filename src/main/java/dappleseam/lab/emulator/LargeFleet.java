package dappleseam.lab.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.scenario.Scenario;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A list of many caches that are served by a few emulators, as only the cost of each listed cache for a proxy is measured. */
public final class LargeFleet implements AutoCloseable {
    /** What happens to the caches during a run. */
    public enum ChurnPattern { CALM, ROLLING_REPLACEMENT, ZONE_LOST, WHOLE_LISTS }

    /** Emulators that fail together when a zone is lost. */
    private static final int LOST_EMULATORS = 2;
    /** Times as shares of the run: when something first happens, and by when the steps of a replacement have begun. */
    private static final double START_SHARE = 0.2;
    private static final double LAST_STEP_SHARE = 0.8;
    private static final int REPLACEMENT_STEPS = 20;
    private static final long DRAIN_MS = 800;
    private static final long OUTAGE_MS = 5000;
    private static final long LIST_DELAY_MS = 1500;

    private final int nodes;
    private final ListEmulator list;
    private final OriginEmulator origin;
    private final List<CacheEmulator> caches = new ArrayList<>();
    private final EventSchedule schedule;

    public LargeFleet(Scenario scenario, int nodes, Ledger ledger) throws IOException {
        this.nodes = nodes;
        schedule = new EventSchedule(ledger);
        list = new ListEmulator(ledger);
        origin = new OriginEmulator(scenario.origin(), scenario.caches(), ledger);
        list.setEntry("origin", origin.port(), "origin", "ready", 0);
        for (int i = 0; i < scenario.caches().count(); i++) {
            caches.add(new CacheEmulator("cache-" + i, scenario.caches(), ledger, origin, scenario.seed() + i));
        }
        setNodes(0, nodes, "", "ready", 0);
        origin.setCaches(caches);
        caches.forEach(EmulatedServer::startAccepting);
        origin.startAccepting();
        list.startAccepting();
    }

    /** Sets the entries of those nodes in a single change of the list. {@code suffix}: distinguishes the names of successors from those of their predecessors. */
    private void setNodes(int from, int to, String suffix, String state, double bootMs) {
        synchronized (list) {
            for (int i = from; i < to; i++) {
                list.setEntry("node-" + i + suffix, caches.get(i % caches.size()).port(), "cache", state, bootMs);
            }
        }
    }

    public int listPort() {
        return list.port();
    }

    /** The list as a proxy knows it at its start. */
    public ObjectNode knownList() {
        return list.fullList();
    }

    /** Connections that the caches have accepted so far. */
    public int connectionsMade() {
        return caches.stream().mapToInt(EmulatedServer::acceptedCount).sum();
    }

    /** Bytes of lists sent so far. */
    public long listBytes() {
        return list.bytesSent();
    }

    /** Starts a pattern of changes that takes {@code seconds}. */
    public void startChurn(ChurnPattern pattern, double seconds) {
        switch (pattern) {
            case CALM -> { }
            case ROLLING_REPLACEMENT -> replaceHalf(seconds);
            case WHOLE_LISTS -> {
                list.sendFullListsOnly();
                replaceHalf(seconds);
            }
            case ZONE_LOST -> loseZone(seconds);
        }
    }

    private void replaceHalf(double seconds) {
        int each = nodes / 2 / REPLACEMENT_STEPS;
        for (int step = 0; step < REPLACEMENT_STEPS; step++) {
            int from = step * each;
            long at = (long) (1000 * seconds * (START_SHARE + (LAST_STEP_SHARE - START_SHARE) * step / REPLACEMENT_STEPS));
            schedule.runIn(at, () -> setNodes(from, from + each, "", "draining", 0));
            schedule.runIn(at + DRAIN_MS, () -> {
                synchronized (list) {
                    setNodes(from, from + each, "", "gone", 0);
                    setNodes(from, from + each, "+", "ready", System.currentTimeMillis());
                }
            });
        }
    }

    private void loseZone(double seconds) {
        long at = (long) (1000 * seconds * START_SHARE);
        schedule.runIn(at, () -> {
            for (CacheEmulator cache : caches.subList(0, LOST_EMULATORS)) {
                cache.crash();
            }
        });
        schedule.runIn(at + LIST_DELAY_MS, () -> setLostNodes("gone", 0));
        schedule.runIn(at + OUTAGE_MS, () -> {
            for (CacheEmulator cache : caches.subList(0, LOST_EMULATORS)) {
                cache.restart(cache.uid());
            }
        });
        schedule.runIn(at + OUTAGE_MS + LIST_DELAY_MS, () -> setLostNodes("ready", System.currentTimeMillis()));
    }

    private void setLostNodes(String state, double bootMs) {
        synchronized (list) {
            for (int i = 0; i < nodes; i++) {
                if (i % caches.size() < LOST_EMULATORS) {
                    setNodes(i, i + 1, "", state, bootMs);
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        schedule.close();
        for (CacheEmulator cache : caches) {
            cache.close();
        }
        origin.close();
        list.close();
    }
}
