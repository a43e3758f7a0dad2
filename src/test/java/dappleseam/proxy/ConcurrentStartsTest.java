package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Many processes start at once, as after a restart of most of a fleet. */
class ConcurrentStartsTest {
    private static final int PROCESSES = 10;
    private static final double READY_MS = 10_000;

    @TempDir
    Path folder;
    private final List<Process> processes = new ArrayList<>();
    private ServeFixture fixture;

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
    }

    @AfterEach
    void end() throws Exception {
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
        fixture.cache.close();
        fixture.origin.close();
        fixture.list.close();
    }

    /** Times in ms from the first start until each process answers a PING. */
    private List<Double> readyTimes() throws Exception {
        List<Integer> ports = new ArrayList<>();
        double from = System.nanoTime();
        for (int i = 0; i < PROCESSES; i++) {
            Path own = Files.createDirectory(folder.resolve("p" + i));
            fixture.port = ServeFixture.freePort();
            ports.add(fixture.port);
            processes.add(fixture.launch(own, fixture.config(own, "")));
        }
        List<Double> times = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            fixture.port = ports.get(i);
            fixture.program = processes.get(i);
            ServeFixture.Client client = fixture.client();
            client.send("PING");
            assertThat(client.answer()).isEqualTo("+PONG");
            times.add((System.nanoTime() - from) / 1e6);
        }
        return times;
    }

    /** Nine in ten are ready within 10 s while the list service accepts requests and never answers: the wait for it is bounded. */
    @Test
    void nineInTenAreReadyInTimeWhileTheListServiceIsSilent() throws Exception {
        fixture.list.firstAnswer = null;
        assertThat(readyTimes().stream().filter(ms -> ms <= READY_MS).count()).isGreaterThanOrEqualTo(PROCESSES * 9 / 10);
    }

    /** The same while the list service refuses connections. */
    @Test
    void nineInTenAreReadyInTimeWhileTheListServiceIsDown() throws Exception {
        fixture.list.close();
        assertThat(readyTimes().stream().filter(ms -> ms <= READY_MS).count()).isGreaterThanOrEqualTo(PROCESSES * 9 / 10);
    }
}
