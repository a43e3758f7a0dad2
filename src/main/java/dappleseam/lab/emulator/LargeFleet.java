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
    public enum Day { CALM, ROLLING_REPLACEMENT, ZONE_LOST, WHOLE_LISTS }

    /** Emulators that fail together when a zone is lost. */
    private static final int LOST = 2;
    /** Times as shares of the run: when something first happens, and by when the steps of a replacement have begun. */
    private static final double FROM = 0.2;
    private static final double UP_TO = 0.8;
    private static final int STEPS = 20;
    private static final long DRAIN_MS = 800;
    private static final long AWAY_MS = 5000;
    private static final long NOTICE_MS = 1500;

    private final int nodes;
    private final ListEmulator list;
    private final OriginEmulator origin;
    private final List<CacheEmulator> caches = new ArrayList<>();
    private final Timetable steps;

    public LargeFleet(Scenario scenario, int nodes, Ledger ledger) throws IOException {
        this.nodes = nodes;
        steps = new Timetable(ledger);
        list = new ListEmulator(ledger);
        origin = new OriginEmulator(scenario.origin(), scenario.caches(), ledger);
        list.tell("origin", origin.port(), "origin", "ready", 0);
        for (int i = 0; i < scenario.caches().count(); i++) {
            caches.add(new CacheEmulator("cache-" + i, scenario.caches(), ledger, origin, scenario.seed() + i));
        }
        tell(0, nodes, "", "ready", 0);
        origin.caches(caches);
        caches.forEach(Peer::begin);
        origin.begin();
        list.begin();
    }

    /** Sets the entries of those nodes in a single change of the list. {@code suffix}: distinguishes the names of successors from those of their predecessors. */
    private void tell(int from, int to, String generation, String state, double bootMs) {
        synchronized (list) {
            for (int i = from; i < to; i++) {
                list.tell("node-" + i + generation, caches.get(i % caches.size()).port(), "cache", state, bootMs);
            }
        }
    }

    public int listPort() {
        return list.port();
    }

    /** The list as a proxy knows it at its start. */
    public ObjectNode known() {
        return list.whole();
    }

    /** Connections that the caches have accepted so far. */
    public int connectionsMade() {
        return caches.stream().mapToInt(Peer::accepted).sum();
    }

    /** Bytes of lists sent so far. */
    public long listBytes() {
        return list.bytesTold();
    }

    /** Starts a pattern of changes that takes {@code seconds}. */
    public void begin(Day day, double seconds) {
        switch (day) {
            case CALM -> { }
            case ROLLING_REPLACEMENT -> replaceHalf(seconds);
            case WHOLE_LISTS -> {
                list.tellsWhole();
                replaceHalf(seconds);
            }
            case ZONE_LOST -> loseZone(seconds);
        }
    }

    private void replaceHalf(double seconds) {
        int each = nodes / 2 / STEPS;
        for (int step = 0; step < STEPS; step++) {
            int from = step * each;
            long at = (long) (1000 * seconds * (FROM + (UP_TO - FROM) * step / STEPS));
            steps.in(at, () -> tell(from, from + each, "", "draining", 0));
            steps.in(at + DRAIN_MS, () -> {
                synchronized (list) {
                    tell(from, from + each, "", "gone", 0);
                    tell(from, from + each, "+", "ready", System.currentTimeMillis());
                }
            });
        }
    }

    private void loseZone(double seconds) {
        long at = (long) (1000 * seconds * FROM);
        steps.in(at, () -> {
            for (CacheEmulator cache : caches.subList(0, LOST)) {
                cache.die();
            }
        });
        steps.in(at + NOTICE_MS, () -> tellZone("gone", 0));
        steps.in(at + AWAY_MS, () -> {
            for (CacheEmulator cache : caches.subList(0, LOST)) {
                cache.restart(cache.uid());
            }
        });
        steps.in(at + AWAY_MS + NOTICE_MS, () -> tellZone("ready", System.currentTimeMillis()));
    }

    private void tellZone(String state, double bootMs) {
        synchronized (list) {
            for (int i = 0; i < nodes; i++) {
                if (i % caches.size() < LOST) {
                    tell(i, i + 1, "", state, bootMs);
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        steps.close();
        for (CacheEmulator cache : caches) {
            cache.close();
        }
        origin.close();
        list.close();
    }
}
