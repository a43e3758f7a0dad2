package dappleseam.proxy;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.clients.ClientFrontend;
import dappleseam.control.Metrics;
import dappleseam.site.ProxyConfig;
import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import dappleseam.wire.IoLoop;
import dappleseam.wire.ParseStatus;
import dappleseam.wire.RespMessage;
import dappleseam.wire.RespReader;
import dappleseam.wire.RespWriter;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.xnio.ChannelPipe;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Runs queries through a complete proxy with stubbed nodes, over pipes, before the first client is accepted. Otherwise classes would be
 * loaded and compiled under load, which delays every answer after a start. Log lines call it a rehearsal.
 */
final class WarmUp implements IoLoop {
    private static final Logger LOG = System.getLogger(WarmUp.class.getName());
    /** Number of queries, enough for the JIT to compile their path, and of concurrent ones, each of which takes a few descriptors. */
    private static final int QUERIES = 120;
    private static final int CONCURRENT_QUERIES = 4;
    /** Time in ms after which clients are accepted even if the warm-up has not finished. */
    private static final double MAX_DURATION_MS = 900;
    /** One key in so many is a miss at the cache, and one query in so many is a write. */
    private static final int MISS_EVERY = 4;
    private static final int WRITE_EVERY = 16;
    private static final int MAX_BULK_BYTES = 1 << 10;
    private static final InetSocketAddress CACHE = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress ORIGIN = new InetSocketAddress("127.0.0.1", 2);
    private static final String VALUE = "v".repeat(300);

    private final IoLoop loop;
    private final XnioIoThread thread;
    private final Consumer<Boolean> onDone;
    private final List<Link> links = new ArrayList<>();
    private final String queryFacts;
    private int sentCount;
    private int stubReplyCount;
    private int answeredCount;
    private int valueCount;
    private boolean isDone;

    private WarmUp(IoLoop loop, XnioIoThread thread, ProxyConfig config, Consumer<Boolean> onDone) {
        this.loop = loop;
        this.thread = thread;
        this.onDone = onDone;
        queryFacts = "c=" + config.settings().gradeNames().get(0) + ",d=1000,k=1";
    }

    /** Runs the warm-up; {@code onDone} receives whether every query was answered, and most of them with a value. */
    static void runQueries(IoLoop loop, XnioIoThread thread, ProxyConfig config, Consumer<Boolean> onDone) {
        WarmUp warmUp = new WarmUp(loop, thread, config, onDone);
        try {
            warmUp.start(config);
        } catch (IOException | RuntimeException e) { // the proxy serves even if the warm-up fails
            LOG.log(Level.WARNING, "no rehearsal: {0}", e.toString());
            warmUp.finish();
        }
    }

    private void start(ProxyConfig config) throws IOException {
        Metrics metrics = new Metrics();
        Proxy proxy = new Proxy(this, withStubNodes(config), metrics, RecentIds.ofProcess());
        ClientFrontend front = new ClientFrontend(this, proxy, 2 * CONCURRENT_QUERIES, 2 * CONCURRENT_QUERIES, metrics.closes(), () -> true);
        loop.scheduleAt(loop.nowMs() + MAX_DURATION_MS, this::finish);
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        front.addClient(pipe.getRightSide());
        Link client = openRespLink(pipe.getLeftSide(), this::handleAnswer);
        for (int i = 0; i < CONCURRENT_QUERIES; i++) {
            sendQuery(client);
        }
    }

    private static ProxyConfig withStubNodes(ProxyConfig config) {
        ObjectNode knownList = JsonNodeFactory.instance.objectNode().put("rev", 1).put("all", true);
        ArrayNode targets = knownList.putArray("targets");
        int originModel = config.settings().routerSettings().originModel();
        targets.addObject().put("uid", "rehearsed-cache").put("state", "ready").put("endpoint", "127.0.0.1:1")
                .put("model", originModel < 0 && !config.settings().modelNames().isEmpty() ? config.settings().modelNames().get(0) : "");
        if (originModel >= 0) {
            targets.addObject().put("uid", "rehearsed-origin").put("state", "ready").put("endpoint", "127.0.0.1:2")
                    .put("model", config.settings().modelNames().get(originModel));
        }
        return config.withKnownList(knownList);
    }

    private void sendQuery(Link client) {
        boolean isWrite = sentCount % WRITE_EVERY == 0;
        RespWriter.array(client.out(), isWrite ? 5 : 4);
        RespWriter.bulk(client.out(), isWrite ? "C.SET" : "C.GET");
        RespWriter.bulk(client.out(), String.format("%016x", sentCount % (2 * WRITE_EVERY)));
        RespWriter.bulk(client.out(), "rehearsed-" + sentCount++);
        RespWriter.bulk(client.out(), queryFacts);
        if (isWrite) {
            RespWriter.bulk(client.out(), VALUE);
        }
        client.flush();
    }

    private void handleAnswer(Link client, RespMessage answer) {
        valueCount += answer.isError() ? 0 : 1;
        if (++answeredCount == QUERIES) {
            finish();
        } else if (sentCount < QUERIES) {
            sendQuery(client);
        }
    }

    private void answerAsCache(Link peer, RespMessage command) {
        long key = Long.parseLong(command.bulk(1).text(), 16);
        String value = nextStubValue();
        RespWriter.array(peer.out(), 3);
        peer.out().put(key % MISS_EVERY == 0 ? "$-1\r\n" : "$" + value.length() + "\r\n" + value + "\r\n");
        RespWriter.bulk(peer.out(), "hit");
        peer.out().put("$-1\r\n");
        peer.flush();
    }

    /** Each value is another one: equal replies would be taken for copies. */
    private String nextStubValue() {
        return VALUE + stubReplyCount++;
    }

    private void finish() {
        if (!isDone) {
            isDone = true;
            links.forEach(Link::close);
            onDone.accept(answeredCount == QUERIES && valueCount > QUERIES / 2);
        }
    }

    /** One side of a pipe; each RESP message that arrives is passed to {@code handler}. */
    private Link openRespLink(StreamConnection connection, BiConsumer<Link, RespMessage> handler) {
        RespReader reader = new RespReader(loop.pool(), MAX_BULK_BYTES);
        Link[] self = new Link[1];
        self[0] = openLink(connection, bytes -> {
            while (bytes.hasRemaining() && reader.read(bytes) == ParseStatus.DONE) {
                RespMessage message = reader.takeMessage();
                handler.accept(self[0], message);
                message.release();
            }
        });
        return self[0];
    }

    private Link openLink(StreamConnection connection, Consumer<ByteBuffer> received) {
        Link link = createLink(connection, new Link.Listener() {
            @Override
            public void received(ByteBuffer bytes) {
                received.accept(bytes);
            }

            @Override
            public void disconnected(String cause) {}
        });
        link.resume();
        return link;
    }

    @Override
    public PendingTask connect(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> onConnected,
                               Consumer<String> onFailed) {
        if (!to.equals(CACHE) && !to.equals(ORIGIN)) {
            return scheduleAt(nowMs(), () -> onFailed.accept("the warm-up has no list service"));
        }
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
            if (to.equals(CACHE)) {
                openRespLink(pipe.getRightSide(), this::answerAsCache);
            } else {
                Link[] peer = new Link[1];
                peer[0] = openLink(pipe.getRightSide(), head -> { // each request is small enough to arrive in one piece
                    String value = nextStubValue();
                    peer[0].out().put("HTTP/1.1 200 OK\r\nContent-Length: " + value.length() + "\r\n\r\n" + value);
                    peer[0].flush();
                });
            }
            return scheduleAt(nowMs(), () -> onConnected.accept(pipe.getLeftSide()));
        } catch (IOException e) {
            return scheduleAt(nowMs(), () -> onFailed.accept(e.getMessage()));
        }
    }

    /** Runs nothing after the end: the warm-up's proxy would go on watching the list. */
    @Override
    public PendingTask scheduleAt(double whenMs, Runnable task) {
        return loop.scheduleAt(whenMs, () -> {
            if (!isDone) {
                task.run();
            }
        });
    }

    @Override
    public double nowMs() {
        return loop.nowMs();
    }

    @Override
    public boolean mayConnect() {
        return true;
    }

    @Override
    public void executeNextTurn(Runnable task) {
        loop.executeNextTurn(task);
    }

    @Override
    public Link createLink(StreamConnection connection, Link.Listener events) {
        Link link = loop.createLink(connection, events);
        links.add(link);
        return link;
    }

    @Override
    public BufferPool pool() {
        return loop.pool();
    }
}
