package dappleseam.lab.report;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.lab.check.Ledger;
import dappleseam.lab.check.RuleChecker.Breach;
import dappleseam.lab.load.LoadGenerator;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.ScenarioReader;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReportTest {
    private static final Path SHIPPED = Path.of("deploy/scenarios/dying-and-draining.json");

    private final Ledger ledger = new Ledger();

    private JsonNode report(List<Breach> breaches) throws Exception {
        Scenario scenario = ScenarioReader.read(SHIPPED);
        return new Report(scenario, ledger, new LoadGenerator(scenario, ledger, List.of()), breaches, 0, 0).tree();
    }

    /** Otherwise doubtful breaches fill the list and certain ones cannot be traced. */
    @Test
    void certainBreachesAreAllListedFirst() throws Exception {
        ledger.recordLateness(1000);
        List<Breach> breaches = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            breaches.add(new Breach(1, "late " + i, true));
        }
        for (int i = 0; i < 25; i++) {
            breaches.add(new Breach(2, "twice " + i, false));
        }
        JsonNode rules = report(breaches).path("rules");
        assertThat(rules.path("broken").asInt()).isEqualTo(25);
        assertThat(rules.path("breaches")).hasSize(25).allMatch(b -> b.path("rule").asInt() == 2 && b.path("sure").asBoolean());
    }

    @Test
    void stallsAreListedLongestFirst() throws Exception {
        ledger.stalls.add(new Ledger.Stall(100, 60, 55, 0));
        ledger.stalls.add(new Ledger.Stall(900, 700, 20, 650));
        JsonNode longest = report(List.of()).path("tools").path("held_up").get(0);
        assertThat(longest.path("late_ms").asInt()).isEqualTo(700);
        assertThat(longest.path("collected_garbage_ms").asInt()).isEqualTo(650);
    }
}
