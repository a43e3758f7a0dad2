package dappleseam.lab;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.lab.load.LoadGenerator;
import dappleseam.lab.report.Report;
import dappleseam.lab.scenario.InvalidScenarioException;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.ScenarioReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs the laboratory as its users do, with a shipped scenario. */
class LabTest {
    private static final Path SHIPPED = Path.of("deploy/scenarios/dying-and-draining.json");

    @TempDir
    Path folder;

    private static String shipped() throws Exception {
        return Files.readString(SHIPPED);
    }

    /** Two proxies with dying and draining caches and faults on their connections: no rule is broken and no connection is left open. */
    @Test
    void aProxyKeepsTheRulesThroughAShippedScenario() throws Exception {
        Scenario scenario = ScenarioReader.read(shipped().replace("\"seconds\": 12", "\"seconds\": 9"), "short");
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Report report = Lab.runScenario(scenario, "exec " + java + " -XX:TieredStopAtLevel=1 -cp "
                + System.getProperty("java.class.path") + " dappleseam.proxy.Serve", 2, folder);
        assertThat(report.text()).contains("rules.broken                 0").contains("cache-1+ ").contains("cache-4+ ")
                .contains("connections_left_at_fault_tools 0").containsPattern("complete +true");
        assertThat(report.json()).contains("\"scenario\" : \"dying-and-draining\"");
    }

    @Test
    void allShippedScenariosAreValid() throws Exception {
        try (Stream<Path> files = Files.list(SHIPPED.getParent())) {
            for (Path file : files.toList()) {
                assertThat(ScenarioReader.read(file).name() + ".json").isEqualTo(file.getFileName().toString());
            }
        }
    }

    @Test
    void arrivalsDependOnTheSeedAlone() throws Exception {
        Scenario scenario = ScenarioReader.read(SHIPPED);
        List<LoadGenerator.Arrival> arrivals = LoadGenerator.drawArrivals(scenario);
        assertThat(arrivals).isEqualTo(LoadGenerator.drawArrivals(scenario)).hasSizeBetween(2200, 2600);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"\"seed\": 7 | \"seed\": \"x\" | seed: is not a number",
        "\"count\": 6 | \"count\": 0 | caches.count: is not a number from 1.0 to 200.0",
        "\"kind\": \"die\" | \"kind\": \"explode\" | troubles[0].kind: is not known: explode",
        "\"cache\": 4 | \"cache\": 6 | troubles[1].cache: is not a number from 0.0 to 5.0",
        "\"within_bytes\": 30000 | \"bytes\": 3 | faults[4].within_bytes: is missing",
        "\"queue\": 20 | \"queue\": 20, \"colour\": 1 | caches.colour: is not known",
        "\"troubles\" | \"trouble\" | troubles: is missing"})
    void anInvalidScenarioIsReportedWithItsKey(String valid, String invalid, String message) throws Exception {
        assertThat(shipped()).contains(valid);
        assertThatThrownBy(() -> ScenarioReader.read(shipped().replace(valid, invalid), "s"))
                .isInstanceOf(InvalidScenarioException.class).hasMessageContaining(message);
    }
}
