package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Starts the program in a process of its own, with stubs for its peers and clients that connect to it. */
final class ServeFixture {
    static final long TIMEOUT_S = 20;
    /** Ports below those that Linux and others give out by themselves. */
    private static final int MIN_PORT = 12_000;
    private static final int MAX_PORT = 32_000;
    /** Time in ms between two reads of a peer that reads slowly. */
    private static final long PACE_MS = 20;

    final StubPeer cache = new StubPeer();
    final StubPeer origin = new StubPeer();
    final StubPeer list = new StubPeer();
    Process program;
    /** What the program, or the last of several, has written. */
    private Path log;
    int port;
    int descriptorLimit = 1024;
    int memoryMb = 192;
    String command = "serve";
    String mainClass = "dappleseam.Main";
    /** Environment of the program, in addition to that of the test. */
    final Map<String, String> environment = new HashMap<>();
    /** Further flags of the JVM. */
    List<String> jvmFlags = List.of();
    /** Port of the control server; 0 for none. */
    int controlPort;
    String grades = """
            {"name":"read","semantics":"read_like","sloTimeS":20,"statementTimeoutS":30},
            {"name":"put","semantics":"non_idempotent","sloTimeS":20,"statementTimeoutS":30}""";

    /** A stub of a cache, the origin or the list service: queues the messages it receives; the test answers them. */
    static final class StubPeer implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
        private final Map<String, Received> commands = new HashMap<>();
        /** Sent in answer to the first message, which is not queued; null for none. */
        volatile String firstAnswer;
        /** Sent in answer to every message, none of which is queued; null for none. */
        volatile String constantAnswer;
        /** Whether bodies of HTTP requests are read. */
        volatile boolean readsBodies = true;
        /** Rate in bytes a second at which connections are read; 0 for as fast as possible. */
        volatile int bodyBytesPerSecond;

        StubPeer() throws IOException {
            Thread accept = new Thread(() -> {
                try {
                    while (true) {
                        Socket socket = server.accept();
                        Thread reader = new Thread(() -> read(socket));
                        reader.setDaemon(true);
                        reader.start();
                    }
                } catch (IOException e) {
                    // the test is over
                }
            });
            accept.setDaemon(true);
            accept.start();
        }

        private void read(Socket socket) {
            try {
                InputStream in = new BufferedInputStream(paced(socket.getInputStream()));
                while (true) {
                    Received next = new Received(readMessage(in, readsBodies), socket);
                    String answer = firstAnswer;
                    if (answer != null) {
                        firstAnswer = null;
                        next.answer(answer);
                    } else if (constantAnswer != null) {
                        next.answer(constantAnswer);
                    } else {
                        received.add(next);
                    }
                }
            } catch (IOException e) {
                received.add(new Received(List.of("closed"), socket));
            }
        }

        /** The stream, read at the rate that holds now. */
        private InputStream paced(InputStream in) {
            int rate = bodyBytesPerSecond;
            return rate == 0 ? in : new FilterInputStream(in) {
                @Override
                public int read(byte[] bytes, int from, int count) throws IOException {
                    try {
                        Thread.sleep(PACE_MS);
                    } catch (InterruptedException e) {
                        throw new IOException(e);
                    }
                    return super.read(bytes, from, (int) Math.max(1, Math.min(count, rate * PACE_MS / 1000)));
                }
            };
        }

        /** The command with this id; commands come on connections of their own, in any order. */
        Received command(String id) throws InterruptedException {
            while (!commands.containsKey(id)) {
                Received next = next();
                if (next.elements.size() > 2) {
                    commands.put(next.elements.get(2), next);
                }
            }
            return commands.get(id);
        }

        /** Waits for the next message, skipping closed connections. */
        Received next() throws InterruptedException {
            Received next = received.poll(TIMEOUT_S, TimeUnit.SECONDS);
            if (next == null) {
                throw new AssertionError("no message received");
            }
            return next.elements.get(0).equals("closed") ? next() : next;
        }

        String endpoint() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A message, as RESP elements or HTTP lines, or {@code closed}; and its connection. */
    record Received(List<String> elements, Socket connection) {
        void answer(String bytes) throws IOException {
            connection.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** A cache's answer for a missing key. */
    static final String MISS = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";

    /** The list service's answer when nothing has changed. */
    static String unchangedList(int version) {
        return ok("{\"rev\":" + version + ",\"all\":false,\"targets\":[]}");
    }

    /** A cache's answer with the value. */
    static String hit(String value) {
        return "*3\r\n$" + value.length() + "\r\n" + value + "\r\n$3\r\nhit\r\n$-1\r\n";
    }

    /** A successful answer of the origin or the list service. */
    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Reads the elements of one RESP message, or the lines of one HTTP head, with the body as the last if {@code readsBodies}. */
    static List<String> readMessage(InputStream in, boolean readsBodies) throws IOException {
        String line = readLine(in);
        List<String> elements = new ArrayList<>();
        if (line.startsWith("*")) {
            int count = Integer.parseInt(line.substring(1));
            for (int i = 0; i < count; i++) {
                elements.add(readBulk(in, readLine(in)));
            }
        } else if (line.startsWith("$")) {
            elements.add(readBulk(in, line));
        } else {
            elements.add(line);
            if (line.contains(" HTTP/1.1")) {
                int length = 0;
                while (!line.isEmpty()) {
                    line = readLine(in);
                    elements.add(line);
                    length = line.startsWith("Content-Length: ") ? Integer.parseInt(line.substring(16)) : length;
                }
                if (readsBodies && length > 0) {
                    elements.add(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
                }
            }
        }
        return elements;
    }

    private static String readBulk(InputStream in, String head) throws IOException {
        byte[] bytes = in.readNBytes(Integer.parseInt(head.substring(1)));
        readLine(in);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        for (; c >= 0 && c != '\n'; c = in.read()) {
            line.write(c);
        }
        if (c < 0) {
            throw new IOException("ended");
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** The list service answers the first request by default, as a process waits for that before it serves. */
    ServeFixture() throws IOException {
        list.firstAnswer = unchangedList(1);
    }

    static String entry(String uid, StubPeer peer, String model, String state) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + peer.endpoint() + "\",\"az\":\"a\",\"model\":\"" + model
                + "\",\"pod_group\":0,\"state\":\"" + state + "\",\"capacity_hint\":1,\"boot_ms\":0}";
    }

    /** Starts the program with one cache and the origin listed; {@code more} is added to the ceilings of its settings. */
    ServeFixture start(Path folder, String more) throws IOException {
        port = freePort();
        program = launch(folder, config(folder, more));
        return this;
    }

    /** A port that systems give to nobody who asks for any: another test's peer or connection can't take it before the program has bound it. */
    static int freePort() throws IOException {
        while (true) {
            int drawn = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
            try (ServerSocket free = new ServerSocket(drawn, 1, InetAddress.getByName("127.0.0.1"))) {
                return free.getLocalPort();
            } catch (BindException e) {
                continue; // in use
            }
        }
    }

    /** Writes the configuration file from the current fields. */
    Path config(Path folder, String more) throws IOException {
        Path config = folder.resolve("config.json");
        return Files.writeString(config, """
                {"name":"p","listen":"127.0.0.1:%d",%s"discovery":"%s","seed":"1",
                 "limits":{"cores":1,"memory_mb":%d,"sockets":%d},
                 "known":{"rev":1,"all":true,"targets":[%s,%s]},
                 "settings":{"balancers":1,"flavors":["m","origin"],"dcs":["a"],
                  "membershipMode":"on_request","extra":{"mode":"aside","originKind":1},
                  "penalties":{"connection":0.1,"handshake":10},
                  "ceilings":{"mostExecutions":3,"parallelTries":true,"mayCancel":true,"retryAfter":true,
                              "maxRetryAfterS":1,"streamsPerConn":8,"idleCloseS":60,"connectTimeoutS":2%s},
                  "rules":{"askEveryS":10,"coldFrom":0.5,"warmAfterS":5},
                  "serviceGrades":[%s]}}"""
                .formatted(port, controlPort == 0 ? "" : "\"control\":\"127.0.0.1:" + controlPort + "\",", list.endpoint(), memoryMb, descriptorLimit, entry("s-1", cache, "m", "ready"),
                        entry("s-0", origin, "origin", "ready"), more, grades));
    }

    Process launch(Path folder, Path config) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), mainClass);
        builder.command().addAll(1, jvmFlags);
        builder.command().addAll(List.of(command.split(" ")));
        builder.command().addAll(List.of("--config", config.toString()));
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().putAll(environment);
        log = folder.resolve("log");
        return builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    }

    /** The memory flags that the launcher gives java for the memory limit. */
    List<String> launcherMemoryFlags(Path folder) throws IOException {
        String flags = launcherCommand(folder, "{\"limits\":{\"memory_mb\":" + memoryMb + "}}");
        return Stream.of(flags.strip().split(" ")).filter(flag -> flag.startsWith("-X") && !flag.contains("SharedArchive") && !flag.contains("-Xlog")).toList();
    }

    /** The arguments that the launcher gives java for a configuration. */
    String launcherCommand(Path folder, String configuration) throws IOException {
        Path tools = Files.createDirectory(folder.resolve("launcher"));
        Path java = Files.writeString(tools.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        assertThat(java.toFile().setExecutable(true)).isTrue();
        Path config = Files.writeString(tools.resolve("config"), configuration);
        ProcessBuilder launcher = new ProcessBuilder("/bin/sh", "deploy/serve.sh");
        launcher.environment().put("NODE_CONFIG", config.toString());
        launcher.environment().put("PATH", tools.toString());
        program = launcher.start();
        return new String(program.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    /** The most memory in MB that the program has had resident. */
    long peakMemoryMb() throws IOException {
        try (Stream<String> status = Files.lines(Path.of("/proc", Long.toString(program.pid()), "status"))) {
            String peak = status.filter(line -> line.startsWith("VmHWM:")).findFirst().orElseThrow();
            return Long.parseLong(peak.replaceAll("\\D", "")) / 1024;
        }
    }

    /** Connects to the program, once it accepts connections. */
    ServeFixture.Client client() throws IOException, InterruptedException {
        for (int i = 0; i < TIMEOUT_S * 100 && program.isAlive(); i++) {
            try {
                return new Client(new Socket("127.0.0.1", port));
            } catch (IOException e) {
                Thread.sleep(10);
            }
        }
        String state = program.isAlive() ? "is alive" : "has ended with status " + program.exitValue();
        throw new AssertionError("the program does not accept connections at port " + port + " and " + state + "; its log: " + Files.readString(log));
    }

    /** Sends one request to the control server; returns the status line, the head and the body. */
    static String request(int targetPort, String head) throws IOException {
        try (Socket caller = new Socket("127.0.0.1", targetPort)) {
            caller.setSoTimeout(1000); // operators' tools wait no longer
            caller.getOutputStream().write((head + "\r\nHost: p\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    String request(String head) throws IOException {
        return request(controlPort, head + " HTTP/1.1");
    }

    /** Repeats a request to the control server until the response contains {@code part}. */
    static void awaitAnswer(int targetPort, String head, String part) throws IOException, InterruptedException {
        String last = "";
        for (int i = 0; i < TIMEOUT_S * 100 && !last.contains(part); i++) {
            try {
                last = request(targetPort, head + " HTTP/1.1");
            } catch (java.net.ConnectException e) {
                last = e.toString(); // not listening yet
            }
            Thread.sleep(10);
        }
        assertThat(last).contains(part);
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(program.pid())).start().waitFor();
    }

    void sendHangUp() throws Exception {
        signal("HUP");
    }

    void awaitLog(Path folder, String text) throws IOException, InterruptedException {
        for (int i = 0; i < TIMEOUT_S * 100 && !Files.readString(folder.resolve("log")).contains(text); i++) {
            Thread.sleep(10);
        }
        assertThat(Files.readString(folder.resolve("log"))).contains(text);
    }

    /** A client's connection to the program. */
    static final class Client {
        final Socket socket;
        private final InputStream in;

        Client(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout((int) (1000 * TIMEOUT_S));
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String... elements) throws IOException {
            StringBuilder command = new StringBuilder("*" + elements.length + "\r\n");
            for (String element : elements) {
                command.append('$').append(element.length()).append("\r\n").append(element).append("\r\n");
            }
            raw(command.toString());
        }

        void raw(String bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
        }

        String answer() throws IOException {
            return readMessage(in, false).get(0);
        }

        byte[] bytes(int count) throws IOException {
            return in.readNBytes(count);
        }

        byte[] rest() throws IOException {
            return in.readAllBytes();
        }

        boolean isAtEnd() throws IOException {
            return in.read() < 0;
        }
    }

    void close() throws Exception {
        program.destroyForcibly();
        program.waitFor();
        cache.close();
        origin.close();
        list.close();
    }
}
