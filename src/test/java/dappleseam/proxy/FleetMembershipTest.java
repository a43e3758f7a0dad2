package dappleseam.proxy;

import static dappleseam.proxy.ServeFixture.hit;
import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.Main;
import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.peers.MessageCodec;
import dappleseam.fleet.peers.FleetMessage;
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
class FleetMembershipTest {
    @TempDir
    Path folder;
    private ServeFixture fixture;
    private int fleetPort;

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
        fixture.controlPort = ServeFixture.freePort();
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            fleetPort = free.getLocalPort();
        }
        fixture.command = "serve --fleet " + writeFleetFile("");
    }

    @AfterEach
    void end() throws Exception {
        fixture.close();
    }

    private Path writeFleetFile(String more) throws IOException {
        return Files.writeString(folder.resolve("fleet.json"), "{\"fleet\":\"f\",\"bind\":\"127.0.0.1:" + fleetPort + "\",\"period_ms\":100" + more + "}");
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
    void controlServerAndSubcommandShowTheView() throws Exception {
        fixture.start(folder, "").client();
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_fleet_joined 1\n");
        assertThat(fixture.request("GET /control/counters")).contains("app_fleet_members{state=\"alive\"} 1\n", "app_fleet_counted 1\n",
                "app_fleet_standing{kind=\"starting\"} 1\n");
        assertThat(fixture.request("GET /control/fleet")).contains("\"standing\":\"starting\"", "\"name\":\"p\"");
        assertThat(fixture.request("POST /control/fleet/ended/x")).startsWith("HTTP/1.1 409");
        assertThat(fixture.request("POST /control/fleet/ended/x!")).startsWith("HTTP/1.1 400");
        assertThat(fleetCommand("fleet", "127.0.0.1:" + fixture.controlPort)).startsWith("0 p: status starting").contains("alive    p ");
    }

    /** Guards against the report of an ended member that is answered with yes and does nothing, or not answered at all. */
    @Test
    void reportOfAnEndedMemberIsAcceptedOnceItCanBeCarriedOut() throws Exception {
        fixture.list.firstAnswer = null; // the start waits for the list
        fixture.start(folder, "");
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/ready", "HTTP/1.1 503");
        assertThat(fixture.request("POST /control/fleet/ended/x")).startsWith("HTTP/1.1 503");
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_fleet_joined 1\n");
        assertThat(fixture.request("POST /control/fleet/ended/x")).startsWith("HTTP/1.1 409");
        try (DatagramSocket silent = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = (InetSocketAddress) silent.getLocalSocketAddress();
            MemberEntry member = new MemberEntry(new MemberName("x"), address, new Generation(1, 1), 0, MemberEntry.State.ALIVE, 0);
            byte[] message = new MessageCodec("f").encode(new FleetMessage(FleetMessage.Kind.NACK, member, 1, null, null, List.of(member), false, null));
            silent.send(new DatagramPacket(message, message.length, InetAddress.getLoopbackAddress(), fleetPort));
            ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_fleet_members{state=\"failed\"} 1\n");
            assertThat(fixture.request("POST /control/fleet/ended/x")).startsWith("HTTP/1.1 200");
            ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_fleet_members{state=\"ended\"} 1\n");
            assertThat(fixture.request("POST /control/fleet/ended/x")).startsWith("HTTP/1.1 200");
        }
    }

    /** Thousands of invalid datagrams are counted by kind and have no other effect; queries are answered meanwhile. */
    @Test
    void garbageIsCountedAndQueriesGoOn() throws Exception {
        ServeFixture.Client client = fixture.start(folder, "").client();
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_fleet_joined 1\n");
        SplittableRandom random = new SplittableRandom(1);
        MemberEntry self = new MemberEntry(new MemberName("x"), new InetSocketAddress("127.0.0.1", 9), new Generation(1, 1), 0, MemberEntry.State.ALIVE, 0);
        byte[] valid = new MessageCodec("f").encode(new FleetMessage(FleetMessage.Kind.NACK, self, 1, null, null, List.of(), false, null));
        try (DatagramSocket from = new DatagramSocket()) {
            for (int i = 0; i < 6000; i++) {
                byte[] bytes = new byte[1 + random.nextInt(1600)];
                random.nextBytes(bytes);
                if (i % 3 == 0 && bytes.length > 1) { // starts like a valid datagram
                    System.arraycopy(valid, 0, bytes, 0, 2);
                }
                from.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), fleetPort));
                if (i % 1000 == 0) {
                    client.send("C.GET", "00000000000000aa", "q" + i, "c=read,d=9000");
                    fixture.cache.next().answer(hit("value"));
                    assertThat(client.answer()).isEqualTo("value");
                }
            }
        }
        String metrics = "";
        for (int i = 0; i < 500 && !(isCounted(metrics, "size") && isCounted(metrics, "version") && isCounted(metrics, "damaged")); i++) {
            metrics = fixture.request("GET /control/counters");
            Thread.sleep(20);
        }
        assertThat(isCounted(metrics, "size") && isCounted(metrics, "version") && isCounted(metrics, "damaged")).as(metrics).isTrue();
        assertThat(metrics).contains("app_fleet_members{state=\"alive\"} 1\n", "app_fleet_datagrams_sent_total 0\n");
        assertThat(Files.readString(folder.resolve("log"))).doesNotContain("ERROR");
    }

    private static boolean isCounted(String metrics, String why) {
        return metrics.matches("(?s).*app_fleet_datagrams_dropped_total\\{why=\"" + why + "\"\\} [1-9].*");
    }

    @Test
    void faultyFileEndsTheStartAndNamesTheKey() throws Exception {
        writeFleetFile(",\"most\":1");
        fixture.start(folder, "");
        assertThat(fixture.program.waitFor(ServeFixture.TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(fixture.program.exitValue()).isEqualTo(1);
        assertThat(Files.readString(folder.resolve("log"))).contains("dappleseam serve: most: is not a number from 2 to 20000");
    }

    @Test
    void faultyFileAtSighupChangesNothing() throws Exception {
        fixture.start(folder, "").client();
        writeFleetFile(",\"seeds\":[\"nowhere\"]");
        fixture.sendHangUp();
        fixture.awaitLog(folder, "configuration not taken: seeds[0]: is not an address and a port");
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_config_reload_errors_total 1\n");
        writeFleetFile(",\"counted\":7");
        fixture.sendHangUp();
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_config_reloads_total 1\n");
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_fleet_counted 7\n");
    }

    @Test
    void busyAddressIsWaitedForWithoutAffectingQueries() throws Exception {
        try (DatagramSocket other = new DatagramSocket(fleetPort, InetAddress.getByName("127.0.0.1"))) {
            ServeFixture.Client client = fixture.start(folder, "").client();
            fixture.awaitLog(folder, "which another process has");
            assertThat(fixture.request("GET /control/counters")).contains("app_fleet_joined 0\n");
            assertThat(fixture.request("POST /control/fleet/ended/x")).startsWith("HTTP/1.1 503");
            client.send("C.GET", "00000000000000aa", "q1", "c=read,d=9000");
            fixture.cache.next().answer(hit("value"));
            assertThat(client.answer()).isEqualTo("value");
        }
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/counters", "app_fleet_joined 1\n");
    }

    /** Without a fleet file no fleet class is loaded, and the control server has no fleet requests. */
    @Test
    void withoutTheFileNoFleetClassIsLoaded() throws Exception {
        Path loaded = folder.resolve("loaded");
        ProcessBuilder plain = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
                "-Xlog:class+load:file=" + loaded, "-cp", System.getProperty("java.class.path"), "dappleseam.proxy.Serve");
        fixture.port = ServeFixture.freePort();
        plain.environment().put("NODE_CONFIG", fixture.config(folder, "").toString());
        plain.environment().put("TMPDIR", folder.toString());
        fixture.program = plain.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
        fixture.client();
        ServeFixture.awaitAnswer(fixture.controlPort, "GET /control/ready", "HTTP/1.1 200");
        assertThat(fixture.request("GET /control/fleet")).startsWith("HTTP/1.1 404");
        assertThat(fixture.request("GET /control/counters")).doesNotContain("app_fleet");
        assertThat(Files.readString(loaded)).contains("dappleseam.proxy.Serve").doesNotContain("dappleseam.fleet").doesNotContain("dappleseam.proxy.FleetMembership")
                .doesNotContain("dataformat.cbor");
    }
}
