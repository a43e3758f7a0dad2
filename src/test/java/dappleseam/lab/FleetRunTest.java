package dappleseam.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dappleseam.lab.fleet.PlantedFault;
import dappleseam.lab.proxies.PortAllocator;
import dappleseam.lab.report.FleetReport;
import dappleseam.lab.scenario.InvalidScenarioException;
import dappleseam.lab.scenario.FleetScenario;
import dappleseam.lab.scenario.ScenarioReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs several real processes with faults between them, and again with one protection disabled, to show that the checks detect its absence. */
class FleetRunTest {
    private static final Path SHIPPED = Path.of("deploy/fleet-scenarios");
    private static final Path FAULTS = SHIPPED.resolve("faults-between-proxies.json");
    private static final Path LEASES = SHIPPED.resolve("leases.json");
    private static final Path SPLIT = SHIPPED.resolve("leases-split.json");
    private static final Path SHARES = SHIPPED.resolve("shares-through-a-split.json");
    private static final Path LIES = SHIPPED.resolve("lies-about-caches.json");

    @TempDir
    Path folder;

    private FleetReport runScenario(Path file, PlantedFault planted) throws Exception {
        FleetScenario scenario = ScenarioReader.readFleet(file);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        try (FleetRun run = new FleetRun(scenario, "exec " + java + " -XX:TieredStopAtLevel=1 -XX:+UseSerialGC -Xmx64m -cp "
                + System.getProperty("java.class.path") + " dappleseam.proxy.Serve", folder.resolve(scenario.baseScenario().name() + planted), planted, false)) {
            return run.runScenario();
        }
    }

    /**
     * Cut links, stalls, restarts, healing partitions, upgrades and kills, with six processes of a fleet and with five that share a lease. All runs are
     * concurrent, because they wait most of the time.
     */
    @Test
    void processesKeepWhatIsPromisedAndTheRulesAndFailWithoutADefence() throws Exception {
        Map<PlantedFault, Future<FleetReport>> runs = new EnumMap<>(PlantedFault.class);
        ExecutorService executor = Executors.newCachedThreadPool();
        try {
            for (PlantedFault planted : EnumSet.of(PlantedFault.NONE, PlantedFault.NO_REFUTATION, PlantedFault.NO_INDIRECT_PROBE, PlantedFault.NO_MERGE)) {
                runs.put(planted, executor.submit(() -> runScenario(FAULTS, planted)));
            }
            Future<FleetReport> leases = executor.submit(() -> runScenario(LEASES, PlantedFault.NONE));
            FleetReport healthy = runs.get(PlantedFault.NONE).get();
            assertThat(healthy.brokenCount()).as(healthy.text()).isZero();
            JsonNode tree = new ObjectMapper().readTree(healthy.json());
            assertThat(tree.path("play").path("rules").path("broken").asInt()).as(healthy.text()).isZero();
            assertThat(tree.path("play").path("complete").asBoolean()).as(healthy.text()).isTrue();
            assertThat(tree.path("all_views_right_s_after_last_trouble").asDouble()).as(healthy.text()).isBetween(0.0, 10.0);
            assertThat(tree.path("datagrams").path("cut").asInt()).isPositive();
            FleetReport leaseReport = leases.get();
            assertThat(leaseReport.brokenCount()).as(leaseReport.text()).isZero();
            JsonNode lease = new ObjectMapper().readTree(leaseReport.json()).path("lease_last-list");
            assertThat(lease.path("holders").asInt()).as(leaseReport.text()).isGreaterThanOrEqualTo(4);
            assertThat(lease.path("without_holder_ms_most").asDouble()).as(leaseReport.text()).isLessThan(15_000);
            assertThat(runs.get(PlantedFault.NO_REFUTATION).get().text()).contains("NO_AGREEMENT");
            assertThat(runs.get(PlantedFault.NO_MERGE).get().text()).contains("NO_AGREEMENT");
            assertThat(runs.get(PlantedFault.NO_INDIRECT_PROBE).get().text()).contains("SUSPECTED_AGAIN");
        } finally {
            executor.shutdownNow();
        }
    }

    /** A lease holder that is cut off and a fleet that is partitioned, with the first write of each holder delayed; and the same with faulty voters or a faulty store. */
    @Test
    void noTwoProcessesHoldALeaseAndInjectedDefectsAreDetected() throws Exception {
        Map<PlantedFault, Future<FleetReport>> runs = new EnumMap<>(PlantedFault.class);
        ExecutorService executor = Executors.newCachedThreadPool();
        try {
            for (PlantedFault planted : EnumSet.of(PlantedFault.NONE, PlantedFault.FORGETFUL_VOTER, PlantedFault.MINORITY, PlantedFault.NO_FENCE)) {
                runs.put(planted, executor.submit(() -> runScenario(SPLIT, planted)));
            }
            FleetReport healthy = runs.get(PlantedFault.NONE).get();
            assertThat(healthy.brokenCount()).as(healthy.text()).isZero();
            JsonNode tree = new ObjectMapper().readTree(healthy.json());
            assertThat(tree.path("lease_last-list").path("holders").asInt()).as(healthy.text()).isGreaterThanOrEqualTo(2);
            assertThat(tree.path("store").path("refused").asInt()).as(healthy.text()).isPositive();
            assertThat(tree.path("holder_cut").path("hits").asInt()).as(healthy.text()).isEqualTo(1);
            assertThat(runs.get(PlantedFault.FORGETFUL_VOTER).get().text()).contains("last-list: lab-").contains(" held it from ");
            assertThat(runs.get(PlantedFault.MINORITY).get().text()).contains("last-list: lab-").contains(" held it from ");
            assertThat(runs.get(PlantedFault.NO_FENCE).get().text()).contains("the store took write ");
        } finally {
            executor.shutdownNow();
        }
    }

    /** Executions at the three caches that are falsely reported as failing, as a share of all executions at caches. */
    private static double shareAtAccused(FleetReport report) throws Exception {
        JsonNode nodes = new ObjectMapper().readTree(report.json()).path("play").path("executions_by_node");
        double accused = 0;
        double all = 0;
        for (int i = 0; i < 8; i++) {
            accused += i < 3 ? nodes.path("cache-" + i).asInt() : 0;
            all += nodes.path("cache-" + i).asInt();
        }
        return accused / all;
    }

    /** One member that falsely reports failing caches has no effect; four of six do, which shows that the check can fail. */
    @Test
    void oneLyingMemberConvictsNoCache() throws Exception {
        Map<PlantedFault, Future<FleetReport>> runs = new EnumMap<>(PlantedFault.class);
        ExecutorService executor = Executors.newCachedThreadPool();
        try {
            for (PlantedFault planted : EnumSet.of(PlantedFault.NONE, PlantedFault.LIAR, PlantedFault.LIARS)) {
                runs.put(planted, executor.submit(() -> runScenario(LIES, planted)));
            }
            double usual = shareAtAccused(runs.get(PlantedFault.NONE).get());
            FleetReport oneLiar = runs.get(PlantedFault.LIAR).get();
            assertThat(oneLiar.brokenCount()).as(oneLiar.text()).isZero();
            assertThat(shareAtAccused(oneLiar)).as(oneLiar.text()).isGreaterThan(0.8 * usual);
            FleetReport fourLiars = runs.get(PlantedFault.LIARS).get();
            assertThat(fourLiars.text()).contains("FALSE_SIGNAL");
            assertThat(shareAtAccused(fourLiars)).as(fourLiars.text()).isLessThan(0.8 * usual);
        } finally {
            executor.shutdownNow();
        }
    }

    /** Six processes with all features on: through a partition, a restart, a stall and a kill, the sum of their shares stays within the whole and its margin. Without announced traffic it does not. */
    @Test
    void sharesStayWithinTheWholeThroughASplit() throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        try {
            Future<FleetReport> healthy = executor.submit(() -> runScenario(SHARES, PlantedFault.NONE));
            Future<FleetReport> withoutRates = executor.submit(() -> runScenario(SHARES, PlantedFault.NO_RATES));
            assertThat(healthy.get().brokenCount()).as(healthy.get().text()).isZero();
            assertThat(new ObjectMapper().readTree(healthy.get().json()).path("play").path("rules").path("broken").asInt()).as(healthy.get().text()).isZero();
            assertThat(withoutRates.get().text()).contains("SHARES_OVER_WHOLE");
        } finally {
            executor.shutdownNow();
        }
    }

    /** Otherwise the proxies of two concurrent runs share a port unnoticed, and each run sees queries of the other. */
    @Test
    void anAllocatedPortIsExclusiveAndAProxyMayListenOnIt() throws Exception {
        try (PortAllocator portAllocator = new PortAllocator(); ServerSocketChannel proxy = ServerSocketChannel.open()) {
            Set<Integer> allocated = new HashSet<>();
            for (int i = 0; i < 300; i++) {
                assertThat(allocated.add(portAllocator.allocate())).isTrue();
            }
            InetSocketAddress first = new InetSocketAddress("127.0.0.1", allocated.iterator().next());
            for (int i = 0; i < 300; i++) {
                try (ServerSocket other = new ServerSocket(0)) {
                    assertThat(allocated).doesNotContain(other.getLocalPort());
                }
            }
            proxy.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            proxy.bind(first);
            assertThat(proxy.getLocalAddress()).isEqualTo(first);
        }
    }

    @Test
    void allShippedScenariosAreValid() throws Exception {
        try (Stream<Path> files = Files.list(SHIPPED)) {
            for (Path file : files.toList()) {
                assertThat(ScenarioReader.readFleet(file).baseScenario().name() + ".json").isEqualTo(file.getFileName().toString());
            }
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"\"proxies\": 6 | \"proxies\": 1 | fleet.proxies: is not a number from 2.0 to 400.0",
        "\"how\": \"garble\" | \"how\": \"chew\" | fleet.links[6].how: is not known: chew",
        "\"proxies\": [5] | \"proxies\": [6] | fleet.processes[3].proxies: holds something other than numbers from 0 to 5",
        "\"kind\": \"stop\" | \"kind\": \"freeze\" | fleet.processes[0].kind: is not known: freeze",
        "\"settle_s\": 15 | \"settle\": 15 | fleet.settle_s: is missing",
        "\"settle_s\": 15, | \"settle_s\": 15, \"leases\": {\"lease_ms\": 5}, | fleet.leases.lease_ms: is not a number from 500.0 to 600000.0", "\"links\": [ | \"wires\": [], \"links\": [ | fleet.wires: is not known",
        "\"fleet\": | \"flotilla\": | fleet: is missing"})
    void anInvalidScenarioIsReportedWithItsKey(String valid, String invalid, String message) throws Exception {
        String shipped = Files.readString(FAULTS);
        assertThat(shipped).contains(valid);
        assertThatThrownBy(() -> ScenarioReader.readFleet(shipped.replace(valid, invalid), "s")).isInstanceOf(InvalidScenarioException.class)
                .hasMessageContaining(message);
    }
}
