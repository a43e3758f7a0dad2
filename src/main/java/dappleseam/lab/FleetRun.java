package dappleseam.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry.State;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.check.RuleChecker;
import dappleseam.lab.emulator.EmulatedServices;
import dappleseam.lab.emulator.StoreEmulator;
import dappleseam.lab.fault.DatagramFaultInjector;
import dappleseam.lab.fleet.StallPeriods;
import dappleseam.lab.fleet.LeaseChecker;
import dappleseam.lab.fleet.PlantedFault;
import dappleseam.lab.fleet.ViewChange;
import dappleseam.lab.fleet.GroundTruth;
import dappleseam.lab.fleet.ViewChecker;
import dappleseam.lab.load.LoadGenerator;
import dappleseam.lab.proxies.PortAllocator;
import dappleseam.lab.proxies.ProxyProcess;
import dappleseam.lab.report.FleetReport;
import dappleseam.lab.report.Report;
import dappleseam.lab.scenario.FleetScenario;
import dappleseam.lab.scenario.FleetScenario.LinkFault;
import dappleseam.lab.scenario.FleetScenario.LinkEffect;
import dappleseam.lab.scenario.FleetScenario.ProcessEvent;
import dappleseam.lab.scenario.FleetScenario.ProcessEventKind;
import dappleseam.lab.scenario.FleetScenario.Takeover;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs a scenario of many proxies as real processes. Every datagram between them passes through a {@link DatagramFaultInjector}. Closing it kills all
 * processes that are left.
 */
final class FleetRun implements AutoCloseable {
    private static final double NANOS_PER_MS = 1e6;
    private static final double MS_PER_S = 1000;
    /** How often a lease holder is looked for before it is disrupted, and the time in ms between two checks. */
    private static final int MAX_HOLDER_CHECKS = 50;
    private static final long HOLDER_CHECK_INTERVAL_MS = 100;
    /** Members that each proxy is given as seeds. */
    private static final int SEED_COUNT = 2;
    /** Time in ms from spawning a process until SLOW_START stops it, which is in the middle of its start-up. */
    private static final long SLOW_START_STALL_DELAY_MS = 300;
    private static final int READY_TIMEOUT_S = 60;
    /** In membership periods: until all members know of an end; after a fault, during which failures may still be reported; until a new process is known to all. */
    private static final double DETECTION_PERIODS = 60;
    private static final double GRACE_PERIODS = 60;
    private static final double PROPAGATION_PERIODS = 10;
    /** From this number of proxies on, indirect probes bridge a single cut link, so that it justifies no failure. */
    private static final int MIN_PROXIES_FOR_INDIRECT_PROBES = 5;
    /** Delay, as a share of a membership period, from which on it counts as a fault. */
    private static final double LONG_DELAY_PERIODS = 0.2;
    /** Time in ms before the end of a cut at which it is decided whether to extend it; the longest total time as a multiple of the planned one. */
    private static final double EXTENSION_LEAD_MS = 100;
    private static final double MAX_EXTENSION_FACTOR = 3;

    private final FleetScenario scenario;
    private final boolean alone;
    /** Unique fleet name of this run, so that a concurrent run with the same member names cannot interfere. */
    private final String fleet = "lab-" + Long.toHexString(System.nanoTime()) + '-' + ProcessHandle.current().pid();
    private final String serve;
    private final Path workFolder;
    private final Ledger ledger = new Ledger();
    private final EmulatedServices services;
    private final DatagramFaultInjector links;
    private final StoreEmulator store;
    private final PortAllocator portAllocator = new PortAllocator();
    private final List<ProxySlot> slots = new ArrayList<>();
    private final Queue<ProxyInstance> instances = new ConcurrentLinkedQueue<>();
    private final Queue<String> timeline = new ConcurrentLinkedQueue<>();
    private final Queue<LeaseChecker.HolderFault> holderFaults = new ConcurrentLinkedQueue<>();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4, FleetRun::daemon);
    private final ExecutorService workers = Executors.newCachedThreadPool(FleetRun::daemon);
    private final GroundTruth groundTruth = new GroundTruth();
    private double startMs;
    private volatile boolean failed;
    private volatile boolean killed;

    /** A member's fixed addresses and configuration, whichever process currently runs there. */
    private final class ProxySlot {
        final int number;
        final ObjectNode config;
        final int clientPort;
        final int bindPort;
        final int advertisedPort;
        int spawnCount;
        ProxyInstance currentInstance;

        ProxySlot(int number) throws IOException {
            this.number = number;
            clientPort = portAllocator.allocate();
            config = ProxyProcess.config(scenario.baseScenario(), services, scenario.proxies(), number, clientPort);
            ((ObjectNode) config.get("limits")).put("memory_mb", scenario.memoryMb());
            if (scenario.listPushed()) {
                ((ObjectNode) config.get("settings")).put("membershipMode", "pushed");
            }
            bindPort = portAllocator.allocate();
            advertisedPort = links.add(number, bindPort);
        }

        Path proxyFolder() {
            return workFolder.resolve("proxy-" + number);
        }

        /** Starts a process in this slot; {@code bindTo} and {@code advertised} differ from the slot's own ports for a duplicate. */
        ProxyInstance spawn(int bindTo, int advertised, ObjectNode baseConfig) throws IOException {
            String name = "process-" + spawnCount++;
            int controlPort = portAllocator.allocate();
            ObjectNode ownConfig = baseConfig.deepCopy().put("control", "127.0.0.1:" + controlPort);
            Files.createDirectories(proxyFolder());
            ObjectNode fleetConfig = new ObjectMapper().createObjectNode().put("fleet", fleet).put("bind", "127.0.0.1:" + bindTo)
                    .put("advertise", links.host() + ":" + advertised).put("period_ms", scenario.periodMs());
            fleetConfig.put("signals", scenario.features().signals()).put("shares", scenario.features().shares()).put("turns", scenario.features().turns())
                    .put("subsets", scenario.features().subsets());
            fleetConfig.put("record", proxyFolder().resolve(name + "-views").toString());
            ArrayNode seedList = fleetConfig.putArray("seeds");
            slots.stream().limit(SEED_COUNT).forEach(slot -> seedList.add(links.host() + ":" + slot.advertisedPort));
            if (scenario.leases() != null) {
                ObjectNode leases = fleetConfig.putObject("leases").put("lease_ms", scenario.leases().leaseMs())
                        .put("list_store", "http://127.0.0.1:" + store.port() + "/last-list");
                if (scenario.leases().persistentVoters()) {
                    leases.put("voter_file", proxyFolder().resolve("voter").toString());
                }
                leases.putArray("voters").add("lab-0").add("lab-1").add("lab-2");
            }
            Path path = proxyFolder().resolve(name + "-fleet.json");
            Files.writeString(path, fleetConfig.toString());
            ProxyProcess process = new ProxyProcess(alone ? serve : serve + " --fleet " + path, proxyFolder(), ownConfig, name);
            ProxyInstance instance = new ProxyInstance(this, process, controlPort, proxyFolder().resolve(name + "-views"));
            instances.add(instance);
            if (killed) { // started while killAll() was going through the list
                process.close();
            }
            return instance;
        }
    }

    /** One proxy process and the time at which it was stopped. */
    private static final class ProxyInstance {
        final ProxySlot slot;
        final ProxyProcess process;
        final int controlPort;
        final Path recordFile;
        volatile double endedMs = Double.POSITIVE_INFINITY;
        volatile boolean shouldRun = true;

        ProxyInstance(ProxySlot slot, ProxyProcess process, int controlPort, Path recordFile) {
            this.slot = slot;
            this.process = process;
            this.controlPort = controlPort;
            this.recordFile = recordFile;
        }

        /** The process's name in lease records. */
        String recordName() {
            return "lab-" + slot.number + '/' + recordFile.getFileName();
        }

        void markStopped() {
            shouldRun = false;
            endedMs = Math.min(endedMs, nowMs());
        }
    }

    /** {@code alone}: the proxies run without a fleet, to compare the cost of being in one. */
    FleetRun(FleetScenario scenario, String serve, Path workFolder, PlantedFault planted, boolean alone) throws IOException {
        this.alone = alone;
        this.scenario = scenario;
        this.serve = serve;
        this.workFolder = workFolder;
        services = new EmulatedServices(scenario.baseScenario(), ledger);
        links = new DatagramFaultInjector(fleet, scenario.baseScenario().seed(), planted);
        store = scenario.leases() == null ? null : new StoreEmulator(scenario.leases().storeDelayMs(), planted != PlantedFault.NO_FENCE);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "rehearsal");
        thread.setDaemon(true);
        return thread;
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** A step of the run that may fail. */
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    /** A failure of the action marks the run as incomplete. */
    private Runnable recordingFailures(Action action) {
        return () -> {
            try {
                action.run();
            } catch (IOException | RuntimeException e) {
                ledger.notes.add("the run is incomplete: " + e);
                failed = true;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }

    private void addToTimeline(String what) {
        timeline.add(String.format("%8.2f s  %s", (nowMs() - startMs) / MS_PER_S, what));
    }

    /** Starts everything, runs the scenario, stops everything and checks the recorded views, leases and queries. */
    FleetReport runScenario() throws IOException, InterruptedException {
        for (int i = 0; i < scenario.proxies(); i++) {
            slots.add(new ProxySlot(i));
        }
        links.start();
        if (store != null) {
            store.open();
        }
        double spawnStartMs = nowMs();
        for (ProxySlot slot : slots) {
            slot.currentInstance = slot.spawn(slot.bindPort, slot.advertisedPort, slot.config);
        }
        for (ProxySlot slot : slots) {
            awaitReady(slot.currentInstance);
        }
        double readyMs = nowMs() - spawnStartMs;
        LoadGenerator load = new LoadGenerator(scenario.baseScenario(), ledger, slots.stream().map(s -> s.clientPort).toList());
        LatenessMonitor latenessMonitor = new LatenessMonitor(ledger);
        latenessMonitor.start();
        startMs = nowMs();
        links.setFaults(scenario.linkFaults());
        scenario.linkFaults().stream().filter(fault -> fault.effect() == LinkEffect.CUT && fault.isOneLink()).forEach(this::extendCutIfDisturbed);
        double ledgerStartMs = ledger.nowMs();
        services.startIncidents();
        scenario.linkFaults().forEach(this::recordLinkFault);
        for (ProcessEvent event : scenario.processEvents()) {
            scheduler.schedule(recordingFailures(() -> startEvent(event)), Math.round(event.atS() * MS_PER_S), TimeUnit.MILLISECONDS);
        }
        if (scenario.leases() != null) {
            scenario.leases().takeovers().forEach(this::scheduleTakeovers);
        }
        Map<ProxyInstance, Double> cpuBefore = new HashMap<>();
        instances.forEach(instance -> cpuBefore.put(instance, instance.process.cpuMs()));
        load.generate();
        double seconds = (nowMs() - startMs) / MS_PER_S;
        List<FleetReport.Cost> costs = instances.stream().map(i -> new FleetReport.Cost((i.process.cpuMs() - cpuBefore.getOrDefault(i, Double.NaN)) / seconds, i.process.residentMb()))
                .filter(cost -> !Double.isNaN(cost.cpuMsPerS()) && !Double.isNaN(cost.residentMb())).toList();
        double settleEndMs = startMs + MS_PER_S * (scenario.faultsEndS() + scenario.settleS());
        Thread.sleep((long) Math.max(0, settleEndMs - nowMs()));
        double settledMs = nowMs();
        for (ProxyInstance instance : instances) {
            if (instance.shouldRun && !instance.process.isAlive()) {
                ledger.notes.add("a proxy crashed: the run is incomplete");
            }
        }
        stopAllGracefully();
        latenessMonitor.interrupt();
        ViewChecker.Records records = new ViewChecker.Records();
        List<LeaseChecker.LeaseRecord> leaseRecords = new ArrayList<>();
        for (ProxyInstance instance : instances) {
            collectRecords(instance, records, leaseRecords);
        }
        double period = scenario.periodMs();
        List<ViewChecker.Breach> breaches = ViewChecker.check(groundTruth, records, new ViewChecker.Bounds(DETECTION_PERIODS * period, GRACE_PERIODS * period,
                settledMs, PROPAGATION_PERIODS * period));
        links.close();
        Report baseReport = new Report(scenario.baseScenario(), ledger, load, RuleChecker.check(scenario.baseScenario(), ledger, false), 0, 0);
        return new FleetReport(scenario, baseReport, groundTruth, records.viewChanges(), breaches, List.copyOf(timeline), startMs, settledMs, readyMs, links, !failed,
                LeaseChecker.check(leaseRecords.stream().filter(l -> l.ms() <= settledMs).toList()), List.copyOf(holderFaults),
                store == null ? List.of() : List.copyOf(store.writes()), ledger, ledgerStartMs, costs);
    }

    private void stopAllGracefully() throws InterruptedException {
        List<Future<?>> stops = new ArrayList<>();
        for (ProxyInstance instance : instances) {
            if (instance.shouldRun) {
                stops.add(workers.submit(recordingFailures(() -> {
                    if (!instance.process.stop()) {
                        ledger.notes.add("a proxy did not exit on SIGTERM");
                    }
                })));
            }
        }
        for (Future<?> stop : stops) {
            try {
                stop.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private void awaitReady(ProxyInstance instance) throws IOException, InterruptedException {
        if (!instance.process.awaitInService(instance.controlPort, READY_TIMEOUT_S)) {
            throw new IOException("proxy " + instance.slot.number + " was not ready in " + READY_TIMEOUT_S + " s");
        }
    }

    /**
     * Extends the cut of a single link until both its ends have run without a stall for the time that the scenario asks for. On a busy machine the stalls
     * would otherwise hide what the cut is to show.
     */
    private void extendCutIfDisturbed(LinkFault fault) {
        double fromMs = startMs + fault.atS() * MS_PER_S;
        scheduleCutCheck(fault, fromMs, fault.forS() * MS_PER_S, fromMs + MAX_EXTENSION_FACTOR * fault.forS() * MS_PER_S);
    }

    private void scheduleCutCheck(LinkFault fault, double fromMs, double wantedMs, double latestEndMs) {
        double endMs = startMs + (fault.atS() + fault.forS()) * MS_PER_S;
        scheduler.schedule(recordingFailures(() -> {
            double now = nowMs();
            double undisturbedMs = now - fromMs - Math.max(stalledMs(fault.from(), fromMs, now), stalledMs(fault.to(), fromMs, now));
            double missingMs = Math.min(wantedMs - undisturbedMs, latestEndMs - endMs);
            if (missingMs > EXTENSION_LEAD_MS) {
                addToTimeline(String.format(Locale.ROOT, "the cut %s %s is extended by %.1f s: its endpoints were stalled", fault.from(), fault.to(), missingMs / MS_PER_S));
                scheduleCutCheck(links.extendFault(fault, missingMs / MS_PER_S), fromMs, wantedMs, latestEndMs);
            }
        }), Math.round(Math.max(0, endMs - EXTENSION_LEAD_MS - nowMs())), TimeUnit.MILLISECONDS);
    }

    /** Time during which a current process of those slots was stalled, or had low local health because of that, by their own records. */
    private double stalledMs(Set<Integer> numbers, double fromMs, double toMs) throws IOException {
        StallPeriods stalls = new StallPeriods(Membership.STALL_GRACE_PERIODS * scenario.periodMs());
        for (int number : numbers) {
            for (JsonNode line : readRecord(slots.get(number).currentInstance)) {
                if (line.has("stood_still")) {
                    stalls.addStall(line.path("ms").asDouble(), line.path("stood_still").asDouble());
                }
            }
        }
        return stalls.overlapMs(fromMs, toMs);
    }

    /** Tells the checker of a link fault that may legitimately cause failures. */
    private void recordLinkFault(LinkFault fault) {
        double from = startMs + MS_PER_S * fault.atS();
        double to = from + MS_PER_S * fault.forS();
        boolean isBridgedByProbes = fault.isOneLink() && scenario.proxies() >= MIN_PROXIES_FOR_INDIRECT_PROBES;
        boolean isHarmless = fault.effect() == LinkEffect.DOUBLE || (fault.effect() == LinkEffect.DELAY || fault.effect() == LinkEffect.REORDER)
                && fault.magnitude() < LONG_DELAY_PERIODS * scenario.periodMs();
        if (isHarmless || isBridgedByProbes) {
            return;
        }
        if (fault.from().isEmpty() == fault.to().isEmpty() ) {
            groundTruth.addFault(null, from, to);
        } else {
            (fault.from().isEmpty() ? fault.to() : fault.from()).forEach(n -> groundTruth.addFault("lab-" + n, from, to));
        }
    }

    private void scheduleTakeovers(Takeover takeover) {
        for (int i = 0; i < takeover.times(); i++) {
            scheduler.schedule(() -> workers.execute(recordingFailures(() -> disruptHolder(takeover))), Math.round((takeover.atS() + i * takeover.everyS()) * MS_PER_S), TimeUnit.MILLISECONDS);
        }
    }

    /** Disrupts the process that holds the lease according to the processes' own records; does nothing if there is none. */
    private void disruptHolder(Takeover takeover) throws IOException, InterruptedException {
        ProxyInstance holder = awaitHolder();
        if (holder == null) {
            addToTimeline(takeover.disruption() + " of the holder: no process holds the lease");
            return;
        }
        ProxySlot slot = holder.slot;
        addToTimeline(takeover.disruption() + " of the holder, proxy " + slot.number);
        holderFaults.add(new LeaseChecker.HolderFault(takeover.disruption().name().toLowerCase(Locale.ROOT), nowMs(), holder.recordName()));
        switch (takeover.disruption()) {
            case KILL -> applyEvent(new ProcessEvent(0, takeover.forS(), ProcessEventKind.RESTART, Set.of()), slot);
            case STOP -> applyEvent(new ProcessEvent(0, takeover.forS(), ProcessEventKind.STOP, Set.of()), slot);
            case UPGRADE -> applyEvent(new ProcessEvent(0, takeover.forS(), ProcessEventKind.UPGRADE, Set.of()), slot);
            case CUT -> {
                groundTruth.addFault("lab-" + slot.number, nowMs(), nowMs() + takeover.forS() * MS_PER_S);
                links.isolate(slot.number, takeover.forS());
            }
            case END -> {
                ledger.markDown(slot.clientPort);
                holder.process.stop();
                holder.markStopped(); // not before its exit: until then it answers and may hold the lease
                links.setReachable(slot.advertisedPort, false);
                restartAfter(slot, takeover.forS());
            }
        }
    }

    /** Waits for a holder, as a busy machine may need seconds until the first lease; null if there is none in time. */
    private ProxyInstance awaitHolder() throws IOException, InterruptedException {
        ProxyInstance holder = findHolder();
        for (int tries = 0; holder == null && tries < MAX_HOLDER_CHECKS; tries++) {
            Thread.sleep(HOLDER_CHECK_INTERVAL_MS);
            holder = findHolder();
        }
        return holder;
    }

    private ProxyInstance findHolder() throws IOException {
        for (ProxyInstance instance : instances) {
            boolean runs = instance.shouldRun && instance == instance.slot.currentInstance;
            LeaseChecker.LeaseRecord last = null;
            for (JsonNode one : runs ? readRecord(instance) : List.<JsonNode>of()) {
                last = isLeaseLine(one) ? parseLeaseLine(instance, one) : last;
            }
            if (last != null && last.untilMs() > nowMs()) { // false for a lost lease, whose untilMs is NaN
                return instance;
            }
        }
        return null;
    }

    private void startEvent(ProcessEvent event) {
        addToTimeline(event.kind() + " " + event.proxies() + (event.forS() > 0 ? " for " + event.forS() + " s" : ""));
        for (int number : event.proxies()) {
            workers.execute(recordingFailures(() -> applyEvent(event, slots.get(number))));
        }
    }

    private void applyEvent(ProcessEvent event, ProxySlot slot) throws IOException, InterruptedException {
        ProxyInstance instance = slot.currentInstance;
        String name = "lab-" + slot.number;
        double now = nowMs();
        switch (event.kind()) {
            case KILL -> kill(slot);
            case END -> {
                ledger.markDraining(slot.clientPort);
                instance.markStopped();
                instance.process.stop();
                links.setReachable(slot.advertisedPort, false);
            }
            case RESTART -> {
                kill(slot);
                restartAfter(slot, event.forS());
            }
            case SLOW_START -> {
                kill(slot);
                startFresh(slot);
                Thread.sleep(SLOW_START_STALL_DELAY_MS);
                groundTruth.addFault(name, now, now + SLOW_START_STALL_DELAY_MS + event.forS() * MS_PER_S);
                slot.currentInstance.process.signal("STOP");
                runAfter(event.forS(), () -> {
                    slot.currentInstance.process.signal("CONT");
                    awaitReady(slot.currentInstance);
                    ledger.markUp(slot.clientPort);
                });
            }
            case STOP -> {
                groundTruth.addFault(name, now, now + event.forS() * MS_PER_S);
                ledger.markDown(slot.clientPort);
                instance.process.signal("STOP");
                runAfter(event.forS(), () -> {
                    instance.process.signal("CONT");
                    ledger.markUp(slot.clientPort);
                });
            }
            case UPGRADE -> {
                ProxyInstance next = slot.spawn(slot.bindPort, slot.advertisedPort, slot.config);
                awaitReady(next);
                slot.currentInstance = next;
                instance.markStopped();
                instance.process.stop();
            }
            case TWIN -> {
                ObjectNode duplicateConfig = ProxyProcess.config(scenario.baseScenario(), services, scenario.proxies(), slot.number, portAllocator.allocate());
                int bindTo = portAllocator.allocate();
                int advertised = links.addWhileRunning(slot.number, bindTo);
                groundTruth.addFault(name, now, now + event.forS() * MS_PER_S);
                ProxyInstance duplicate = slot.spawn(bindTo, advertised, duplicateConfig);
                runAfter(event.forS(), () -> {
                    duplicate.markStopped();
                    duplicate.process.close();
                    links.setReachable(advertised, false);
                });
            }
        }
    }

    /** Starts a new process without saved state after that time; clients use it once it is ready. */
    private void restartAfter(ProxySlot slot, double afterS) {
        runAfter(afterS, () -> {
            startFresh(slot);
            awaitReady(slot.currentInstance);
            ledger.markUp(slot.clientPort);
        });
    }

    private void runAfter(double seconds, Action action) {
        scheduler.schedule(() -> workers.execute(recordingFailures(action)), Math.round(seconds * MS_PER_S), TimeUnit.MILLISECONDS);
    }

    private void kill(ProxySlot slot) throws InterruptedException {
        ledger.markDown(slot.clientPort);
        slot.currentInstance.markStopped();
        slot.currentInstance.process.close();
        slot.currentInstance.process.awaitExit();
        links.setReachable(slot.advertisedPort, false);
    }

    /** Starts a new process without saved state, as on a machine whose disk is not persistent. */
    private void startFresh(ProxySlot slot) throws IOException {
        Path tmp = slot.proxyFolder().resolve("tmp");
        try (var files = Files.walk(tmp)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        links.setReachable(slot.advertisedPort, true);
        slot.currentInstance = slot.spawn(slot.bindPort, slot.advertisedPort, slot.config);
    }

    /** The lines of a process's own record. */
    private static List<JsonNode> readRecord(ProxyInstance instance) throws IOException {
        List<JsonNode> lines = new ArrayList<>();
        ObjectMapper json = new ObjectMapper();
        for (String line : Files.exists(instance.recordFile) ? Files.readAllLines(instance.recordFile) : List.<String>of()) {
            try {
                lines.add(json.readTree(line));
            } catch (IOException e) {
                continue; // the process was killed while it wrote the line
            }
        }
        return lines;
    }

    private static boolean isLeaseLine(JsonNode line) {
        return line.has("held") || line.has("lost");
    }

    private static LeaseChecker.LeaseRecord parseLeaseLine(ProxyInstance instance, JsonNode line) {
        boolean held = line.has("held");
        return new LeaseChecker.LeaseRecord(instance.recordName(), line.path(held ? "held" : "lost").asText(), line.path("round").asLong(), line.path("ms").asDouble(),
                held ? line.path("until").asDouble() : Double.NaN, instance.endedMs);
    }

    /** Sorts the lines of a process's own record into the checkers' inputs. */
    private void collectRecords(ProxyInstance instance, ViewChecker.Records records, List<LeaseChecker.LeaseRecord> leaseRecords) throws IOException {
        long viewer = 0;
        for (JsonNode one : readRecord(instance)) {
            double ms = one.path("ms").asDouble();
            if (one.has("began")) {
                viewer = one.path("nonce").asLong();
                groundTruth.processStarted(one.path("began").asText(), viewer, ms, instance.endedMs);
            } else if (one.has("saw")) {
                records.viewChanges().add(new ViewChange(ms, viewer, one.path("saw").asText(), one.path("nonce").asLong(), one.path("incarnation").asInt(),
                        State.valueOf(one.path("state").asText())));
            } else if (isLeaseLine(one)) {
                leaseRecords.add(parseLeaseLine(instance, one));
            } else if (one.has("share")) {
                records.shareDivisors().add(new ViewChecker.Divisor(ms, viewer, 1 / one.path("share").asDouble()));
            } else if (one.has("cache")) {
                records.verdicts().add(new ViewChecker.CacheVerdict(ms, viewer, ViewChecker.Verdict.valueOf(one.path("verdict").asText()), one.path("cache").asText()));
            } else if (one.has("counted")) {
                records.fleetSizes().add(new ViewChecker.Divisor(ms, viewer, one.path("counted").asInt()));
            }
        }
    }

    /** Kills all processes, and those that are just being started. */
    void killAll() {
        killed = true;
        instances.forEach(i -> i.process.close());
    }

    @Override
    public void close() throws IOException {
        scheduler.shutdownNow();
        workers.shutdownNow();
        killAll();
        links.close();
        if (store != null) {
            store.close();
        }
        services.close();
        portAllocator.close();
    }
}
