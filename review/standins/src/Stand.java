import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** What all cases share: stand-ins for the caches, the origin, the list service and clients, and the start of the program. */
final class Stand {
    static final long STARTED = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final List<String> RECORD = new ArrayList<>();
    private static final List<Process> STARTED_PROCESSES = new ArrayList<>();
    private static Path temporary;

    private Stand() {}

    static double nowMs() {
        return (System.nanoTime() - STARTED) / 1e6;
    }

    /** Adds a line to the record. */
    static void record(String format, Object... arguments) {
        add(String.format("%10.2f  ", nowMs()) + String.format(format, arguments));
    }

    /** Adds a short line to the record, for cases with very many requests: one for each at its node, one for each answer at its client. */
    static void brief(String text) {
        add(String.format("%.1f ", nowMs()) + text);
    }

    /** A number of 16 hexadecimal digits without its leading zeros. */
    static String digits(String number) {
        return Long.toHexString(Long.parseUnsignedLong(number, 16));
    }

    private static void add(String line) {
        synchronized (RECORD) {
            RECORD.add(line);
        }
    }

    static void sleep(double ms) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (1000 * Math.max(0, ms)));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread go(String name, Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException e) {
                // its peer has gone
            } catch (Exception e) {
                record("a stand-in failed: %s: %s", name, e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Action {
        void run() throws Exception;
    }

    /** Runs a case: writes its record, ends what it started, and exits with the status. */
    static void run(Path folder, Case one) throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(Stand::cleanUp));
        go("limit", () -> { // a case that hangs could not run
            sleep(115_000);
            finish(folder, 2, "the case did not end in time");
        });
        int status = 2;
        String text;
        try {
            temporary = Files.createTempDirectory("review");
            text = one.run();
            status = text.isEmpty() ? 0 : 1;
            text = text.isEmpty() ? "the rule held" : text;
        } catch (Exception e) {
            StringBuilder trace = new StringBuilder("the case could not run: " + e);
            for (StackTraceElement element : e.getStackTrace()) {
                trace.append("\n    at ").append(element);
            }
            text = trace.toString();
        }
        finish(folder, status, text);
    }

    interface Case {
        /** Returns what broke the rule; empty if it held. */
        String run() throws Exception;
    }

    private static synchronized void finish(Path folder, int status, String text) throws IOException {
        record("%s", text);
        synchronized (RECORD) {
            List<String> lines = new ArrayList<>(RECORD);
            lines.add("");
            lines.add("the program's log:");
            Path log = temporary == null ? null : temporary.resolve("log");
            if (log != null && Files.exists(log)) {
                Files.readAllLines(log, StandardCharsets.ISO_8859_1).forEach(line -> lines.add("    " + line));
            }
            Files.write(folder.resolve("record.txt"), lines);
        }
        System.out.println(text);
        cleanUp();
        Runtime.getRuntime().halt(status);
    }

    private static synchronized void cleanUp() {
        for (Process process : STARTED_PROCESSES) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (temporary != null && Files.exists(temporary)) {
            try (var all = Files.walk(temporary)) {
                all.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            } catch (IOException e) {
                System.err.println("the temporary folder stays: " + e);
            }
        }
    }

    static InetAddress loopback() throws IOException {
        return InetAddress.getByName("127.0.0.1");
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, loopback())) {
            return free.getLocalPort();
        }
    }

    // ---- RESP and HTTP

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        for (; c >= 0 && c != '\n'; c = in.read()) {
            line.write(c);
        }
        if (c < 0) {
            throw new EOFException("ended");
        }
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    /** The elements of one RESP message: of an array its bulk strings (null for a null one), else the line or bulk string itself. */
    static List<String> readResp(InputStream in) throws IOException {
        String line = readLine(in);
        List<String> elements = new ArrayList<>();
        if (line.startsWith("*")) {
            int count = Integer.parseInt(line.substring(1));
            for (int i = 0; i < count; i++) {
                elements.add(readBulk(in, readLine(in)));
            }
        } else {
            elements.add(line.startsWith("$") ? readBulk(in, line) : line);
        }
        return elements;
    }

    private static String readBulk(InputStream in, String head) throws IOException {
        int length = Integer.parseInt(head.substring(1));
        if (length < 0) {
            return null;
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("ended inside a value");
        }
        readLine(in);
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    static byte[] command(String... elements) {
        StringBuilder text = new StringBuilder("*" + elements.length + "\r\n");
        for (String element : elements) {
            text.append('$').append(element.length()).append("\r\n").append(element).append("\r\n");
        }
        return ascii(text.toString());
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A cache's answer: the value, how the read went, no load report. */
    static byte[] cacheAnswer(String value) {
        return ascii("*3\r\n" + (value == null ? "$-1\r\n" : "$" + value.length() + "\r\n" + value + "\r\n")
                + (value == null ? "$4\r\nmiss\r\n" : "$3\r\nhit\r\n") + "$-1\r\n");
    }

    static String cut(String value) {
        return value == null ? "null" : value.length() <= 40 ? value : value.substring(0, 40) + "... (" + value.length() + " bytes)";
    }

    // ---- stand-ins

    /** A listening stand-in; each connection has a thread. */
    abstract static class Server {
        final String uid;
        final ServerSocket server;

        Server(String uid) throws IOException {
            this.uid = uid;
            server = new ServerSocket(0, 512, loopback());
            go(uid, () -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    go(uid + " connection", () -> serve(socket));
                }
            });
        }

        abstract void serve(Socket socket) throws Exception;

        int port() {
            return server.getLocalPort();
        }

        String entry(String model, int port, String zone) {
            return entry(uid, model, port, zone);
        }

        String entry(String uid, String model, int port, String zone) {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone + "\",\"model\":\"" + model
                    + "\",\"pod_group\":0,\"state\":\"ready\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }
    }

    /** One command that a cache has read; it is answered in the order of the commands on its connection. */
    static final class Asked {
        final String verb;
        final String key;
        final String id;
        /** The value of a write; null for a read. */
        final String value;
        final double atMs;

        Asked(List<String> elements, double atMs) {
            verb = elements.get(0);
            key = elements.get(1);
            id = elements.get(2);
            value = elements.size() > 4 ? elements.get(4) : null;
            this.atMs = atMs;
        }
    }

    /** A cache that holds a value for each key; commands on a connection are begun at once and answered in order. */
    static class Cache extends Server {
        Cache(String uid) throws IOException {
            super(uid);
        }

        @Override
        void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            LinkedBlockingQueue<Asked> asked = new LinkedBlockingQueue<>();
            go(uid + " answers", () -> {
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Asked next = asked.take();
                    noteRead(next);
                    answer(socket, in, out, next, asked);
                }
            });
            try {
                while (true) {
                    List<String> elements = readResp(in);
                    if (elements.get(0).startsWith("C.")) {
                        asked.add(new Asked(elements, nowMs()));
                    } else { // not in the middle of others here: the program sends none
                        socket.getOutputStream().write(ascii(elements.get(0).equals("PING") ? "+PONG\r\n" : "+OK\r\n"));
                    }
                }
            } catch (IOException e) {
                record("%s: a connection ended", uid);
                socket.close();
            }
        }

        /** Time in ms that a command takes. */
        double workMs(Asked asked) {
            return 5;
        }

        String value(String key) {
            return valueOf(key);
        }

        void answer(Socket socket, InputStream in, OutputStream out, Asked asked, LinkedBlockingQueue<Asked> waiting) throws Exception {
            sleep(asked.atMs + workMs(asked) - nowMs());
            String text = asked.value == null ? value(asked.key) : "receipt-of-" + asked.id;
            out.write(cacheAnswer(text));
            noteAnswer(asked, text);
        }

        void noteRead(Asked asked) {
            record("%s reads %s %s id %s", uid, asked.verb, asked.key, asked.id);
        }

        void noteAnswer(Asked asked, String text) {
            record("%s answers id %s with %s", uid, asked.id, cut(text));
        }
    }

    static String valueOf(String key) {
        return "value-of-" + key;
    }

    /** The origin: HTTP/1.1, with keep-alive. */
    static class Origin extends Server {
        Origin() throws IOException {
            super("origin-0");
        }

        @Override
        void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 64 << 10);
            OutputStream out = socket.getOutputStream();
            while (true) {
                String[] request = readLine(in).split(" ");
                int length = 0;
                String id = "";
                for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                    length = line.toLowerCase().startsWith("content-length: ") ? Integer.parseInt(line.substring(16)) : length;
                    id = line.toLowerCase().startsWith("x-correlation-id: ") ? line.substring(18) : id;
                }
                if (in.readNBytes(length).length < length) {
                    return;
                }
                String key = request[1].substring(1);
                noteRead(request[0], key, id, length);
                sleep(workMs(request[0], key));
                String body = request[0].equals("PUT") ? "receipt-of-" + id : valueOf(key);
                byte[] answer = ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
                out.write(answer);
                noteAnswer(id, body);
                answered(id, answer, socket, out);
            }
        }

        void noteRead(String method, String key, String id, int length) {
            record("origin reads %s %s id %s, %d bytes", method, key, id, length);
        }

        void noteAnswer(String id, String body) {
            record("origin answers id %s with %s", id, cut(body));
        }

        /** It has written its answer. */
        void answered(String id, byte[] answer, Socket socket, OutputStream out) throws IOException {
            // for those who do or count more
        }

        double workMs(String method, String key) {
            return 150;
        }
    }

    /** The list service: one list that does not change; a watch is answered when its time is over. */
    static final class Discovery extends Server {
        private final String entries;

        Discovery(List<String> entries) throws IOException {
            super("discovery");
            this.entries = String.join(",", entries);
        }

        String list() {
            return "{\"rev\":41,\"all\":true,\"targets\":[" + entries + "]}";
        }

        @Override
        void serve(Socket socket) throws Exception {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String path = readLine(in).split(" ")[1];
                while (!readLine(in).isEmpty()) {
                    // headers
                }
                String body = list();
                if (path.contains("from=41")) {
                    int hold = path.indexOf("hold_ms=");
                    sleep(hold < 0 ? 0 : Long.parseLong(path.substring(hold + 8)));
                    body = "{\"rev\":41,\"all\":false,\"targets\":[]}";
                }
                socket.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body));
            }
        }
    }

    /** The way between two machines: bytes arrive after a fixed time, in their order. */
    static final class Way extends Server {
        private final int to;
        private final double oneWayMs;

        Way(String uid, int to, double oneWayMs) throws IOException {
            super(uid);
            this.to = to;
            this.oneWayMs = oneWayMs;
        }

        private record Part(byte[] bytes, double dueMs) {}

        @Override
        void serve(Socket near) throws Exception {
            Socket far = new Socket(loopback(), to);
            far.setTcpNoDelay(true);
            go("way out", () -> carry(near, far));
            carry(far, near);
        }

        private void carry(Socket from, Socket into) throws Exception {
            LinkedBlockingQueue<Part> parts = new LinkedBlockingQueue<>();
            go("way arrival", () -> {
                for (Part part = parts.take(); part.bytes != null; part = parts.take()) {
                    sleep(part.dueMs - nowMs());
                    into.getOutputStream().write(part.bytes);
                }
                into.close();
            });
            byte[] buffer = new byte[64 << 10];
            try {
                for (int read = from.getInputStream().read(buffer); read >= 0; read = from.getInputStream().read(buffer)) {
                    parts.add(new Part(java.util.Arrays.copyOf(buffer, read), nowMs() + oneWayMs));
                }
            } finally {
                parts.add(new Part(null, 0));
            }
        }
    }

    // ---- the program

    /** The limits of the days that are scored. */
    static final int SOCKETS = 1024;
    static final String[] ZONES = {"parana", "santa-fe", "rosario", "concordia"};

    /** The settings of litoral-homebanking, from its site file. */
    static String litoral() {
        return """
                {"balancers":1,
                 "ceilings":{"connectTimeoutS":0.25,"cpuUsPerRequest":0.0,"cpuUsPerS":100000,"idleCloseS":10.0,"maxRetryAfterS":2.0,
                   "mayCancel":true,"mostExecutions":4,"mostHeld":4000,"parallelTries":true,"peers":false,"probing":true,
                   "retryAfter":true,"streamsPerConn":128},
                 "clients":{"marksRetry":false},
                 "dcs":["parana","santa-fe","rosario","concordia"],
                 "excessImportance":0.1,
                 "extra":{"mode":"aside","notes":"","originFallMultiple":0.0,"originFallS":3.0,"originKind":2,"reportX0":"","reportX1":""},
                 "flavors":["estandar","economico","origin"],
                 "goal":{"whole":0.8,"worstClass":0.1,"worstTenant":0.0,"worstWindow":0.1},
                 "importanceBasis":"request","me":0,"membershipMode":"on_request",
                 "penalties":{"connection":0.08,"crossZone":0.01,"handshake":0.08,"lateFail":0.08,"membershipMode":0.0,"moves":0.0,
                   "origin":0.0,"peer":0.0,"probe":0.01,"waste":0.037},
                 "projects":[],"report":{"fields":[],"how":"off"},
                 "rules":{"askEveryS":10.0,"coldFrom":0.33,"drainGraceS":0.5,"fallMultiple":3.0,"fallS":1.5,"graceToAnswerS":0.005,"warmAfterS":8.0},
                 "serviceGrades":[
                   {"group":"all","importance":5.0,"name":"consulta","semantics":"read_like","sloTimeS":1.2,"statementTimeoutS":4.0,
                    "stream":false,"tardyImportance":0.5,"windowS":5.0},
                   {"group":"all","importance":10.0,"name":"transferencia","semantics":"idempotency_key","sloTimeS":1.5,"statementTimeoutS":3.0,
                    "stream":false,"tardyImportance":0.5,"windowS":2.0}],
                 "serviceType":"cache","stage":0,"tickS":0.005,"tiers":["cache-cuentas"],"weightSource":"nominal","zone":0}""";
    }

    /** The settings of kingston-league, from its site file. */
    static String kingston() {
        return """
                {"balancers":1,
                 "ceilings":{"connectTimeoutS":0.2,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"idleCloseS":15.0,"maxRetryAfterS":2.0,
                   "mayCancel":true,"mostExecutions":5,"mostHeld":4000,"parallelTries":true,"peers":false,"probing":true,
                   "retryAfter":false,"streamsPerConn":1},
                 "clients":{"marksRetry":true},
                 "dcs":["hall-a","hall-b"],
                 "excessImportance":0.1,
                 "extra":{"mode":"through","notes":"1 hit, 2 miss, 3 miss while this server has told another request to fetch",
                   "originFallMultiple":0.0,"originFallS":3.0,"originKind":-1,"reportX0":"","reportX1":"fetches out"},
                 "flavors":["std-3core"],
                 "goal":{"whole":0.45,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.35},
                 "importanceBasis":"request","me":0,"membershipMode":"pushed",
                 "penalties":{"connection":0.0,"crossZone":0.01,"handshake":0.02,"lateFail":0.055,"membershipMode":0.0,"moves":0.0,
                   "origin":0.0,"peer":0.0,"probe":0.01,"waste":0.031},
                 "projects":[],"report":{"fields":["outstanding","errors_per_s","x1"],"how":"inline"},
                 "rules":{"askEveryS":10.0,"coldFrom":0.15,"drainGraceS":0.25,"fallMultiple":3.0,"fallS":1.5,"graceToAnswerS":0.005,"warmAfterS":23.0},
                 "serviceGrades":[
                   {"group":"all","importance":3.0,"name":"team-view","semantics":"read_like","sloTimeS":0.5,"statementTimeoutS":1.0,
                    "stream":false,"tardyImportance":0.0,"windowS":5.0},
                   {"group":"all","importance":1.0,"name":"league-table","semantics":"read_like","sloTimeS":1.2,"statementTimeoutS":4.0,
                    "stream":false,"tardyImportance":0.0,"windowS":5.0},
                   {"group":"all","importance":8.0,"name":"transfer","semantics":"non_idempotent","sloTimeS":1.2,"statementTimeoutS":4.0,
                    "stream":false,"tardyImportance":0.0,"windowS":5.0},
                   {"group":"all","importance":2.0,"name":"captain-pick","semantics":"idempotency_key","sloTimeS":1.5,"statementTimeoutS":5.0,
                    "stream":false,"tardyImportance":0.0,"windowS":3.0}],
                 "serviceType":"cache","stage":0,"tickS":0.005,"tiers":["score-cache"],"weightSource":"live","zone":0}""";
    }

    /** One proxy, started by the run command of the deploy file. */
    static final class Program {
        final int port;
        final int control = freePort();
        final Process process;

        Program(Discovery discovery, String settings) throws Exception {
            this(discovery, settings, freePort());
        }

        /** Also the next process of a proxy, with the same address and another one for operators. */
        Program(Discovery discovery, String settings, int port) throws Exception {
            this.port = port;
            Path config = temporary.resolve("config-" + control + ".json");
            Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"control\":\"127.0.0.1:" + control
                    + "\",\"discovery\":\"127.0.0.1:" + discovery.port() + "\",\"seed\":\"8c1f30d27a5be964\",\n"
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + SOCKETS + "},\n\"known\":" + discovery.list()
                    + ",\n\"settings\":" + settings + "}\n");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "ulimit -n " + SOCKETS + "; " + deployFile("run"));
            builder.environment().putAll(Map.of("NODE_NAME", "n0", "NODE_LISTEN", "127.0.0.1:" + port, "NODE_DISCOVERY",
                    "127.0.0.1:" + discovery.port(), "NODE_CONFIG", config.toString(), "NODE_CONTROL", "127.0.0.1:" + control,
                    "TMPDIR", Files.createDirectories(temporary.resolve("tmp")).toString()));
            process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve("log").toFile())).start();
            STARTED_PROCESSES.add(process);
            for (int i = 0; ; i++) {
                try {
                    if (call("GET", "/control/ready").contains(" 200 ")) {
                        record("the program is ready, process %d", process.pid());
                        return;
                    }
                    sleep(50);
                } catch (IOException e) {
                    if (i > 300 || !process.isAlive()) {
                        throw new IllegalStateException("the program did not become ready");
                    }
                    sleep(100);
                }
            }
        }

        /** A call at the operators' address; returns the status line. */
        String call(String method, String path) throws IOException {
            try (Socket socket = new Socket(loopback(), control)) {
                socket.getOutputStream().write(ascii(method + " " + path + " HTTP/1.1\r\nHost: n0\r\nContent-Length: 0\r\n\r\n"));
                String status = readLine(socket.getInputStream());
                record("operator: %s %s: %s", method, path, status);
                return status;
            }
        }
    }

    /** A value of the deploy file. */
    private static String deployFile(String key) throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IllegalStateException("the deploy file has no " + key);
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final String name;
        final Socket socket;
        final InputStream in;

        Client(String name, int port) throws IOException {
            this(name, port, 0);
        }

        Client(String name, int port, int receiveBuffer) throws IOException {
            this.name = name;
            socket = new Socket();
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.connect(new InetSocketAddress(loopback(), port), 5000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        List<String> read() throws IOException {
            return readResp(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
