package dappleseam.proxy;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.clients.ClientFrontend;
import dappleseam.control.Figures;
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
 * Queries through a whole proxy with stand-ins for its peers, over pipes, before the first client is let in. Guards
 * nodes and clients against a cold start: code that is loaded and compiled under load makes every answer late.
 */
final class Rehearsal implements IoLoop {
    private static final Logger LOG = System.getLogger(Rehearsal.class.getName());
    /** Queries in all: what each runs through has then been compiled; at once: a few descriptors each. */
    private static final int QUERIES = 120;
    private static final int AT_ONCE = 4;
    /** Time in ms after which clients are let in all the same. */
    private static final double LONGEST_MS = 900;
    /** Each so many-th key is missing at the cache, each so many-th query a write. */
    private static final int MISSING = 4;
    private static final int WRITES = 16;
    private static final int LONGEST_BULK = 1 << 10;
    private static final InetSocketAddress CACHE = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress ORIGIN = new InetSocketAddress("127.0.0.1", 2);
    private static final String VALUE = "v".repeat(300);

    private final IoLoop loop;
    private final XnioIoThread thread;
    private final Consumer<Boolean> whenOver;
    private final List<Link> links = new ArrayList<>();
    private final String facts;
    private int asked;
    private int answered;
    private int values;
    private boolean over;

    private Rehearsal(IoLoop loop, XnioIoThread thread, ProxyConfig post, Consumer<Boolean> whenOver) {
        this.loop = loop;
        this.thread = thread;
        this.whenOver = whenOver;
        facts = "c=" + post.settings().gradeNames().get(0) + ",d=1000,k=1";
    }

    /** Plays it; {@code whenOver} is told whether every query was answered, and most with a value. */
    static void play(IoLoop loop, XnioIoThread thread, ProxyConfig post, Consumer<Boolean> whenOver) {
        Rehearsal rehearsal = new Rehearsal(loop, thread, post, whenOver);
        try {
            rehearsal.begin(post);
        } catch (IOException | RuntimeException e) { // a proxy that cannot rehearse serves all the same
            LOG.log(Level.WARNING, "no rehearsal: {0}", e.toString());
            rehearsal.end();
        }
    }

    private void begin(ProxyConfig post) throws IOException {
        ClientFrontend front = new ClientFrontend(this, new Proxy(this, withStandIns(post), new Figures()), 2 * AT_ONCE, 2 * AT_ONCE);
        loop.scheduleAt(loop.nowMs() + LONGEST_MS, this::end);
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        front.addClient(pipe.getRightSide());
        Link client = speaking(pipe.getLeftSide(), this::answered);
        for (int i = 0; i < AT_ONCE; i++) {
            ask(client);
        }
    }

    private static ProxyConfig withStandIns(ProxyConfig post) {
        ObjectNode known = JsonNodeFactory.instance.objectNode().put("rev", 1).put("all", true);
        ArrayNode targets = known.putArray("targets");
        int originModel = post.settings().routerSettings().originModel();
        targets.addObject().put("uid", "rehearsed-cache").put("state", "ready").put("endpoint", "127.0.0.1:1")
                .put("model", originModel < 0 && !post.settings().modelNames().isEmpty() ? post.settings().modelNames().get(0) : "");
        if (originModel >= 0) {
            targets.addObject().put("uid", "rehearsed-origin").put("state", "ready").put("endpoint", "127.0.0.1:2")
                    .put("model", post.settings().modelNames().get(originModel));
        }
        return post.withKnownList(known);
    }

    private void ask(Link client) {
        boolean isWrite = asked % WRITES == 0;
        RespWriter.array(client.out(), isWrite ? 5 : 4);
        RespWriter.bulk(client.out(), isWrite ? "C.SET" : "C.GET");
        RespWriter.bulk(client.out(), String.format("%016x", asked % (2 * WRITES)));
        RespWriter.bulk(client.out(), "rehearsed-" + asked++);
        RespWriter.bulk(client.out(), facts);
        if (isWrite) {
            RespWriter.bulk(client.out(), VALUE);
        }
        client.flush();
    }

    private void answered(Link client, RespMessage answer) {
        values += answer.isError() ? 0 : 1;
        if (++answered == QUERIES) {
            end();
        } else if (asked < QUERIES) {
            ask(client);
        }
    }

    private static void answerAsCache(Link peer, RespMessage command) {
        long key = Long.parseLong(command.bulk(1).text(), 16);
        RespWriter.array(peer.out(), 3);
        peer.out().put(key % MISSING == 0 ? "$-1\r\n" : "$" + VALUE.length() + "\r\n" + VALUE + "\r\n");
        RespWriter.bulk(peer.out(), "hit");
        peer.out().put("$-1\r\n");
        peer.flush();
    }

    private void end() {
        if (!over) {
            over = true;
            links.forEach(Link::close);
            whenOver.accept(answered == QUERIES && values > QUERIES / 2);
        }
    }

    /** A side of a pipe on which each message is handed to {@code whole}. */
    private Link speaking(StreamConnection connection, BiConsumer<Link, RespMessage> whole) {
        RespReader reader = new RespReader(loop.pool(), LONGEST_BULK);
        Link[] self = new Link[1];
        self[0] = listening(connection, bytes -> {
            while (bytes.hasRemaining() && reader.read(bytes) == ParseStatus.DONE) {
                RespMessage message = reader.takeMessage();
                whole.accept(self[0], message);
                message.release();
            }
        });
        return self[0];
    }

    private Link listening(StreamConnection connection, Consumer<ByteBuffer> received) {
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
    public PendingTask connect(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up,
                         Consumer<String> failed) {
        if (!to.equals(CACHE) && !to.equals(ORIGIN)) {
            return scheduleAt(nowMs(), () -> failed.accept("the list is not rehearsed"));
        }
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
            if (to.equals(CACHE)) {
                speaking(pipe.getRightSide(), Rehearsal::answerAsCache);
            } else {
                Link[] peer = new Link[1];
                peer[0] = listening(pipe.getRightSide(), head -> { // each is small enough to come at once
                    peer[0].out().put("HTTP/1.1 200 OK\r\nContent-Length: " + VALUE.length() + "\r\n\r\n" + VALUE);
                    peer[0].flush();
                });
            }
            return scheduleAt(nowMs(), () -> up.accept(pipe.getLeftSide()));
        } catch (IOException e) {
            return scheduleAt(nowMs(), () -> failed.accept(e.getMessage()));
        }
    }

    /** Nothing falls due once it is over: its proxy would go on following the list. */
    @Override
    public PendingTask scheduleAt(double whenMs, Runnable due) {
        return loop.scheduleAt(whenMs, () -> {
            if (!over) {
                due.run();
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
