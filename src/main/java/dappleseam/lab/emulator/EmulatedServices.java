package dappleseam.lab.emulator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.fault.ConnectionFaultInjector;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.ConnectionFault;
import dappleseam.lab.scenario.Scenario.Incident;
import dappleseam.lab.scenario.Scenario.FaultLocation;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** All emulated services that the proxies use, and the incidents that happen to them in the scenario. */
public final class EmulatedServices implements AutoCloseable {
    /** Time in ms after which the list service notices that a process has died. */
    private static final long LIST_DELAY_MS = 1500;

    private final Scenario scenario;
    private final Ledger ledger;
    private final ListEmulator list;
    private final OriginEmulator origin;
    private final List<CacheEmulator> caches = new ArrayList<>();
    private final List<Integer> cachePorts = new ArrayList<>();
    private final List<ConnectionFaultInjector> faultInjectors = new ArrayList<>();
    private final int listPort;
    private final EventSchedule schedule;

    public EmulatedServices(Scenario scenario, Ledger ledger) throws IOException {
        this.scenario = scenario;
        this.ledger = ledger;
        schedule = new EventSchedule(ledger);
        list = new ListEmulator(ledger);
        listPort = portBehindFaults(FaultLocation.LIST, list.port());
        origin = new OriginEmulator(scenario.origin(), scenario.caches(), ledger);
        list.setEntry("origin", portBehindFaults(FaultLocation.ORIGIN, origin.port()), "origin", "ready", 0);
        for (int i = 0; i < scenario.caches().count(); i++) {
            CacheEmulator cache = new CacheEmulator("cache-" + i, scenario.caches(), ledger, origin, scenario.seed() + i);
            caches.add(cache);
            cachePorts.add(portBehindFaults(FaultLocation.CACHES, cache.port()));
            list.setEntry(cache.uid(), cachePorts.get(i), "cache", "ready", 0);
        }
        origin.setCaches(caches);
        caches.forEach(EmulatedServer::startAccepting);
        origin.startAccepting();
        list.startAccepting();
    }

    /** The port at which proxies reach the given one: that of a fault injector in front of it if the scenario has faults there. */
    private int portBehindFaults(FaultLocation location, int port) throws IOException {
        List<ConnectionFault> connectionFaults = scenario.faults().stream().filter(f -> f.location() == location).toList();
        if (connectionFaults.isEmpty()) {
            return port;
        }
        ConnectionFaultInjector injector = new ConnectionFaultInjector(port, connectionFaults, scenario.seed() * 1000 + faultInjectors.size());
        faultInjectors.add(injector);
        return injector.port();
    }

    public int listPort() {
        return listPort;
    }

    /** The list as a proxy knows it at its start. */
    public ObjectNode knownList() {
        return list.fullList();
    }

    public List<ConnectionFaultInjector> faultInjectors() {
        return faultInjectors;
    }

    /** Starts the clock of the scenario's incidents. */
    public void startIncidents() {
        for (Incident incident : scenario.incidents()) {
            runAt(incident.atS(), () -> applyIncident(incident, true));
            runAt(incident.atS() + incident.forS(), () -> applyIncident(incident, false));
        }
    }

    private void runAt(double seconds, EventSchedule.Event event) {
        schedule.runIn(Math.round(seconds * 1000), event);
    }

    private void applyIncident(Incident incident, boolean begins) throws IOException {
        CacheEmulator cache = caches.get(incident.cache());
        int port = cachePorts.get(incident.cache());
        ledger.notes.add(String.format("%.2f s: %s %s %s", ledger.nowMs() / 1000, incident.kind() == Scenario.IncidentKind.LIST_OUT ? "list" : cache.uid(), incident.kind(),
                begins ? "begins" : "ends"));
        switch (incident.kind()) {
            case DIE -> {
                if (begins) {
                    cache.crash();
                    String uid = cache.uid();
                    runAt(LIST_DELAY_MS / 1000.0, () -> list.setEntry(uid, port, "cache", "gone", 0));
                } else {
                    cache.restart(cache.uid() + "+");
                    list.setEntry(cache.uid(), port, "cache", "ready", System.currentTimeMillis());
                }
            }
            case DRAIN -> {
                if (begins) {
                    list.setEntry(cache.uid(), port, "cache", "draining", 0);
                } else {
                    list.setEntry(cache.uid(), port, "cache", "gone", 0);
                    cache.crash();
                    cache.restart(cache.uid() + "+");
                    list.setEntry(cache.uid(), port, "cache", "ready", System.currentTimeMillis());
                }
            }
            case SILENT -> cache.setSilent(begins);
            case SLOW -> cache.setSlowdown(begins ? Math.max(1, incident.magnitude()) : 1);
            case ERR -> cache.setErrorShare(begins ? incident.magnitude() : 0);
            case LIST_OUT -> {
                if (begins) {
                    list.crash();
                } else {
                    list.limitCalls((int) incident.magnitude());
                    list.listenAgain();
                }
            }
            case SPOIL -> cache.setMalformedShare(begins ? incident.magnitude() : 0);
        }
    }

    @Override
    public void close() throws IOException {
        schedule.close();
        for (ConnectionFaultInjector injector : faultInjectors) {
            injector.close();
        }
        for (CacheEmulator cache : caches) {
            cache.close();
        }
        origin.close();
        list.close();
    }
}
