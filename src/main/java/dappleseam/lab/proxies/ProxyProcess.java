package dappleseam.lab.proxies;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.lab.emulator.EmulatedServices;
import dappleseam.lab.scenario.Scenario;
import dappleseam.lab.scenario.Scenario.Grade;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A proxy process, started the way operators start it. */
public final class ProxyProcess implements AutoCloseable {
    private static final int READY_TIMEOUT_S = 30;
    private static final int STOP_TIMEOUT_S = 5;
    private static final int MAX_SOCKETS = 512;
    private static final int MEMORY_MB = 144;
    private static final double MS_PER_S = 1000;
    private static final double NANOS_PER_MS = 1e6;
    private static final double KB_PER_MB = 1024;

    private final Process process;
    private final int port;

    /** {@code workFolder}: holds its files, namely the given configuration, its log, and its folder for temporary files. */
    public ProxyProcess(String command, Path workFolder, ObjectNode config) throws IOException {
        this(command, workFolder, config, "log");
    }

    public ProxyProcess(String command, Path workFolder, ObjectNode config, String logName) throws IOException {
        String listen = config.path("listen").asText();
        port = Integer.parseInt(listen.substring(listen.lastIndexOf(':') + 1));
        Files.createDirectories(workFolder);
        Path file = workFolder.resolve(logName + "-config.json");
        Files.writeString(file, new ObjectMapper().writeValueAsString(config));
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", command);
        builder.environment().put("NODE_CONFIG", file.toString());
        builder.environment().put("TMPDIR", Files.createDirectories(workFolder.resolve("tmp")).toString());
        process = builder.redirectErrorStream(true).redirectOutput(workFolder.resolve(logName).toFile()).start();
    }

    /** The configuration of one of {@code proxies} proxies, which listens on that port. */
    public static ObjectNode config(Scenario scenario, EmulatedServices services, int proxies, int number, int port) {
        return config(scenario, services.listPort(), services.knownList(), proxies, number, port);
    }

    /** The same with the list that is known at the start and the port of the list service. */
    public static ObjectNode config(Scenario scenario, int listPort, ObjectNode knownList, int proxies, int number, int port) {
        ObjectNode config = new ObjectMapper().createObjectNode().put("name", "lab-" + number).put("listen", "127.0.0.1:" + port)
                .put("discovery", "127.0.0.1:" + listPort).put("seed", String.format("%016x", scenario.seed() + number));
        config.putObject("limits").put("cores", 1).put("memory_mb", MEMORY_MB).put("sockets", MAX_SOCKETS);
        config.set("known", knownList);
        ObjectNode settings = config.putObject("settings").put("balancers", proxies).put("membershipMode", "on_request")
                .put("weightSource", "nominal").put("tickS", 0.005);
        settings.putArray("flavors").add("cache").add("origin");
        settings.putArray("dcs").add("a");
        settings.putObject("extra").put("mode", "aside").put("originKind", 1);
        settings.putObject("penalties").put("connection", 0.08).put("handshake", 0.08);
        settings.putObject("ceilings").put("mostExecutions", 4).put("parallelTries", true).put("mayCancel", true)
                .put("retryAfter", true).put("maxRetryAfterS", 2).put("streamsPerConn", 128).put("idleCloseS", 10)
                .put("connectTimeoutS", 0.25).put("mostHeld", 10_000);
        settings.putObject("rules").put("askEveryS", 10).put("coldFrom", scenario.caches().coldCapacity())
                .put("warmAfterS", scenario.caches().warmUpS()).put("drainGraceS", 0.5);
        ArrayNode grades = settings.putArray("serviceGrades");
        for (Grade grade : scenario.load().grades()) {
            grades.addObject().put("name", grade.name()).put("group", "all").put("importance", 1)
                    .put("semantics", switch (grade.semantics()) {
                        case IDEMPOTENT -> "read_like";
                        case DEDUPLICATED -> "idempotency_key";
                        case NON_IDEMPOTENT -> "non_idempotent";
                    }).put("sloTimeS", grade.sloMs() / MS_PER_S).put("statementTimeoutS", grade.timeoutMs() / MS_PER_S)
                    .put("windowS", scenario.caches().dedupWindowMs() / MS_PER_S).put("tardyImportance", 0.5);
        }
        return config;
    }

    public int port() {
        return port;
    }

    /** Waits until the proxy answers a PING. */
    public void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + READY_TIMEOUT_S * 1_000_000_000L;
        while (System.nanoTime() < until && process.isAlive()) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
                if (socket.getInputStream().read() == '+') {
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        throw new IOException(String.format(Locale.ROOT, "a proxy was not ready within %d s, alive: %s", READY_TIMEOUT_S,
                process.isAlive()));
    }

    /** Waits until the control server at that port reports the proxy as ready; false if it does not in time or the process has ended. */
    public boolean awaitInService(int controlPort, int timeoutS) throws InterruptedException {
        long until = System.nanoTime() + timeoutS * 1_000_000_000L;
        while (System.nanoTime() < until && process.isAlive()) {
            try (Socket socket = new Socket("127.0.0.1", controlPort)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write("GET /control/ready HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                if (new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200")) {
                    return true;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Thread.sleep(30);
        }
        return false;
    }

    /** Processor time in ms of all its threads so far; NaN once it has ended, or if the system does not provide it. */
    public double cpuMs() {
        return process.toHandle().info().totalCpuDuration().map(d -> d.toNanos() / NANOS_PER_MS).orElse(Double.NaN);
    }

    /** Resident memory in MB; NaN once it has ended, or if the system does not provide it. */
    public double residentMb() {
        return readStatusMb("VmRSS:");
    }

    /** Highest resident memory in MB so far; NaN in the same cases. */
    public double peakResidentMb() {
        return readStatusMb("VmHWM:");
    }

    /** Number of open file descriptors; 0 once it has ended. */
    public int openDescriptors() {
        String[] open = Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list();
        return open == null ? 0 : open.length;
    }

    private double readStatusMb(String figure) {
        try (Stream<String> lines = Files.lines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            return lines.filter(line -> line.startsWith(figure)).mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / KB_PER_MB).findFirst().orElse(Double.NaN);
        } catch (IOException | UncheckedIOException e) { // the process has just ended
            return Double.NaN;
        }
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGTERM; returns whether the process exited in time with status 0. */
    public boolean stop() throws InterruptedException {
        process.destroy();
        return process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS) && process.exitValue() == 0;
    }

    /** Sends the signal of that name, such as STOP, CONT or TERM. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -" + name + ' ' + process.pid()).start().waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS);
    }

    /** Waits until the process has exited; false if it does not in time. */
    public boolean awaitExit() throws InterruptedException {
        return process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
