package dappleseam.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry.State;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.check.RuleChecker;
import dappleseam.lab.emulator.Fleet;
import dappleseam.lab.emulator.StoreEmulator;
import dappleseam.lab.fault.LinkTool;
import dappleseam.lab.fleet.Disturbances;
import dappleseam.lab.fleet.LeaseChecker;
import dappleseam.lab.fleet.Planted;
import dappleseam.lab.fleet.Sight;
import dappleseam.lab.fleet.Truth;
import dappleseam.lab.fleet.ViewChecker;
import dappleseam.lab.load.LoadTool;
import dappleseam.lab.proxies.Ports;
import dappleseam.lab.proxies.ProxyProcess;
import dappleseam.lab.report.FleetReport;
import dappleseam.lab.report.Report;
import dappleseam.lab.scenario.FleetScenario;
import dappleseam.lab.scenario.FleetScenario.LinkFault;
import dappleseam.lab.scenario.FleetScenario.LinkHow;
import dappleseam.lab.scenario.FleetScenario.ProcessEvent;
import dappleseam.lab.scenario.FleetScenario.ProcessKind;
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
    private static final int HOLDER_TRIES = 50;
    private static final long HOLDER_AGAIN_MS = 100;
    /** Members that each proxy is given as seeds. */
    private static final int SEEDS = 2;
    /** Time in ms from spawning a process until SLOW_START stops it, which is in the middle of its start-up. */
    private static final long SLOW_FROM_MS = 300;
    private static final int READY_S = 60;
    /** In membership periods: until all members know of an end; after a fault, during which failures may still be reported; until a new process is known to all. */
    private static final double LATE_PERIODS = 60;
    private static final double GRACE_PERIODS = 60;
    private static final double RUMOUR_PERIODS = 10;
    /** From this number of proxies on, indirect probes bridge a single cut link, so that it justifies no failure. */
    private static final int ENOUGH_TO_HELP = 5;
    /** Delay, as a share of a membership period, from which on it counts as a fault. */
    private static final double LONG_DELAY = 0.2;
    /** Time in ms before the end of a cut at which it is decided whether to extend it; the longest total time as a multiple of the planned one. */
    private static final double PROLONG_LEAD_MS = 100;
    private static final double MOST_PROLONGED = 3;

    private final FleetScenario scenario;
    private final boolean alone;
    /** Unique fleet name of this run, so that a concurrent run with the same member names cannot interfere. */
    private final String fleet = "lab-" + Long.toHexString(System.nanoTime()) + '-' + ProcessHandle.current().pid();
    private final String serve;
    private final Path home;
    private final Ledger ledger = new Ledger();
    private final Fleet peers;
    private final LinkTool links;
    private final StoreEmulator store;
    private final Ports ports = new Ports();
    private final List<Seat> seats = new ArrayList<>();
    private final Queue<Instance> instances = new ConcurrentLinkedQueue<>();
    private final Queue<String> timeline = new ConcurrentLinkedQueue<>();
    private final Queue<LeaseChecker.Hit> hits = new ConcurrentLinkedQueue<>();
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(4, FleetRun::daemon);
    private final ExecutorService hands = Executors.newCachedThreadPool(FleetRun::daemon);
    private final Truth truth = new Truth();
    private double beganMs;
    private volatile boolean failed;
    private volatile boolean stopped;

    /** A member's fixed addresses and configuration, whichever process currently runs there. */
    private final class Seat {
        final int number;
        final ObjectNode config;
        final int clients;
        final int bindPort;
        final int reachedAt;
        int processes;
        Instance now;

        Seat(int number) throws IOException {
            this.number = number;
            clients = ports.take();
            config = ProxyProcess.config(scenario.play(), peers, scenario.proxies(), number, clients);
            ((ObjectNode) config.get("limits")).put("memory_mb", scenario.memoryMb());
            if (scenario.listPushed()) {
                ((ObjectNode) config.get("settings")).put("membershipMode", "pushed");
            }
            bindPort = ports.take();
            reachedAt = links.add(number, bindPort);
        }

        Path home() {
            return home.resolve("proxy-" + number);
        }

        /** Starts a process in this slot; {@code bindTo} and {@code advertised} differ from the slot's own ports for a duplicate. */
        Instance spawn(int bind, int reached, ObjectNode told) throws IOException {
            String name = "process-" + processes++;
            int control = ports.take();
            ObjectNode own = told.deepCopy().put("control", "127.0.0.1:" + control);
            Files.createDirectories(home());
            ObjectNode file = new ObjectMapper().createObjectNode().put("fleet", fleet).put("bind", "127.0.0.1:" + bind)
                    .put("advertise", links.host() + ":" + reached).put("period_ms", scenario.periodMs());
            file.put("signals", scenario.choices().signals()).put("shares", scenario.choices().shares()).put("turns", scenario.choices().turns())
                    .put("subsets", scenario.choices().subsets());
            file.put("record", home().resolve(name + "-views").toString());
            ArrayNode known = file.putArray("seeds");
            seats.stream().limit(SEEDS).forEach(seat -> known.add(links.host() + ":" + seat.reachedAt));
            if (scenario.leases() != null) {
                ObjectNode leases = file.putObject("leases").put("lease_ms", scenario.leases().leaseMs())
                        .put("list_store", "http://127.0.0.1:" + store.port() + "/last-list");
                if (scenario.leases().disks()) {
                    leases.put("voter_file", home().resolve("voter").toString());
                }
                leases.putArray("voters").add("lab-0").add("lab-1").add("lab-2");
            }
            Path path = home().resolve(name + "-fleet.json");
            Files.writeString(path, file.toString());
            ProxyProcess process = new ProxyProcess(alone ? serve : serve + " --fleet " + path, home(), own, name);
            Instance instance = new Instance(this, process, control, home().resolve(name + "-views"));
            instances.add(instance);
            if (stopped) { // started while killAll() was going through the list
                process.close();
            }
            return instance;
        }
    }

    /** One proxy process and the time at which it was stopped. */
    private static final class Instance {
        final Seat seat;
        final ProxyProcess process;
        final int control;
        final Path views;
        volatile double endedMs = Double.POSITIVE_INFINITY;
        volatile boolean shouldRun = true;

        Instance(Seat seat, ProxyProcess process, int control, Path views) {
            this.seat = seat;
            this.process = process;
            this.control = control;
            this.views = views;
        }

        /** The process's name in lease records. */
        String title() {
            return "lab-" + seat.number + '/' + views.getFileName();
        }

        void down() {
            shouldRun = false;
            endedMs = Math.min(endedMs, nowMs());
        }
    }

    /** {@code alone}: the proxies run without a fleet, to compare the cost of being in one. */
    FleetRun(FleetScenario scenario, String serve, Path home, Planted planted, boolean alone) throws IOException {
        this.alone = alone;
        this.scenario = scenario;
        this.serve = serve;
        this.home = home;
        peers = new Fleet(scenario.play(), ledger);
        links = new LinkTool(fleet, scenario.play().seed(), planted);
        store = scenario.leases() == null ? null : new StoreEmulator(scenario.leases().storeLateMs(), planted != Planted.NO_FENCE);
    }

    private static Thread daemon(Runnable work) {
        Thread thread = new Thread(work, "rehearsal");
        thread.setDaemon(true);
        return thread;
    }

    private static double nowMs() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    /** A step of the run that may fail. */
    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    /** A failure of the action marks the run as incomplete. */
    private Runnable safely(Work work) {
        return () -> {
            try {
                work.run();
            } catch (IOException | RuntimeException e) {
                ledger.notes.add("the run is incomplete: " + e);
                failed = true;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }

    private void note(String what) {
        timeline.add(String.format("%8.2f s  %s", (nowMs() - beganMs) / MS_PER_S, what));
    }

    /** Starts everything, runs the scenario, stops everything and checks the recorded views, leases and queries. */
    FleetReport play() throws IOException, InterruptedException {
        for (int i = 0; i < scenario.proxies(); i++) {
            seats.add(new Seat(i));
        }
        links.start();
        if (store != null) {
            store.open();
        }
        double spawned = nowMs();
        for (Seat seat : seats) {
            seat.now = seat.spawn(seat.bindPort, seat.reachedAt, seat.config);
        }
        for (Seat seat : seats) {
            awaitReady(seat.now);
        }
        double readyMs = nowMs() - spawned;
        LoadTool load = new LoadTool(scenario.play(), ledger, seats.stream().map(s -> s.clients).toList());
        Metronome metronome = new Metronome(ledger);
        metronome.start();
        beganMs = nowMs();
        links.play(scenario.links());
        scenario.links().stream().filter(fault -> fault.how() == LinkHow.CUT && fault.isOneLink()).forEach(this::watchCut);
        double playMs = ledger.nowMs();
        peers.begin();
        scenario.links().forEach(this::mark);
        for (ProcessEvent event : scenario.processes()) {
            clock.schedule(safely(() -> begin(event)), Math.round(event.atS() * MS_PER_S), TimeUnit.MILLISECONDS);
        }
        if (scenario.leases() != null) {
            scenario.leases().takeovers().forEach(this::plan);
        }
        Map<Instance, Double> cpuBefore = new HashMap<>();
        instances.forEach(instance -> cpuBefore.put(instance, instance.process.cpuMs()));
        load.play();
        double seconds = (nowMs() - beganMs) / MS_PER_S;
        List<FleetReport.Cost> costs = instances.stream().map(i -> new FleetReport.Cost((i.process.cpuMs() - cpuBefore.getOrDefault(i, Double.NaN)) / seconds, i.process.residentMb()))
                .filter(cost -> !Double.isNaN(cost.cpuMsPerS()) && !Double.isNaN(cost.residentMb())).toList();
        double settled = beganMs + MS_PER_S * (scenario.troublesEndS() + scenario.settleS());
        Thread.sleep((long) Math.max(0, settled - nowMs()));
        double settledMs = nowMs();
        for (Instance instance : instances) {
            if (instance.shouldRun && !instance.process.isAlive()) {
                ledger.notes.add("a proxy crashed: the run is incomplete");
            }
        }
        endAll();
        metronome.interrupt();
        ViewChecker.Records records = new ViewChecker.Records();
        List<LeaseChecker.Line> leases = new ArrayList<>();
        for (Instance instance : instances) {
            read(instance, records, leases);
        }
        double period = scenario.periodMs();
        List<ViewChecker.Breach> broken = ViewChecker.check(truth, records, new ViewChecker.Bounds(LATE_PERIODS * period, GRACE_PERIODS * period,
                settledMs, RUMOUR_PERIODS * period));
        links.close();
        Report played = new Report(scenario.play(), ledger, load, RuleChecker.check(scenario.play(), ledger, false), 0, 0);
        return new FleetReport(scenario, played, truth, records.sights(), broken, List.copyOf(timeline), beganMs, settledMs, readyMs, links, !failed,
                LeaseChecker.check(leases.stream().filter(l -> l.ms() <= settledMs).toList()), List.copyOf(hits),
                store == null ? List.of() : List.copyOf(store.writes()), ledger, playMs, costs);
    }

    private void endAll() throws InterruptedException {
        List<Future<?>> ends = new ArrayList<>();
        for (Instance instance : instances) {
            if (instance.shouldRun) {
                ends.add(hands.submit(safely(() -> {
                    if (!instance.process.end()) {
                        ledger.notes.add("a proxy did not exit on SIGTERM");
                    }
                })));
            }
        }
        for (Future<?> end : ends) {
            try {
                end.get();
            } catch (ExecutionException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private void awaitReady(Instance instance) throws IOException, InterruptedException {
        if (!instance.process.awaitYes(instance.control, READY_S)) {
            throw new IOException("proxy " + instance.seat.number + " was not ready in " + READY_S + " s");
        }
    }

    /**
     * Extends the cut of a single link until both its ends have run without a stall for the time that the scenario asks for. On a busy machine the stalls
     * would otherwise hide what the cut is to show.
     */
    private void watchCut(LinkFault fault) {
        double fromMs = beganMs + fault.atS() * MS_PER_S;
        lookAtCut(fault, fromMs, fault.forS() * MS_PER_S, fromMs + MOST_PROLONGED * fault.forS() * MS_PER_S);
    }

    private void lookAtCut(LinkFault fault, double fromMs, double wantedMs, double mostUntilMs) {
        double endMs = beganMs + (fault.atS() + fault.forS()) * MS_PER_S;
        clock.schedule(safely(() -> {
            double now = nowMs();
            double undisturbed = now - fromMs - Math.max(disturbedMs(fault.from(), fromMs, now), disturbedMs(fault.to(), fromMs, now));
            double more = Math.min(wantedMs - undisturbed, mostUntilMs - endMs);
            if (more > PROLONG_LEAD_MS) {
                note(String.format(Locale.ROOT, "the cut %s %s is extended by %.1f s: its endpoints were stalled", fault.from(), fault.to(), more / MS_PER_S));
                lookAtCut(links.prolong(fault, more / MS_PER_S), fromMs, wantedMs, mostUntilMs);
            }
        }), Math.round(Math.max(0, endMs - PROLONG_LEAD_MS - nowMs())), TimeUnit.MILLISECONDS);
    }

    /** Time during which a current process of those slots was stalled, or had low local health because of that, by their own records. */
    private double disturbedMs(Set<Integer> numbers, double fromMs, double toMs) throws IOException {
        Disturbances disturbances = new Disturbances(Membership.STALL_GRACE_PERIODS * scenario.periodMs());
        for (int number : numbers) {
            for (JsonNode line : lines(seats.get(number).now)) {
                if (line.has("stood_still")) {
                    disturbances.stoodStill(line.path("ms").asDouble(), line.path("stood_still").asDouble());
                }
            }
        }
        return disturbances.within(fromMs, toMs);
    }

    /** Tells the checker of a link fault that may legitimately cause failures. */
    private void mark(LinkFault fault) {
        double from = beganMs + MS_PER_S * fault.atS();
        double to = from + MS_PER_S * fault.forS();
        boolean oneLink = fault.isOneLink() && scenario.proxies() >= ENOUGH_TO_HELP;
        boolean slight = fault.how() == LinkHow.DOUBLE || (fault.how() == LinkHow.DELAY || fault.how() == LinkHow.REORDER)
                && fault.size() < LONG_DELAY * scenario.periodMs();
        if (slight || oneLink) {
            return;
        }
        if (fault.from().isEmpty() == fault.to().isEmpty() ) {
            truth.troubled(null, from, to);
        } else {
            (fault.from().isEmpty() ? fault.to() : fault.from()).forEach(n -> truth.troubled("lab-" + n, from, to));
        }
    }

    private void plan(Takeover takeover) {
        for (int i = 0; i < takeover.times(); i++) {
            clock.schedule(() -> hands.execute(safely(() -> hit(takeover))), Math.round((takeover.atS() + i * takeover.everyS()) * MS_PER_S), TimeUnit.MILLISECONDS);
        }
    }

    /** Disrupts the process that holds the lease according to the processes' own records; does nothing if there is none. */
    private void hit(Takeover takeover) throws IOException, InterruptedException {
        Instance holder = awaitHolder();
        if (holder == null) {
            note(takeover.blow() + " of the holder: no process holds the lease");
            return;
        }
        Seat seat = holder.seat;
        note(takeover.blow() + " of the holder, proxy " + seat.number);
        hits.add(new LeaseChecker.Hit(takeover.blow().name().toLowerCase(Locale.ROOT), nowMs(), holder.title()));
        switch (takeover.blow()) {
            case KILL -> befall(new ProcessEvent(0, takeover.forS(), ProcessKind.RESTART, Set.of()), seat);
            case STOP -> befall(new ProcessEvent(0, takeover.forS(), ProcessKind.STOP, Set.of()), seat);
            case UPGRADE -> befall(new ProcessEvent(0, takeover.forS(), ProcessKind.UPGRADE, Set.of()), seat);
            case CUT -> {
                truth.troubled("lab-" + seat.number, nowMs(), nowMs() + takeover.forS() * MS_PER_S);
                links.isolate(seat.number, takeover.forS());
            }
            case END -> {
                ledger.isDown(seat.clients);
                holder.process.end();
                holder.down(); // not before its exit: until then it answers and may hold the lease
                links.isUp(seat.reachedAt, false);
                startAgain(seat, takeover.forS());
            }
        }
    }

    /** Waits for a holder, as a busy machine may need seconds until the first lease; null if there is none in time. */
    private Instance awaitHolder() throws IOException, InterruptedException {
        Instance holder = holder();
        for (int tries = 0; holder == null && tries < HOLDER_TRIES; tries++) {
            Thread.sleep(HOLDER_AGAIN_MS);
            holder = holder();
        }
        return holder;
    }

    private Instance holder() throws IOException {
        for (Instance instance : instances) {
            boolean runs = instance.shouldRun && instance == instance.seat.now;
            LeaseChecker.Line last = null;
            for (JsonNode one : runs ? lines(instance) : List.<JsonNode>of()) {
                last = isOfLease(one) ? leaseLine(instance, one) : last;
            }
            if (last != null && last.untilMs() > nowMs()) { // false for a lost lease, whose untilMs is NaN
                return instance;
            }
        }
        return null;
    }

    private void begin(ProcessEvent event) {
        note(event.kind() + " " + event.proxies() + (event.forS() > 0 ? " for " + event.forS() + " s" : ""));
        for (int number : event.proxies()) {
            hands.execute(safely(() -> befall(event, seats.get(number))));
        }
    }

    private void befall(ProcessEvent event, Seat seat) throws IOException, InterruptedException {
        Instance instance = seat.now;
        String name = "lab-" + seat.number;
        double now = nowMs();
        switch (event.kind()) {
            case KILL -> kill(seat);
            case END -> {
                ledger.isAvoided(seat.clients);
                instance.down();
                instance.process.end();
                links.isUp(seat.reachedAt, false);
            }
            case RESTART -> {
                kill(seat);
                startAgain(seat, event.forS());
            }
            case SLOW_START -> {
                kill(seat);
                start(seat);
                Thread.sleep(SLOW_FROM_MS);
                truth.troubled(name, now, now + SLOW_FROM_MS + event.forS() * MS_PER_S);
                seat.now.process.signal("STOP");
                after(event.forS(), () -> {
                    seat.now.process.signal("CONT");
                    awaitReady(seat.now);
                    ledger.isBack(seat.clients);
                });
            }
            case STOP -> {
                truth.troubled(name, now, now + event.forS() * MS_PER_S);
                ledger.isDown(seat.clients);
                instance.process.signal("STOP");
                after(event.forS(), () -> {
                    instance.process.signal("CONT");
                    ledger.isBack(seat.clients);
                });
            }
            case UPGRADE -> {
                Instance next = seat.spawn(seat.bindPort, seat.reachedAt, seat.config);
                awaitReady(next);
                seat.now = next;
                instance.down();
                instance.process.end();
            }
            case TWIN -> {
                ObjectNode other = ProxyProcess.config(scenario.play(), peers, scenario.proxies(), seat.number, ports.take());
                int bind = ports.take();
                int reached = links.addWhileRunning(seat.number, bind);
                truth.troubled(name, now, now + event.forS() * MS_PER_S);
                Instance twin = seat.spawn(bind, reached, other);
                after(event.forS(), () -> {
                    twin.down();
                    twin.process.close();
                    links.isUp(reached, false);
                });
            }
        }
    }

    /** Starts a new process without saved state after that time; clients use it once it is ready. */
    private void startAgain(Seat seat, double afterS) {
        after(afterS, () -> {
            start(seat);
            awaitReady(seat.now);
            ledger.isBack(seat.clients);
        });
    }

    private void after(double seconds, Work work) {
        clock.schedule(() -> hands.execute(safely(work)), Math.round(seconds * MS_PER_S), TimeUnit.MILLISECONDS);
    }

    private void kill(Seat seat) throws InterruptedException {
        ledger.isDown(seat.clients);
        seat.now.down();
        seat.now.process.close();
        seat.now.process.awaitEnd();
        links.isUp(seat.reachedAt, false);
    }

    /** Starts a new process without saved state, as on a machine whose disk is not persistent. */
    private void start(Seat seat) throws IOException {
        Path tmp = seat.home().resolve("tmp");
        try (var files = Files.walk(tmp)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
        links.isUp(seat.reachedAt, true);
        seat.now = seat.spawn(seat.bindPort, seat.reachedAt, seat.config);
    }

    /** The lines of a process's own record. */
    private static List<JsonNode> lines(Instance instance) throws IOException {
        List<JsonNode> lines = new ArrayList<>();
        ObjectMapper json = new ObjectMapper();
        for (String line : Files.exists(instance.views) ? Files.readAllLines(instance.views) : List.<String>of()) {
            try {
                lines.add(json.readTree(line));
            } catch (IOException e) {
                continue; // the process was killed while it wrote the line
            }
        }
        return lines;
    }

    private static boolean isOfLease(JsonNode line) {
        return line.has("held") || line.has("lost");
    }

    private static LeaseChecker.Line leaseLine(Instance instance, JsonNode line) {
        boolean held = line.has("held");
        return new LeaseChecker.Line(instance.title(), line.path(held ? "held" : "lost").asText(), line.path("round").asLong(), line.path("ms").asDouble(),
                held ? line.path("until").asDouble() : Double.NaN, instance.endedMs);
    }

    /** Sorts the lines of a process's own record into the checkers' inputs. */
    private void read(Instance instance, ViewChecker.Records records, List<LeaseChecker.Line> leases) throws IOException {
        long viewer = 0;
        for (JsonNode one : lines(instance)) {
            double ms = one.path("ms").asDouble();
            if (one.has("began")) {
                viewer = one.path("nonce").asLong();
                truth.began(one.path("began").asText(), viewer, ms, instance.endedMs);
            } else if (one.has("saw")) {
                records.sights().add(new Sight(ms, viewer, one.path("saw").asText(), one.path("nonce").asLong(), one.path("incarnation").asInt(),
                        State.valueOf(one.path("state").asText())));
            } else if (isOfLease(one)) {
                leases.add(leaseLine(instance, one));
            } else if (one.has("share")) {
                records.shares().add(new ViewChecker.Counted(ms, viewer, 1 / one.path("share").asDouble()));
            } else if (one.has("cache")) {
                records.words().add(new ViewChecker.Word(ms, viewer, ViewChecker.Verdict.valueOf(one.path("verdict").asText()), one.path("cache").asText()));
            } else if (one.has("counted")) {
                records.counts().add(new ViewChecker.Counted(ms, viewer, one.path("counted").asInt()));
            }
        }
    }

    /** Kills all processes, and those that are just being started. */
    void stopAll() {
        stopped = true;
        instances.forEach(i -> i.process.close());
    }

    @Override
    public void close() throws IOException {
        clock.shutdownNow();
        hands.shutdownNow();
        stopAll();
        links.close();
        if (store != null) {
            store.close();
        }
        peers.close();
        ports.close();
    }
}
