package dappleseam.lab.load;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.lab.check.Ledger;
import dappleseam.lab.check.Ledger.Outcome;
import dappleseam.lab.check.RuleChecker;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Caches;
import dappleseam.lab.scenario.Scenario.Grade;
import dappleseam.lab.scenario.Scenario.Load;
import dappleseam.lab.scenario.Scenario.Origin;
import dappleseam.lab.scenario.Scenario.Semantics;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class LoadGeneratorTest {
    /** Otherwise a proxy that the machine did not schedule for seconds counts as one that never answers, which is a breach however late the laboratory was. */
    @Test
    void aVeryLateAnswerIsNotCountedAsUnanswered() throws Exception {
        Scenario scenario = new Scenario("s", 3, 0.2, new Caches(1, 1, 1, 1, 9, 9, 1, 0, 0, 9), new Origin(1, 1),
                new Load(10, 10, 1, List.of(new Grade("read", 1, Semantics.IDEMPOTENT, false, 50, 100, 0, 0))), List.of(), List.of());
        assertThat(LoadGenerator.drawArrivals(scenario)).isNotEmpty();
        Ledger ledger = new Ledger();
        try (ServerSocket proxy = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread late = new Thread(() -> answerLate(proxy));
            late.setDaemon(true);
            late.start();
            new LoadGenerator(scenario, ledger, List.of(proxy.getLocalPort())).generate();
        }
        assertThat(ledger.queries).isNotEmpty().allMatch(q -> q.outcome() == Outcome.ABORTED);
        assertThat(RuleChecker.check(scenario, ledger, false)).hasSameSizeAs(ledger.queries).allMatch(b -> b.rule() == 1 && b.timeBased());
    }

    private static void answerLate(ServerSocket proxy) {
        try {
            while (true) {
                Socket client = proxy.accept();
                Thread.sleep(2500);
                client.getOutputStream().write("-ERR late\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        } catch (Exception e) {
            Thread.currentThread().interrupt(); // the test is over
        }
    }
}
