package dappleseam.proxy;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dappleseam.clients.ClientFront;
import dappleseam.control.Figures;
import dappleseam.site.Post;
import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
import dappleseam.wire.Progress;
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
final class Rehearsal implements Loop {
    private static final Logger LOG = System.getLogger(Rehearsal.class.getName());
    /** Number of queries, enough for the JIT to compile their path, and of concurrent ones, each of which takes a few descriptors. */
    private static final int QUERIES = 120;
    private static final int AT_ONCE = 4;
    /** Time in ms after which clients are accepted even if the warm-up has not finished. */
    private static final double LONGEST_MS = 900;
    /** One key in so many is a miss at the cache, and one query in so many is a write. */
    private static final int MISSING = 4;
    private static final int WRITES = 16;
    private static final int LONGEST_BULK = 1 << 10;
    private static final InetSocketAddress CACHE = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress ORIGIN = new InetSocketAddress("127.0.0.1", 2);
    private static final String VALUE = "v".repeat(300);

    private final Loop loop;
    private final XnioIoThread thread;
    private final Consumer<Boolean> whenOver;
    private final List<Link> links = new ArrayList<>();
    private final String facts;
    private int asked;
    private int answered;
    private int values;
    private boolean over;

    private Rehearsal(Loop loop, XnioIoThread thread, Post post, Consumer<Boolean> whenOver) {
        this.loop = loop;
        this.thread = thread;
        this.whenOver = whenOver;
        facts = "c=" + post.site().gradeNames().get(0) + ",d=1000,k=1";
    }

    /** Runs the warm-up; {@code onDone} receives whether every query was answered, and most of them with a value. */
    static void play(Loop loop, XnioIoThread thread, Post post, Consumer<Boolean> whenOver) {
        Rehearsal rehearsal = new Rehearsal(loop, thread, post, whenOver);
        try {
            rehearsal.begin(post);
        } catch (IOException | RuntimeException e) { // the proxy serves even if the warm-up fails
            LOG.log(Level.WARNING, "no rehearsal: {0}", e.toString());
            rehearsal.end();
        }
    }

    private void begin(Post post) throws IOException {
        ClientFront front = new ClientFront(this, new Proxy(this, withStandIns(post), new Figures()), 2 * AT_ONCE, 2 * AT_ONCE);
        loop.at(loop.nowMs() + LONGEST_MS, this::end);
        ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
        front.opened(pipe.getRightSide());
        Link client = speaking(pipe.getLeftSide(), this::answered);
        for (int i = 0; i < AT_ONCE; i++) {
            ask(client);
        }
    }

    private static Post withStandIns(Post post) {
        ObjectNode known = JsonNodeFactory.instance.objectNode().put("rev", 1).put("all", true);
        ArrayNode targets = known.putArray("targets");
        int originModel = post.site().deployment().originModel();
        targets.addObject().put("uid", "rehearsed-cache").put("state", "ready").put("endpoint", "127.0.0.1:1")
                .put("model", originModel < 0 && !post.site().machines().isEmpty() ? post.site().machines().get(0) : "");
        if (originModel >= 0) {
            targets.addObject().put("uid", "rehearsed-origin").put("state", "ready").put("endpoint", "127.0.0.1:2")
                    .put("model", post.site().machines().get(originModel));
        }
        return post.withKnown(known);
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

    /** One side of a pipe; each RESP message that arrives is passed to {@code handler}. */
    private Link speaking(StreamConnection connection, BiConsumer<Link, RespMessage> whole) {
        RespReader reader = new RespReader(loop.pool(), LONGEST_BULK);
        Link[] self = new Link[1];
        self[0] = listening(connection, bytes -> {
            while (bytes.hasRemaining() && reader.read(bytes) == Progress.DONE) {
                RespMessage message = reader.take();
                whole.accept(self[0], message);
                message.release();
            }
        });
        return self[0];
    }

    private Link listening(StreamConnection connection, Consumer<ByteBuffer> received) {
        Link link = link(connection, new Link.Events() {
            @Override
            public void received(ByteBuffer bytes) {
                received.accept(bytes);
            }

            @Override
            public void ended(String cause) {}
        });
        link.resume();
        return link;
    }

    @Override
    public Deadline dial(InetSocketAddress to, double timeoutMs, Consumer<StreamConnection> up,
                         Consumer<String> failed) {
        if (!to.equals(CACHE) && !to.equals(ORIGIN)) {
            return at(nowMs(), () -> failed.accept("the warm-up has no list service"));
        }
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe = thread.createFullDuplexPipeConnection();
            if (to.equals(CACHE)) {
                speaking(pipe.getRightSide(), Rehearsal::answerAsCache);
            } else {
                Link[] peer = new Link[1];
                peer[0] = listening(pipe.getRightSide(), head -> { // each request is small enough to arrive in one piece
                    peer[0].out().put("HTTP/1.1 200 OK\r\nContent-Length: " + VALUE.length() + "\r\n\r\n" + VALUE);
                    peer[0].flush();
                });
            }
            return at(nowMs(), () -> up.accept(pipe.getLeftSide()));
        } catch (IOException e) {
            return at(nowMs(), () -> failed.accept(e.getMessage()));
        }
    }

    /** Runs nothing after the end: the warm-up's proxy would go on watching the list. */
    @Override
    public Deadline at(double whenMs, Runnable due) {
        return loop.at(whenMs, () -> {
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
    public boolean mayDial() {
        return true;
    }

    @Override
    public Link link(StreamConnection connection, Link.Events events) {
        Link link = loop.link(connection, events);
        links.add(link);
        return link;
    }

    @Override
    public BufferPool pool() {
        return loop.pool();
    }
}
