package dappleseam.proxy;

import static dappleseam.proxy.Sockets.hit;
import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.Main;
import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.peers.Envelope;
import dappleseam.fleet.peers.Letter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The program as a member of a fleet: configuration, status and invalid input; and without a fleet. */
class InFleetTest {
    @TempDir
    Path folder;
    private Sockets sockets;
    private int bind;

    @BeforeEach
    void prepare() throws Exception {
        sockets = new Sockets();
        sockets.control = Sockets.freePort();
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            bind = free.getLocalPort();
        }
        sockets.command = "serve --fleet " + fleet("");
    }

    @AfterEach
    void end() throws Exception {
        sockets.close();
    }

    private Path fleet(String more) throws IOException {
        return Files.writeString(folder.resolve("fleet.json"), "{\"fleet\":\"f\",\"bind\":\"127.0.0.1:" + bind + "\",\"period_ms\":100" + more + "}");
    }

    private static String fleetCommand(String... args) {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        PrintStream before = System.out;
        System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
        try {
            int status = new CommandLine(new Main()).execute(args);
            return status + " " + printed.toString(StandardCharsets.UTF_8);
        } finally {
            System.setOut(before);
        }
    }

    @Test
    void theDoorAndTheSubCommandShowTheView() throws Exception {
        sockets.start(folder, "").client();
        Sockets.awaitAnswer(sockets.control, "GET /control/counters", "app_fleet_joined 1\n");
        assertThat(sockets.call("GET /control/counters")).contains("app_fleet_members{state=\"alive\"} 1\n", "app_fleet_counted 1\n",
                "app_fleet_standing{kind=\"starting\"} 1\n");
        assertThat(sockets.call("GET /control/fleet")).contains("\"standing\":\"starting\"", "\"name\":\"p\"");
        assertThat(sockets.call("POST /control/fleet/ended/x")).startsWith("HTTP/1.1 200");
        assertThat(sockets.call("POST /control/fleet/ended/x!")).startsWith("HTTP/1.1 400");
        assertThat(fleetCommand("fleet", "127.0.0.1:" + sockets.control)).startsWith("0 p: status starting").contains("alive    p ");
    }

    /** Thousands of invalid datagrams are counted by kind and have no other effect; queries are answered meanwhile. */
    @Test
    void garbageIsCountedAndQueriesGoOn() throws Exception {
        Sockets.Client client = sockets.start(folder, "").client();
        Sockets.awaitAnswer(sockets.control, "GET /control/counters", "app_fleet_joined 1\n");
        SplittableRandom random = new SplittableRandom(1);
        Notice self = new Notice(new MemberName("x"), new InetSocketAddress("127.0.0.1", 9), new Life(1, 1), 0, Notice.State.ALIVE, 0);
        byte[] sound = new Envelope("f").write(new Letter(Letter.Kind.NACK, self, 1, null, null, List.of(), false, null));
        try (DatagramSocket from = new DatagramSocket()) {
            for (int i = 0; i < 6000; i++) {
                byte[] bytes = new byte[1 + random.nextInt(1600)];
                random.nextBytes(bytes);
                if (i % 3 == 0 && bytes.length > 1) { // starts like a valid datagram
                    System.arraycopy(sound, 0, bytes, 0, 2);
                }
                from.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), bind));
                if (i % 1000 == 0) {
                    client.send("C.GET", "00000000000000aa", "q" + i, "c=read,d=9000");
                    sockets.cache.next().answer(hit("value"));
                    assertThat(client.answer()).isEqualTo("value");
                }
            }
        }
        String figures = "";
        for (int i = 0; i < 500 && !(isCounted(figures, "size") && isCounted(figures, "version") && isCounted(figures, "damaged")); i++) {
            figures = sockets.call("GET /control/counters");
            Thread.sleep(20);
        }
        assertThat(isCounted(figures, "size") && isCounted(figures, "version") && isCounted(figures, "damaged")).as(figures).isTrue();
        assertThat(figures).contains("app_fleet_members{state=\"alive\"} 1\n", "app_fleet_datagrams_sent_total 0\n");
        assertThat(Files.readString(folder.resolve("log"))).doesNotContain("ERROR");
    }

    private static boolean isCounted(String figures, String why) {
        return figures.matches("(?s).*app_fleet_datagrams_dropped_total\\{why=\"" + why + "\"\\} [1-9].*");
    }

    @Test
    void aFaultyFileEndsTheStartByItsKey() throws Exception {
        fleet(",\"most\":1");
        sockets.start(folder, "");
        assertThat(sockets.program.waitFor(Sockets.PATIENCE_S, TimeUnit.SECONDS)).isTrue();
        assertThat(sockets.program.exitValue()).isEqualTo(1);
        assertThat(Files.readString(folder.resolve("log"))).contains("dappleseam serve: most: is no number from 2 to 20000");
    }

    @Test
    void aFaultyFileAtSighupChangesNothing() throws Exception {
        sockets.start(folder, "").client();
        fleet(",\"seeds\":[\"nowhere\"]");
        sockets.hangUp();
        sockets.awaitLog(folder, "configuration not taken: seeds[0]: is not an address and a port");
        Sockets.awaitAnswer(sockets.control, "GET /control/counters", "app_config_reload_errors_total 1\n");
        fleet(",\"counted\":7");
        sockets.hangUp();
        Sockets.awaitAnswer(sockets.control, "GET /control/counters", "app_config_reloads_total 1\n");
        Sockets.awaitAnswer(sockets.control, "GET /control/counters", "app_fleet_counted 7\n");
    }

    @Test
    void aTakenAddressIsWaitedForAndNoQueryCares() throws Exception {
        try (DatagramSocket other = new DatagramSocket(bind, InetAddress.getByName("127.0.0.1"))) {
            Sockets.Client client = sockets.start(folder, "").client();
            sockets.awaitLog(folder, "which another process has");
            assertThat(sockets.call("GET /control/counters")).contains("app_fleet_joined 0\n");
            client.send("C.GET", "00000000000000aa", "q1", "c=read,d=9000");
            sockets.cache.next().answer(hit("value"));
            assertThat(client.answer()).isEqualTo("value");
        }
        Sockets.awaitAnswer(sockets.control, "GET /control/counters", "app_fleet_joined 1\n");
    }

    /** Without a fleet file no fleet class is loaded, and the control server has no fleet requests. */
    @Test
    void withoutTheFileNothingOfItIsThere() throws Exception {
        Path loaded = folder.resolve("loaded");
        ProcessBuilder plain = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
                "-Xlog:class+load:file=" + loaded, "-cp", System.getProperty("java.class.path"), "dappleseam.proxy.Serve");
        sockets.port = Sockets.freePort();
        plain.environment().put("NODE_CONFIG", sockets.config(folder, "").toString());
        plain.environment().put("TMPDIR", folder.toString());
        sockets.program = plain.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
        sockets.client();
        Sockets.awaitAnswer(sockets.control, "GET /control/ready", "HTTP/1.1 200");
        assertThat(sockets.call("GET /control/fleet")).startsWith("HTTP/1.1 404");
        assertThat(sockets.call("GET /control/counters")).doesNotContain("app_fleet");
        assertThat(Files.readString(loaded)).contains("dappleseam.proxy.Serve").doesNotContain("dappleseam.fleet").doesNotContain("dappleseam.proxy.FleetMembership")
                .doesNotContain("dataformat.cbor");
    }
}
