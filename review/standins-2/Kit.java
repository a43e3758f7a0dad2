import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Stand-ins for clients, cache nodes, the origin, discovery and the platform, and a proxy as operators start it. All on loopback addresses. */
final class Kit {
    private Kit() {}

    // the record

    private static final long START = System.nanoTime();
    private static PrintWriter record;
    private static Path temporary;
    private static final List<ProxyProcess> started = new ArrayList<>();

    /** Milliseconds since the start of the case. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Writes one line to record.txt. */
    static synchronized void note(String who, String what) {
        if (record != null) {
            record.printf("%9.1f %-10s %s%n", now(), who, what);
        }
    }

    static synchronized void say(String text) {
        System.out.println(text);
        note("verdict", text);
    }

    static void sleep(double ms) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (ms * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread go(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                note(name, "ended by " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body {
        void run() throws Exception;
    }

    /** Ends the case with that status, and every process that it started. */
    static void end(int status) {
        killAll();
        synchronized (Kit.class) {
            if (record != null) {
                record.flush();
            }
        }
        Runtime.getRuntime().halt(status);
    }

    private static void killAll() {
        synchronized (started) {
            started.forEach(ProxyProcess::kill);
        }
        if (temporary != null) {
            try (var all = Files.walk(temporary)) {
                all.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
            } catch (IOException e) {
                note("case", "the temporary folder stays: " + e);
            }
        }
    }

    /** The temporary folder of the case; it is deleted at the end. */
    static Path temporary() throws IOException {
        if (temporary == null) {
            temporary = Files.createTempDirectory("dappleseam-review");
        }
        return temporary;
    }

    /** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(String[] args, Case body) {
        Path folder = Path.of(args[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try {
            openRecord(folder.resolve("record.txt"));
            Runtime.getRuntime().addShutdownHook(new Thread(Kit::killAll));
            note("case", "trouble " + trouble);
            go("limit", () -> {
                sleep(115_000);
                say("the case took too long");
                end(2);
            });
            end(body.run(trouble) ? 1 : 0);
        } catch (Exception | Error e) {
            say("the case could not run: " + e);
            e.printStackTrace(System.out);
            end(2);
        }
    }

    interface Case {
        /** Whether the rule was broken. */
        boolean run(boolean trouble) throws Exception;
    }

    // sockets

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("closed");
            }
            line.write(c);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** One RESP2 message: a line with its type, a byte array, a list of such, or null. */
    static Object resp(InputStream in) throws IOException {
        String head = line(in);
        if (head.isEmpty()) {
            throw new IOException("an empty line");
        }
        if (head.charAt(0) == '$') {
            int length = Integer.parseInt(head.substring(1));
            if (length < 0) {
                return null;
            }
            byte[] value = in.readNBytes(length);
            if (value.length < length || in.read() != '\r' || in.read() != '\n') {
                throw new IOException("closed in a value, after " + value.length + " of " + length + " bytes");
            }
            return value;
        }
        if (head.charAt(0) == '*') {
            List<Object> parts = new ArrayList<>();
            for (int i = Integer.parseInt(head.substring(1)); i > 0; i--) {
                parts.add(resp(in));
            }
            return parts;
        }
        return head;
    }

    static byte[] command(Object... words) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(bytes("*" + words.length + "\r\n"));
        for (Object word : words) {
            byte[] text = word instanceof byte[] ? (byte[]) word : bytes((String) word);
            out.write(bytes("$" + text.length + "\r\n"));
            out.write(text);
            out.write(bytes("\r\n"));
        }
        return out.toByteArray();
    }

    /** A cache node's reply with a value. */
    static byte[] reply(byte[] value) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(bytes(value == null ? "*3\r\n$-1\r\n" : "*3\r\n$" + value.length + "\r\n"));
        if (value != null) {
            out.write(value);
            out.write(bytes("\r\n"));
        }
        out.write(bytes("$-1\r\n$-1\r\n"));
        return out.toByteArray();
    }

    static String fact(String facts, String name) {
        for (String pair : facts.split(",")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return "";
    }

    /** A server on a loopback address with a thread for each connection. */
    static class Server {
        final String name;
        final int port;
        private final ServerSocket listener;
        final List<Socket> open = new ArrayList<>();

        Server(String name) throws IOException {
            this.name = name;
            listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
            port = listener.getLocalPort();
            go(name, () -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (open) {
                        open.add(socket);
                    }
                    go(name + "-c", () -> {
                        try {
                            serve(socket);
                        } catch (IOException e) {
                            // the peer has closed, or this server has
                        } finally {
                            synchronized (open) {
                                open.remove(socket);
                            }
                            socket.close();
                        }
                    });
                }
            });
        }

        String endpoint() {
            return "127.0.0.1:" + port;
        }

        void serve(Socket socket) throws IOException {}

        /** Dies as a process does: open connections are reset, new ones are refused. */
        void die() throws IOException {
            listener.close();
            synchronized (open) {
                for (Socket socket : open) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            }
        }
    }

    /** A command that reached a cache node or the origin. */
    record Arrived(double atMs, String at, String verb, String key, String id, String facts, int valueBytes) {}

    static final List<Arrived> arrived = new ArrayList<>();

    static void arrive(String at, String verb, String key, String id, String facts, int valueBytes) {
        synchronized (arrived) {
            arrived.add(new Arrived(now(), at, verb, key, id, facts, valueBytes));
        }
        note(at, verb + " " + key + " " + id + " " + facts);
    }

    static List<Arrived> arrivedOf(String id) {
        synchronized (arrived) {
            return arrived.stream().filter(a -> a.id.equals(id)).toList();
        }
    }

    /** A cache node. It holds every key, and takes its commands on a connection in order. */
    static class Cache extends Server {
        volatile double workMs;
        volatile boolean silent;
        volatile int valueBytes = 64;

        Cache(String name) throws IOException {
            super(name);
        }

        @Override
        void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            while (true) {
                if (!(resp(in) instanceof List<?> words)) {
                    return;
                }
                String verb = text(words, 0);
                if (verb.startsWith("C.")) {
                    arrive(name, verb, text(words, 1), text(words, 2), text(words, 3), words.size() > 4 ? ((byte[]) words.get(4)).length : 0);
                    while (silent) {
                        sleep(20);
                    }
                    answer(socket, out, verb, text(words, 1), text(words, 2), text(words, 3));
                } else {
                    out.write(bytes(verb.equals("PING") ? "+PONG\r\n" : verb.equals("CLIENT") || verb.equals("SELECT") ? "+OK\r\n" : "-ERR\r\n"));
                }
            }
        }

        /** Answers one query; the value names the query that it was made for. */
        void answer(Socket socket, OutputStream out, String verb, String key, String id, String facts) throws IOException {
            sleep(workMs);
            out.write(reply(value(id, valueBytes)));
        }
    }

    static String text(List<?> words, int at) {
        return at < words.size() && words.get(at) instanceof byte[] word ? new String(word, StandardCharsets.ISO_8859_1) : "";
    }

    /** A value of that length which was made for the query with that id. */
    static byte[] value(String id, int length) {
        byte[] unit = bytes("<" + id + ">");
        byte[] value = new byte[Math.max(unit.length, length)];
        for (int i = 0; i < value.length; i++) {
            value[i] = unit[i % unit.length];
        }
        return value;
    }

    /** The origin, over HTTP/1.1. */
    static class Origin extends Server {
        volatile double workMs;
        volatile boolean silent;

        Origin(String name) throws IOException {
            super(name);
        }

        @Override
        void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            while (true) {
                String[] request = line(in).split(" ");
                Map<String, String> headers = headers(in);
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                String id = headers.get("x-correlation-id");
                arrive(name, request[0], request[1].substring(1), id, headers.get("x-facts"), body.length);
                while (silent) {
                    sleep(20);
                }
                answer(socket, out, request[0], request[1].substring(1), id);
            }
        }

        void answer(Socket socket, OutputStream out, String verb, String key, String id) throws IOException {
            sleep(workMs);
            byte[] value = value(id, 64);
            out.write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + value.length + "\r\n\r\n"));
            out.write(value);
        }
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).strip());
        }
        return headers;
    }

    /** An entry of discovery's list. */
    static final class Entry {
        final String uid;
        final String endpoint;
        final String model;
        String state = "ready";
        String zone;
        int cell;
        long bootMs;
        long changedAt;

        Entry(String uid, String endpoint, String zone, String model) {
            this.uid = uid;
            this.endpoint = endpoint;
            this.zone = zone;
            this.model = model;
        }

        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint + "\",\"az\":\"" + zone + "\",\"model\":\"" + model + "\",\"pod_group\":" + cell
                    + ",\"state\":\"" + state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
        }
    }

    /** Discovery: gives the list and long polls. */
    static class Discovery extends Server {
        private final Map<String, Entry> entries = new LinkedHashMap<>();
        long rev = 1;
        /** What it does with calls: answer, 503, or nothing. */
        volatile String mode = "answer";

        Discovery(String name) throws IOException {
            super(name);
        }

        synchronized void put(Entry entry) {
            entry.changedAt = ++rev;
            entries.put(entry.uid, entry);
            note(name, "rev " + rev + " " + entry.json());
            notifyAll();
        }

        synchronized void state(String uid, String state) {
            entries.get(uid).state = state;
            put(entries.get(uid));
        }

        /** The whole list, as {@code known} in a configuration. */
        synchronized String whole() {
            return json(0);
        }

        private String json(long from) {
            StringBuilder text = new StringBuilder();
            for (Entry entry : entries.values()) {
                if (entry.changedAt > from && (from > 0 || !entry.state.equals("gone"))) {
                    text.append(text.length() == 0 ? "" : ",").append(entry.json());
                }
            }
            return "{\"rev\":" + rev + ",\"all\":" + (from == 0) + ",\"targets\":[" + text + "]}";
        }

        private synchronized String changes(long from, long holdMs) {
            double until = now() + holdMs;
            while (rev <= from && now() < until) {
                try {
                    wait(Math.max(1, (long) (until - now())));
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            return json(from);
        }

        @Override
        void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String path = line(in).split(" ")[1];
                headers(in);
                String how = mode;
                note(name, how + " " + path + " from port " + socket.getPort());
                if (how.equals("503")) {
                    out.write(bytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                if (how.equals("silent")) {
                    sleep(60_000);
                    return;
                }
                long from = 0;
                long hold = 0;
                for (String pair : path.contains("?") ? path.substring(path.indexOf('?') + 1).split("&") : new String[0]) {
                    from = pair.startsWith("from=") ? Long.parseLong(pair.substring(5)) : from;
                    hold = pair.startsWith("hold_ms=") ? Long.parseLong(pair.substring(8)) : hold;
                }
                String body = changes(from, hold);
                out.write(bytes("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
                note(name, "wrote to port " + socket.getPort() + ": " + (body.length() > 200 ? body.substring(0, 60) + "... " + body.length() + " bytes" : body));
            }
        }
    }

    /** A proxy, started by the command of the deploy file. */
    static final class ProxyProcess {
        final String name;
        final int port;
        final int control;
        final Path config;
        private final Path folder;
        private final String text;
        private final String discovery;
        private final String known;
        private final String settings;
        private final int memoryMb;
        private final int sockets;
        Process process;
        /** Options behind the run command, such as {@code --fleet FILE}. */
        String options = "";

        ProxyProcess(Path folder, String name, String discovery, String known, String settings, int memoryMb, int sockets) throws IOException {
            this(folder, name, freePort(), freePort(), discovery, known, settings, memoryMb, sockets);
        }

        ProxyProcess(Path folder, String name, int port, int control, String discovery, String known, String settings, int memoryMb, int sockets) throws IOException {
            this.discovery = discovery;
            this.known = known;
            this.settings = settings;
            this.memoryMb = memoryMb;
            this.sockets = sockets;
            this.folder = folder;
            this.name = name;
            this.port = port;
            this.control = control;
            config = folder.resolve(name + "-" + control + ".json");
            text = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"control\":\"127.0.0.1:" + control + "\",\"discovery\":\"DISCOVERY\",\"seed\":\"8c1f30d27a5be96"
                    + (control % 10) + "\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\n\"known\":" + known + ",\n\"settings\":" + settings + "}";
            configure(discovery);
        }

        /** The next version of this proxy: the same addresses but for the second one. */
        ProxyProcess successor() throws IOException {
            return new ProxyProcess(folder, name, port, freePort(), discovery, known, settings, memoryMb, sockets);
        }

        void configure(String discovery) throws IOException {
            Files.writeString(config, text.replace("DISCOVERY", discovery));
        }

        void start() throws IOException {
            String run = "";
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                run = line.startsWith("run = ") ? line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')) : run;
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run + options);
            builder.environment().put("NODE_CONFIG", config.toString());
            builder.environment().put("NODE_NAME", name);
            builder.environment().put("TMPDIR", Files.createDirectories(folder.resolve("tmp-" + name)).toString());
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            builder.redirectInput(new File("/dev/null"));
            process = builder.start();
            synchronized (started) {
                started.add(this);
            }
            note(name, "started as process " + process.pid());
        }

        /** Waits until PING is answered; throws if that takes over 30 s. */
        void awaitReady() throws IOException {
            double until = now() + 30_000;
            while (now() < until && process.isAlive()) {
                try (Socket socket = connect()) {
                    socket.setSoTimeout(1000);
                    socket.getOutputStream().write(command("PING"));
                    if ("+PONG".equals(resp(socket.getInputStream()))) {
                        note(name, "ready");
                        return;
                    }
                } catch (IOException e) {
                    // not yet
                }
                sleep(10);
            }
            throw new IOException(name + " did not get ready");
        }

        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            return socket;
        }

        void signal(String signal) throws IOException {
            note(name, "SIG" + signal);
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }

        /** The figure of that name; -1 if it is missing. */
        double figure(String name) throws IOException {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", control), 1000);
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(bytes("GET /control/counters HTTP/1.1\r\nHost: proxy\r\n\r\n"));
                for (String line : new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                    if (line.startsWith(name + " ")) {
                        return Double.parseDouble(line.substring(name.length() + 1));
                    }
                }
                return -1;
            }
        }

        /** One call at the operators' door; the status. */
        int call(String method, String path) throws IOException {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", control), 1000);
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(bytes(method + " " + path + " HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n"));
                int status = Integer.parseInt(line(socket.getInputStream()).split(" ")[1]);
                note(name, method + " " + path + ": " + status);
                return status;
            }
        }
    }

    // settings, in the form of the wire page

    static String grade(String name, String semantics, String group, double sloS, double deadlineS, double windowS, double importance, double tardy) {
        return "{\"group\":\"" + group + "\",\"importance\":" + importance + ",\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"sloTimeS\":" + sloS
                + ",\"statementTimeoutS\":" + deadlineS + ",\"stream\":false,\"tardyImportance\":" + tardy + ",\"windowS\":" + windowS + "}";
    }

    /** The settings of litoral-homebanking at its first size. */
    static String litoral(int proxies) {
        return "{\"balancers\":" + proxies + ",\"ceilings\":{\"connectTimeoutS\":0.25,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":100000,\"idleCloseS\":10.0,\"maxRetryAfterS\":2.0,"
                + "\"mayCancel\":true,\"mostExecutions\":4,\"mostHeld\":33333,\"parallelTries\":true,\"peers\":false,\"probing\":true,\"retryAfter\":true,\"streamsPerConn\":128},"
                + "\"clients\":{\"marksRetry\":false},\"dcs\":[\"parana\",\"santa-fe\",\"rosario\",\"concordia\"],\"excessImportance\":0.1,"
                + "\"extra\":{\"mode\":\"aside\",\"originKind\":2,\"originFallMultiple\":0.0,\"originFallS\":3.0},\"flavors\":[\"estandar\",\"economico\",\"origin\"],"
                + "\"me\":0,\"membershipMode\":\"on_request\",\"penalties\":{\"connection\":0.08,\"crossZone\":0.01,\"handshake\":0.08,\"lateFail\":0.08,\"probe\":0.01,\"waste\":0.037},"
                + "\"report\":{\"fields\":[],\"how\":\"off\"},"
                + "\"rules\":{\"askEveryS\":10.0,\"coldFrom\":0.33,\"drainGraceS\":0.5,\"fallMultiple\":3.0,\"fallS\":1.5,\"graceToAnswerS\":0.005,\"warmAfterS\":8.1},"
                + "\"serviceGrades\":[" + grade("consulta", "read_like", "all", 1.2, 4, 5, 5, 0.5) + "," + grade("transferencia", "idempotency_key", "all", 1.5, 3, 2, 10, 0.5) + "],"
                + "\"serviceType\":\"cache\",\"stage\":0,\"tickS\":0.005,\"tiers\":[\"cache-cuentas\"],\"weightSource\":\"nominal\",\"zone\":0}";
    }

    /** The settings of pallet-cache-north at its first size. */
    static String pallet(int proxies) {
        return "{\"balancers\":" + proxies + ",\"ceilings\":{\"connectTimeoutS\":0.25,\"idleCloseS\":30.0,\"mayCancel\":true,\"mostExecutions\":3,\"mostHeld\":33333,"
                + "\"parallelTries\":true,\"peers\":true,\"probing\":true,\"retryAfter\":true,\"maxRetryAfterS\":1.0,\"streamsPerConn\":128},"
                + "\"clients\":{\"marksRetry\":false},\"dcs\":[\"taoyuan-dc\",\"hsinchu-dc\",\"taichung-dc\"],\"extra\":{\"mode\":\"through\",\"originKind\":-1},"
                + "\"flavors\":[\"std-4c\",\"lite-3c\"],\"me\":0,\"membershipMode\":\"pushed\","
                + "\"penalties\":{\"connection\":0.0,\"crossZone\":0.02,\"handshake\":0.02,\"lateFail\":0.08,\"peer\":0.01,\"probe\":0.01,\"waste\":0.029},"
                + "\"report\":{\"fields\":[],\"how\":\"off\"},"
                + "\"rules\":{\"askEveryS\":0.0,\"coldFrom\":0.17,\"drainGraceS\":1.5,\"fallMultiple\":4.0,\"fallS\":2.0,\"graceToAnswerS\":0.005,\"warmAfterS\":22.0},"
                + "\"serviceGrades\":[" + grade("balance-check", "read_like", "all", 0.6, 2, 5, 1, 0) + "," + grade("transfer-post", "read_like", "all", 0.75, 3, 5, 2, 0) + "],"
                + "\"serviceType\":\"cache\",\"stage\":0,\"tickS\":0.005,\"weightSource\":\"nominal\",\"zone\":0}";
    }

    /** A small deployment of litoral-homebanking: discovery, cache nodes in its four data centres, the origin, and one of its three proxies, not yet started. */
    static ProxyProcess litoral(List<? extends Cache> caches, int sockets) throws IOException {
        String[] zones = {"parana", "santa-fe", "rosario", "concordia"};
        Discovery discovery = new Discovery("discovery");
        for (int i = 0; i < caches.size(); i++) {
            discovery.put(new Entry("s-" + i, caches.get(i).endpoint(), zones[i % zones.length], i % 2 == 0 ? "estandar" : "economico"));
        }
        discovery.put(new Entry("o-0", new Origin("origin").endpoint(), zones[0], "origin"));
        return new ProxyProcess(temporary(), "n0", discovery.endpoint(), discovery.whole(), litoral(3), 192, sockets);
    }

    /** A query on a connection of a client. */
    static byte[] get(String key, String id, String grade, long waitMs) throws IOException {
        return command("C.GET", key, id, "c=" + grade + ",d=" + waitMs);
    }

    static byte[] set(String key, String id, String grade, long waitMs, String mark, byte[] value) throws IOException {
        return command("C.SET", key, id, "c=" + grade + ",d=" + waitMs + (mark == null ? "" : ",k=" + mark), value);
    }

    static String key(long number) {
        long mixed = (number + 1) * 0x9e3779b97f4a7c15L;
        return String.format("%016x", mixed ^ mixed >>> 31);
    }

    /** How a reply reads in the record. */
    static String brief(Object reply) {
        if (reply instanceof byte[] value) {
            String text = new String(value, 0, Math.min(24, value.length), StandardCharsets.ISO_8859_1);
            return value.length + " bytes " + text;
        }
        return String.valueOf(reply);
    }

    static boolean isValueFor(Object reply, String id) {
        return reply instanceof byte[] value && new String(value, 0, Math.min(value.length, id.length() + 2), StandardCharsets.ISO_8859_1).equals("<" + id + ">");
    }
}
