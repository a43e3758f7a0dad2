package dappleseam.lab.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.fault.FaultTool;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Fault;
import dappleseam.lab.scenario.Scenario.Trouble;
import dappleseam.lab.scenario.Scenario.Where;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** All emulated services that the proxies use, and the incidents that happen to them in the scenario. */
public final class Fleet implements AutoCloseable {
    /** Time in ms after which the list service notices that a process has died. */
    private static final long NOTICE_MS = 1500;

    private final Scenario scenario;
    private final Ledger ledger;
    private final ListEmulator list;
    private final OriginEmulator origin;
    private final List<CacheEmulator> caches = new ArrayList<>();
    private final List<Integer> reachedAt = new ArrayList<>();
    private final List<FaultTool> tools = new ArrayList<>();
    private final int listPort;
    private final Timetable troubles;

    public Fleet(Scenario scenario, Ledger ledger) throws IOException {
        this.scenario = scenario;
        this.ledger = ledger;
        troubles = new Timetable(ledger);
        list = new ListEmulator(ledger);
        listPort = through(Where.LIST, list.port());
        origin = new OriginEmulator(scenario.origin(), scenario.caches(), ledger);
        list.tell("origin", through(Where.ORIGIN, origin.port()), "origin", "ready", 0);
        for (int i = 0; i < scenario.caches().count(); i++) {
            CacheEmulator cache = new CacheEmulator("cache-" + i, scenario.caches(), ledger, origin, scenario.seed() + i);
            caches.add(cache);
            reachedAt.add(through(Where.CACHES, cache.port()));
            list.tell(cache.uid(), reachedAt.get(i), "cache", "ready", 0);
        }
        origin.caches(caches);
        caches.forEach(Peer::begin);
        origin.begin();
        list.begin();
    }

    /** The port at which proxies reach the given one: that of a fault injector in front of it if the scenario has faults there. */
    private int through(Where where, int port) throws IOException {
        List<Fault> script = scenario.faults().stream().filter(f -> f.where() == where).toList();
        if (script.isEmpty()) {
            return port;
        }
        FaultTool tool = new FaultTool(port, script, scenario.seed() * 1000 + tools.size());
        tools.add(tool);
        return tool.port();
    }

    public int listPort() {
        return listPort;
    }

    /** The list as a proxy knows it at its start. */
    public ObjectNode known() {
        return list.whole();
    }

    public List<FaultTool> tools() {
        return tools;
    }

    /** Starts the clock of the scenario's incidents. */
    public void begin() {
        for (Trouble trouble : scenario.troubles()) {
            at(trouble.atS(), () -> set(trouble, true));
            at(trouble.atS() + trouble.forS(), () -> set(trouble, false));
        }
    }

    private void at(double seconds, Timetable.Event trouble) {
        troubles.in(Math.round(seconds * 1000), trouble);
    }

    private void set(Trouble trouble, boolean begins) throws IOException {
        CacheEmulator cache = caches.get(trouble.cache());
        int port = reachedAt.get(trouble.cache());
        ledger.notes.add(String.format("%.2f s: %s %s %s", ledger.nowMs() / 1000, trouble.kind() == Scenario.Kind.LIST_OUT ? "list" : cache.uid(), trouble.kind(),
                begins ? "begins" : "ends"));
        switch (trouble.kind()) {
            case DIE -> {
                if (begins) {
                    cache.die();
                    String uid = cache.uid();
                    at(NOTICE_MS / 1000.0, () -> list.tell(uid, port, "cache", "gone", 0));
                } else {
                    cache.restart(cache.uid() + "+");
                    list.tell(cache.uid(), port, "cache", "ready", System.currentTimeMillis());
                }
            }
            case DRAIN -> {
                if (begins) {
                    list.tell(cache.uid(), port, "cache", "draining", 0);
                } else {
                    list.tell(cache.uid(), port, "cache", "gone", 0);
                    cache.die();
                    cache.restart(cache.uid() + "+");
                    list.tell(cache.uid(), port, "cache", "ready", System.currentTimeMillis());
                }
            }
            case SILENT -> cache.silent(begins);
            case SLOW -> cache.slower(begins ? Math.max(1, trouble.size()) : 1);
            case ERR -> cache.errs(begins ? trouble.size() : 0);
            case LIST_OUT -> {
                if (begins) {
                    list.die();
                } else {
                    list.bears((int) trouble.size());
                    list.comeBack();
                }
            }
            case SPOIL -> cache.spoils(begins ? trouble.size() : 0);
        }
    }

    @Override
    public void close() throws IOException {
        troubles.close();
        for (FaultTool tool : tools) {
            tool.close();
        }
        for (CacheEmulator cache : caches) {
            cache.close();
        }
        origin.close();
        list.close();
    }
}
