package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Usual clients beside many bad ones: their answers come in time, and the process stays within its memory limit. */
class BadClientsTest {
    private static final long DURATION_MS = 5000;
    private static final long TIME_MS = 1500;
    private static final long ALLOWED_LATENESS_MS = 550;
    private static final int USUAL_CLIENTS = 4;
    private static final double NANOS_PER_MS = 1e6;

    @TempDir
    Path folder;
    private ServeFixture fixture;
    private volatile long until;
    private final AtomicInteger numbers = new AtomicInteger();

    @BeforeEach
    void prepare() throws Exception {
        fixture = new ServeFixture();
    }

    @AfterEach
    void end() throws Exception {
        until = 0;
        fixture.close();
    }

    /** What a bad client does with one connection. */
    private interface Behaviour {
        void play(Socket socket, SplittableRandom random) throws Exception;
    }

    private Behaviour behaviour(String kind) {
        return switch (kind) {
            case "SLOW_WRITER" -> this::writeSlowly;
            case "HALF_REQUEST" -> this::stopHalfWay;
            case "MANY_FIELDS" -> this::sendManyFields;
            case "SLOW_READER" -> this::readSlowly;
            case "PING_FLOOD" -> (socket, random) -> flood(socket, "*1\r\n$4\r\nPING\r\n".repeat(500));
            case "NAME_FLOOD" -> (socket, random) -> flood(socket, commands("X"));
            case "GRADE_FLOOD" -> (socket, random) -> flood(socket, reads("c=g%d,d=2000", 200));
            case "DEAF_FLOOD" -> this::floodWithoutReading;
            default -> throw new IllegalArgumentException(kind);
        };
    }

    @ParameterizedTest
    @CsvSource({"SLOW_WRITER,300,192", "HALF_REQUEST,300,192", "MANY_FIELDS,300,192", "SLOW_READER,100,192", "PING_FLOOD,4,192", "NAME_FLOOD,4,192",
        "GRADE_FLOOD,4,192", "DEAF_FLOOD,4,192", "PING_FLOOD,300,192", "GRADE_FLOOD,300,192", "HALF_REQUEST,300,96", "SLOW_READER,60,96"})
    void usualClientsAreAnsweredInTimeAndMemoryIsBounded(String kind, int clients, int memoryMb) throws Exception {
        fixture.memoryMb = memoryMb;
        fixture.jvmFlags = fixture.launcherMemoryFlags(folder);
        fixture.start(folder, "").client();
        serve();
        until = System.nanoTime() + (long) (DURATION_MS * NANOS_PER_MS);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < clients; i++) {
            SplittableRandom own = random.split();
            start(() -> keepPlaying(behaviour(kind), own));
        }
        List<String> breaches = java.util.Collections.synchronizedList(new ArrayList<>());
        AtomicInteger answers = new AtomicInteger();
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            usual.add(start(() -> read(breaches, answers)));
        }
        for (Thread thread : usual) {
            thread.join();
        }
        assertThat(breaches).isEmpty();
        assertThat(answers.get()).isPositive();
        assertThat(fixture.peakMemoryMb()).isLessThanOrEqualTo(memoryMb);
        assertThat(fixture.program.isAlive()).isTrue();
    }

    private static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private interface Task {
        void run() throws Exception;
    }

    /** Answers reads by their key, whose first digits are the value's length; a thread for each connection's answers. */
    private void serve() {
        for (int i = 0; i < 8; i++) {
            start(() -> {
                while (true) {
                    ServeFixture.Received next = fixture.cache.received.take();
                    if (next.elements().size() > 2) {
                        String key = next.elements().get(1);
                        int length = Integer.parseInt(key.substring(0, 8), 16);
                        try {
                            synchronized (next.connection()) {
                                next.answer(ServeFixture.hit(key + "x".repeat(length)));
                            }
                        } catch (IOException e) {
                            continue; // the proxy has closed the connection
                        }
                    }
                }
            });
        }
        start(() -> {
            while (true) {
                ServeFixture.Received next = fixture.origin.received.take();
                if (next.elements().size() > 1) {
                    next.answer(ServeFixture.ok("receipt-" + String.format("%08d", numbers.incrementAndGet())));
                }
            }
        });
    }

    private void read(List<String> breaches, AtomicInteger answers) throws Exception {
        ServeFixture.Client client = fixture.client();
        int failures = 0;
        while (System.nanoTime() < until) {
            int number = numbers.incrementAndGet();
            long sentAt = System.nanoTime();
            try {
                client.send("C.GET", String.format("%08x%08x", 20, number), "u" + number, "c=read,d=" + TIME_MS);
                client.answer();
                failures = 0;
                answers.incrementAndGet();
            } catch (IOException e) { // closed before it was read: sent once more on a new connection
                failures++;
                client = fixture.client();
            }
            double tookMs = (System.nanoTime() - sentAt) / NANOS_PER_MS;
            if (failures > 1 || tookMs > TIME_MS + ALLOWED_LATENESS_MS) {
                breaches.add("u" + number + (failures > 1 ? " had no answer" : " was answered after " + Math.round(tookMs) + " ms"));
            }
            Thread.sleep(10);
        }
    }

    private void keepPlaying(Behaviour behaviour, SplittableRandom random) throws InterruptedException {
        while (System.nanoTime() < until) {
            try (Socket socket = new Socket()) {
                socket.setReceiveBufferSize(8 << 10);
                socket.connect(new InetSocketAddress("127.0.0.1", fixture.port));
                socket.setSoTimeout(3000);
                behaviour.play(socket, random);
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                Thread.sleep(10); // closed by the proxy: it comes back
            }
        }
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private String writeHead(int bytes) {
        String id = String.format("%08d", numbers.incrementAndGet());
        return "*5\r\n$5\r\nC.SET\r\n$2\r\naa\r\n$8\r\n" + id + "\r\n$12\r\nc=put,d=3000\r\n$" + bytes + "\r\n";
    }

    private static int valueBytes(SplittableRandom random) {
        return new int[] {30_000, 60_000, 300_000, 4_000_000}[random.nextInt(4)];
    }

    private void writeSlowly(Socket socket, SplittableRandom random) throws Exception {
        int bytes = valueBytes(random);
        send(socket, writeHead(bytes));
        for (int i = 0; i < 50; i++) {
            send(socket, "x".repeat(bytes / 50));
            Thread.sleep(60);
        }
        send(socket, "\r\n");
        socket.getInputStream().read();
    }

    private void stopHalfWay(Socket socket, SplittableRandom random) throws Exception {
        int bytes = valueBytes(random);
        send(socket, writeHead(bytes) + "x".repeat(bytes / 2));
        socket.getInputStream().read();
    }

    private void sendManyFields(Socket socket, SplittableRandom random) throws Exception {
        String field = "$1\r\na\r\n";
        send(socket, random.nextBoolean() ? "*8\r\n" + field.repeat(7) : "*200000\r\n" + field.repeat(200_000));
        socket.getInputStream().read();
    }

    private void readSlowly(Socket socket, SplittableRandom random) throws Exception {
        int bytes = new int[] {60_000, 300_000, 1_000_000}[random.nextInt(3)];
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            String id = String.format("%08d", numbers.incrementAndGet());
            all.append("*4\r\n$5\r\nC.GET\r\n$16\r\n").append(String.format("%08x", bytes)).append(id).append("\r\n$8\r\n").append(id).append("\r\n$13\r\nc=read,d=3000\r\n");
        }
        send(socket, all.toString());
        byte[] buffer = new byte[2000];
        while (System.nanoTime() < until && socket.getInputStream().read(buffer) > 0) {
            Thread.sleep(50);
        }
    }

    private String commands(String name) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 200; i++) {
            all.append("*1\r\n$9\r\n").append(name).append(String.format("%08d", numbers.incrementAndGet())).append("\r\n");
        }
        return all.toString();
    }

    private String reads(String facts, int count) {
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < count; i++) {
            int number = numbers.incrementAndGet();
            String id = String.format("%08d", number);
            String own = facts.contains("%") ? String.format(facts, number) : facts;
            all.append("*4\r\n$5\r\nC.GET\r\n$16\r\n").append(String.format("%08x", 20)).append(id).append("\r\n$8\r\n").append(id).append("\r\n$")
                    .append(own.length()).append("\r\n").append(own).append("\r\n");
        }
        return all.toString();
    }

    private void flood(Socket socket, String text) throws Exception {
        OutputStream out = socket.getOutputStream();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        byte[] buffer = new byte[64 << 10];
        while (System.nanoTime() < until) {
            out.write(bytes);
            socket.getInputStream().read(buffer);
        }
    }

    private void floodWithoutReading(Socket socket, SplittableRandom random) throws Exception {
        while (System.nanoTime() < until) {
            send(socket, reads("c=read,d=1", 50));
        }
    }
}
