package dappleseam.clients;

import dappleseam.query.Command;
import dappleseam.wire.Chain;
import dappleseam.wire.Large;
import dappleseam.wire.Link;
import dappleseam.wire.Loop;
import dappleseam.wire.Progress;
import dappleseam.wire.RespMessage;
import dappleseam.wire.RespReader;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Locale;
import java.util.regex.Pattern;
import org.xnio.StreamConnection;

/**
 * One client connection: parses commands, submits queries to the {@link QueryHandler} and writes the replies in the order of the commands.
 * Reading is paused while too many replies or bytes are pending, and the connection is closed when the client stalls.
 */
final class ClientConnection implements Link.Events {
    /** Limits on pending replies and on unsent reply bytes; at either one, reading from the client is paused. */
    private static final int MOST_OWED = 128;
    private static final long MOST_UNREAD = 128 << 10;
    /** Time in ms after which a client that takes no reply bytes is considered gone: well past any statement timeout. */
    private static final double STALL_MS = 20_000;
    /** Limit in ms until the first command, and between two parts of a command; no well-behaved client takes as long. */
    private static final double SILENT_MS = 2200;
    /** Limit in ms for receiving one command, in however many parts it arrives. */
    private static final double LONGEST_COMMAND_MS = 20_000;
    /** Time in ms without an open query after which a client that has sent queries before is closed. */
    private static final double IDLE_MS = 5000;
    /** Time in ms without an open query after which a client is unlikely to send another one soon. */
    private static final double SETTLED_MS = 250;
    /** Delay in ms before a paused connection checks again whether it can read. */
    private static final double BUFFERS_AGAIN_MS = 20;
    /** Keys and ids: only characters that are safe in a URL path and in an HTTP header. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._~:-]{1,128}");
    private static final Pattern FACTS = Pattern.compile("[!-+\\--~]+(,[!-+\\--~]+)*");
    private static final int LONGEST_FACTS = 1024;
    /** Time in ms for which the first command of a new client may still be on its way. */
    private static final double NEW_MS = 1000;
    /**
     * Eviction order, first to be evicted first: clients that never sent a query, idle ones, those in the middle of a command, new ones;
     * within each group the one quiet for the longest time.
     */
    static final Comparator<ClientConnection> BY_USE =
            Comparator.comparingInt(ClientConnection::use).thenComparingDouble(c -> c.quietSince);

    /** A query that has been read, and its pending reply. */
    private record Asked(Command command, Owed owed) {}

    private final Loop loop;
    private final Queries queries;
    private final ClientFront front;
    private final RespReader reader;
    private final Link link;
    private final ArrayDeque<Owed> owed = new ArrayDeque<>();
    /** Queries read but not submitted yet: the client's close may directly follow them. */
    private final ArrayDeque<Asked> asked = new ArrayDeque<>();
    private Loop.Deadline stallWatch;
    private Loop.Deadline silence = () -> { };
    /** When the last reply was written; initially when the connection was accepted. */
    private double quietSince;
    /** When the incomplete command began, and when its last part was read. */
    private double begunAt;
    private double heardAt;
    /** Buffer bytes granted for the large value being received. */
    private long granted;
    private boolean hasAsked;
    private int slot;
    /** Since when delivery of input is paused; NaN while it is not. */
    private double heldSince = Double.NaN;
    /** Since when more input has been waiting than can be read ahead, so that its age is unknown; NaN while there is none. */
    private double blindSince = Double.NaN;
    private Loop.Deadline lookAgain = () -> { };
    /** Queries are being submitted; some may be answered synchronously. */
    private boolean handsOn;
    /** Upper bound in ms on how long the commands being read have waited. */
    private double waitedMs;
    /** No more commands are accepted; the connection closes once all pending replies are written. */
    private boolean last;

    ClientConnection(Loop loop, StreamConnection connection, Queries queries, ClientFront front) {
        this.loop = loop;
        this.queries = queries;
        this.front = front;
        reader = new RespReader(loop.pool(), Large.LONGEST);
        link = loop.link(connection, this);
        quietSince = loop.nowMs();
    }

    /** Starts reading. {@code slot} is this connection's number in the frontend; input already received may have waited up to {@code maxWaitedMs}. */
    void open(int slot, double mayHaveWaitedMs) {
        this.slot = slot;
        waitedMs = mayHaveWaitedMs;
        link.resume();
        link.readable();
        waitedMs = 0;
        watchForSilence();
    }

    /** Closes clients that send nothing or only part of a command, so that they do not use up the file descriptors. */
    private void watchForSilence() {
        if (!link.isClosed()) {
            double now = loop.nowMs();
            silence = loop.at(Math.min(Math.max(silentAt(), now + SILENT_MS / 10), now + IDLE_MS), () -> {
                link.readable();
                if (!link.isClosed() && silentAt() <= loop.nowMs()) {
                    closeSilent();
                }
                watchForSilence();
            });
        }
    }

    private double silentAt() {
        return isHeld() ? Double.POSITIVE_INFINITY // paused by this proxy, not by the client
                : !reader.isBetweenMessages() ? Math.min(heardAt + SILENT_MS, begunAt + LONGEST_COMMAND_MS)
                : !owesNothing() ? Double.POSITIVE_INFINITY : quietSince + (hasAsked ? IDLE_MS : SILENT_MS);
    }

    private void closeSilent() {
        if (reader.isBetweenMessages()) {
            close();
        } else {
            refuse("-ERR the command did not end in time");
        }
    }

    /** Accepts no more commands, and closes the connection once this error and the other pending replies are written. */
    private void refuse(String line) {
        takeNothingBehind();
        reader.release();
        oweOne().line(line);
    }

    /** Drops all further input. If the input never ends, the queries read before are still rejected after a short delay. */
    private void takeNothingBehind() {
        last = true;
        loop.at(loop.nowMs() + BUFFERS_AGAIN_MS, this::rejectAsked);
    }

    @Override
    public void received(ByteBuffer bytes) {
        while (bytes.hasRemaining() && !last && !link.isClosed()) {
            heardAt = loop.nowMs();
            begunAt = reader.isBetweenMessages() ? heardAt : begunAt;
            Progress progress = reader.read(bytes);
            if (progress == Progress.BAD) {
                refuse("-ERR Protocol error");
            } else if (progress == Progress.DONE) {
                command(reader.take());
                giveGrantBack();
            }
        }
        pauseIfFull();
    }

    /**
     * Tries to get a buffer grant for the large value being received, and returns whether one is needed and not available. Without a grant
     * the connection is not read, so that large values cannot exhaust the buffers.
     */
    private boolean lacksGrant() {
        if (granted == 0 && reader.bulkLeft() >= Large.FROM) {
            granted = front.grant(reader.bulkLeft());
            begunAt = loop.nowMs();
            heardAt = begunAt; // the wait for the grant does not count against the client
        }
        return granted == 0 && reader.bulkLeft() >= Large.FROM;
    }

    private void giveGrantBack() {
        front.giveBack(granted);
        granted = 0;
    }

    private Owed oweOne() {
        Owed one = new Owed(this);
        owed.add(one);
        return one;
    }

    private void command(RespMessage message) {
        Owed one = oweOne();
        Chain first = message.sign == '*' ? message.bulk(0) : null;
        String verb = first == null || first.size() > 16 ? "" : first.text().toUpperCase(Locale.ROOT);
        switch (verb) {
            case "C.GET" -> query(message, 4, one);
            case "C.SET" -> query(message, 5, one);
            case "PING" -> one.line(front.sendsAway() ? "-ERR out of service" : "+PONG");
            case "CLIENT", "SELECT" -> one.line("+OK");
            case "QUIT" -> {
                takeNothingBehind();
                one.line("+OK");
            }
            default -> one.line("-ERR unknown command");
        }
        message.release();
    }

    private void query(RespMessage message, int parts, Owed one) {
        String key = text(message, 1, 128);
        String id = text(message, 2, 128);
        String facts = text(message, 3, LONGEST_FACTS);
        if (message.bulks.size() != parts || message.bulk(parts - 1) == null) {
            one.line("-ERR wrong number of arguments");
        } else if (!NAME.matcher(key).matches() || !NAME.matcher(id).matches()) {
            one.line("-ERR malformed key or id");
        } else if (!FACTS.matcher(facts).matches()) {
            one.line("-ERR malformed list of names and values");
        } else {
            Command command = new Command(key, id, facts, parts == 5 ? message.takeBulk(4) : null);
            if (!hasAsked) {
                hasAsked = true;
                front.asked();
            }
            asked.add(new Asked(command, one));
        }
    }

    /**
     * Submits the queries only now that all input has been read: a client that sends many commands and closes must not cause executions at
     * the nodes.
     */
    @Override
    public void caughtUp() {
        handsOn = true;
        if (link.isBlind()) {
            rejectAsked();
        } else {
            takeAsked();
        }
        handsOn = false;
    }

    private void takeAsked() {
        double waited = Double.isNaN(blindSince) ? waitedMs : Math.max(waitedMs, loop.nowMs() - blindSince);
        blindSince = Double.NaN;
        while (!asked.isEmpty()) {
            Asked next = asked.poll();
            next.owed.belongsTo(queries.take(next.command, next.owed, waited));
        }
    }

    /** Rejects the queries that were read but cannot be submitted, because a close may follow them or no more commands are accepted. */
    private void rejectAsked() {
        while (!asked.isEmpty()) {
            Asked next = asked.poll();
            queries.reject(next.command, next.owed);
        }
    }

    private static String text(RespMessage message, int at, int longest) {
        Chain bulk = message.bulk(at);
        return bulk == null || bulk.size() > longest ? "" : bulk.text();
    }

    boolean isClosed() {
        return link.isClosed();
    }

    /** Whether no reply is pending, unsent, or due for input that was read ahead. */
    boolean owesNothing() {
        return owed.isEmpty() && link.out().size() == 0 && !link.hasReadAhead();
    }

    private boolean isIdle() {
        return owesNothing() && reader.isBetweenMessages();
    }

    boolean hasAsked() {
        return hasAsked;
    }

    boolean hasAskedAndIsIdle() {
        return hasAsked && isIdle();
    }

    /** Whether the connection has been idle for so long that its client is unlikely to send another query soon. */
    boolean hasSettled() {
        return hasAskedAndIsIdle() && loop.nowMs() - quietSince > SETTLED_MS;
    }

    /** Groups of {@link #BY_EVICTION_ORDER}: 0 is evicted first. */
    private int use() {
        boolean isNew = !hasAsked && loop.nowMs() - quietSince < NEW_MS;
        return isNew ? 3 : !isIdle() ? 2 : hasAsked ? 1 : 0;
    }

    /** Closes the connection, if nothing is pending on it, to make room for a new one. */
    void makeWay() {
        link.readable();
        if (!link.isClosed() && owesNothing()) {
            close();
        }
    }

    /** Writes the replies at the head of the queue that are available. */
    void flushAnswers() {
        if (link.isClosed()) {
            return;
        }
        boolean any = false;
        long before = link.out().size();
        try {
            while (!owed.isEmpty() && owed.peekFirst().isAnswered()) {
                if (owed.peekFirst().isBroken()) { // closing is the only way to tell the client that the value is incomplete
                    close();
                    return;
                }
                if (!owed.peekFirst().writeTo(link.out())) {
                    break;
                }
                owed.pollFirst();
                any = true;
            }
        } catch (RuntimeException e) { // a partly written reply cannot be followed by another
            close();
            return;
        }
        if (!any && link.out().size() > before) {
            link.flush();
            watchForStall();
        }
        if (any) {
            quietSince = loop.nowMs();
            link.flush();
            watchForStall();
            if (hasAskedAndIsIdle()) {
                front.fellIdle();
            }
        }
    }

    /** Closes a client that has stopped reading its replies, to release their buffers. */
    private void watchForStall() {
        if (link.out().size() > 0 && stallWatch == null) {
            long before = link.written();
            stallWatch = loop.at(loop.nowMs() + STALL_MS, () -> {
                stallWatch = null;
                if (link.isClosed()) {
                    return;
                }
                if (link.written() == before) {
                    close();
                } else {
                    watchForStall();
                }
            });
        }
    }

    @Override
    public void drained() {
        if (!owed.isEmpty() && owed.peekFirst().isAnswered()) {
            flushAnswers(); // the next part of a large value
        }
        if (link.isClosed()) {
            return;
        }
        if (last && owed.isEmpty()) {
            close();
        } else if (front.closesIdle() && isIdle()) {
            loop.at(loop.nowMs(), this::closeIfIdle); // deferred: bytes of this connection may be being processed
        } else if (isHeld() && !isFull() && !handsOn) {
            resume();
        } // else by the resume timer: resuming within submission would recurse for each synchronous reply
    }

    private boolean isFull() {
        return owed.size() >= MOST_OWED || link.out().size() >= MOST_UNREAD || lacksGrant()
                || granted == 0 && loop.pool().isScarce();
    }

    private boolean isHeld() {
        return !Double.isNaN(heldSince);
    }

    /** Pauses a client that sends without reading replies, or sends more than the buffers can hold. */
    private void pauseIfFull() {
        if (!isHeld() && !link.isClosed() && isFull()) {
            heldSince = loop.nowMs();
            link.hold();
            lookAgain = loop.at(loop.nowMs() + BUFFERS_AGAIN_MS, this::resume);
        }
    }

    private void resume() {
        lookAgain.callOff(); // at most one timer, however often the connection is paused
        if (!isHeld() || link.isClosed() || last) {
            return;
        }
        if (isFull()) {
            lookAgain = loop.at(loop.nowMs() + BUFFERS_AGAIN_MS, this::resume);
            return;
        }
        waitedMs = loop.nowMs() - heldSince;
        if (link.isBlind() && Double.isNaN(blindSince)) {
            blindSince = heldSince;
        }
        heldSince = Double.NaN;
        heardAt = loop.nowMs();
        begunAt = heardAt;
        link.resume();
        waitedMs = 0;
    }

    /** Whether the client is known to be connected, after reading what has arrived; false if unread input may hide its close. */
    boolean isClientHere() {
        link.look();
        return !link.isClosed() && !link.isBlind();
    }

    @Override
    public void ended(String cause) {
        gone();
    }

    /** Closes the connection if no input has arrived and no reply is pending. */
    void closeIfIdle() {
        if (!link.isClosed() && !last) {
            link.readable(); // input read now is answered; closing with it unread would lose it
        }
        if (!link.isClosed() && isIdle()) {
            link.closeAtOnce();
            gone();
        }
    }

    /** Reads and answers what has arrived, then stops reading. Unread input is reset on close, so that the client retries elsewhere. */
    void takeNoMore() {
        if (last) {
            return;
        }
        if (!link.isClosed()) {
            link.readable();
        }
        if (!link.isClosed()) {
            last = true;
            link.pause();
            rejectAsked();
            if (!link.isClosed() && owesNothing()) { // an incomplete command is dropped
                link.closeAtOnce();
                gone();
            }
        }
    }

    void close() {
        link.close();
        gone();
    }

    private void gone() {
        silence.callOff();
        reader.release();
        giveGrantBack();
        asked.forEach(one -> one.command.release());
        asked.clear();
        for (Owed one : owed) {
            one.release();
            if (!one.isAnswered() && one.query() != null) {
                queries.clientLeft(one.query());
            }
        }
        owed.clear();
        front.closed(slot, hasAsked);
    }
}
