package dappleseam.proxy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.site.Post;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.UnaryOperator;

/**
 * Three queries on sockets, a hit, a miss and a write, with a cache, an origin and a list of this class's own in
 * place of the deployment's. What they load is in the archive made at build, so that the first real ones are quick.
 */
final class SelfTest implements AutoCloseable {
    private static final String HELD = "00000000000000aa";
    private static final String MISSING = "00000000000000bb";
    private static final String HIT = "*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n";
    private static final String MISS = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
    private static final int PATIENCE_MS = 5000;

    private final ServerSocket cache = standIn(asked -> asked.contains(HELD) ? HIT : MISS);
    private final ServerSocket origin = standIn(asked -> answer("value"));
    private final ServerSocket list =
            standIn(asked -> asked.contains("hold_ms=0") ? answer("{\"rev\":1,\"all\":false,\"targets\":[]}") : "");
    private final String grade;

    SelfTest(Post post) throws IOException {
        grade = post.site().gradeNames().get(0);
    }

    private static String answer(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The configuration with the peers of this test, and an address of its own. */
    Post rehearsed(Post post) {
        ObjectNode known = new ObjectMapper().createObjectNode().put("rev", 1).put("all", true);
        ArrayNode targets = known.putArray("targets");
        int originModel = post.site().deployment().originModel();
        for (ServerSocket peer : new ServerSocket[] {cache, origin}) {
            boolean isOrigin = peer == origin;
            if (!isOrigin || originModel >= 0) {
                targets.addObject().put("uid", isOrigin ? "origin" : "cache").put("state", "ready")
                        .put("endpoint", "127.0.0.1:" + peer.getLocalPort())
                        .put("model", isOrigin ? post.site().machines().get(originModel) : "");
            }
        }
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new Post(post.name(), any, (InetSocketAddress) list.getLocalSocketAddress(), post.seed(),
                post.descriptors(), post.memoryMb(), known, post.site());
    }

    /** Whether each of the queries is answered, at that address, with a value or, where nothing has one, a line. */
    boolean passes(InetSocketAddress address) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(PATIENCE_MS);
            String facts = "c=" + grade + ",d=1000";
            return ask(client, "C.GET", HELD, "1", facts).startsWith("$5") & !ask(client, "C.GET", MISSING, "2", facts).isEmpty()
                    & !ask(client, "C.SET", HELD, "3", facts, "value").isEmpty();
        }
    }

    private static String ask(Socket client, String... words) throws IOException {
        StringBuilder command = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            command.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        client.getOutputStream().write(command.toString().getBytes(StandardCharsets.ISO_8859_1));
        return read(client.getInputStream());
    }

    private static String read(InputStream in) throws IOException {
        byte[] bytes = new byte[4096];
        return new String(bytes, 0, Math.max(0, in.read(bytes)), StandardCharsets.ISO_8859_1);
    }

    /** Answers whatever comes, as small as it is, at once. */
    private static ServerSocket standIn(UnaryOperator<String> answers) throws IOException {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(() -> {
            while (true) {
                try (Socket peer = server.accept()) {
                    for (String asked = read(peer.getInputStream()); !asked.isEmpty(); asked = read(peer.getInputStream())) {
                        peer.getOutputStream().write(answers.apply(asked).getBytes(StandardCharsets.ISO_8859_1));
                    }
                } catch (IOException e) {
                    if (server.isClosed()) {
                        return;
                    }
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
        return server;
    }

    @Override
    public void close() throws IOException {
        cache.close();
        origin.close();
        list.close();
    }
}
