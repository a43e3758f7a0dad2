package dappleseam.clients;

import dappleseam.query.Command;
import dappleseam.wire.BufferChain;
import dappleseam.wire.LargeValueHandler;
import dappleseam.wire.Link;
import dappleseam.wire.IoLoop;
import dappleseam.wire.ParseStatus;
import dappleseam.wire.RespMessage;
import dappleseam.wire.RespReader;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Locale;
import java.util.regex.Pattern;
import org.xnio.StreamConnection;

/** One client's connection: commands in, answers out in the order of the commands. */
final class ClientConnection implements Link.Listener {
    /** Commands owed an answer, and bytes the client has not taken, at which nothing more is read from it. */
    private static final int MOST_OWED = 128;
    private static final long MOST_UNREAD = 128 << 10;
    /** Time in ms without a byte taken after which a client has gone: well past any statement timeout. */
    private static final double STALL_MS = 20_000;
    /** Time in ms for the first command, and between two parts of one: no honest client takes as long. */
    private static final double SILENT_MS = 2200;
    /** Time in ms for one command in all, in parts of any size. */
    private static final double LONGEST_COMMAND_MS = 20_000;
    /** Time in ms without a query open after which a client that has asked before is closed. */
    private static final double IDLE_MS = 5000;
    /** Time in ms without a query open after which a client is not likely to ask again soon. */
    private static final double SETTLED_MS = 250;
    /** Time in ms after which buffers are looked for again. */
    private static final double BUFFERS_AGAIN_MS = 20;
    /** What may go on into a path or a header. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._~:-]{1,128}");
    private static final Pattern FACTS = Pattern.compile("[!-+\\--~]+(,[!-+\\--~]+)*");
    private static final int LONGEST_FACTS = 1024;
    /** Time in ms for which a new client's first command may be on its way. */
    private static final double NEW_MS = 1000;
    /** Which to keep rather, the later ones: silent, idle, in the middle of a command, new; then by time. */
    static final Comparator<ClientConnection> BY_USE =
            Comparator.comparingInt(ClientConnection::use).thenComparingDouble(c -> c.quietSince);

    /** A query that has come, and what it is owed. */
    private record Asked(Command command, PendingReply owed) {}

    private final IoLoop loop;
    private final QueryHandler queries;
    private final ClientFrontend front;
    private final RespReader reader;
    private final Link link;
    private final ArrayDeque<PendingReply> owed = new ArrayDeque<>();
    /** Read, and not handed on yet: an end may be right behind them. */
    private final ArrayDeque<Asked> asked = new ArrayDeque<>();
    private IoLoop.PendingTask stallWatch;
    private IoLoop.PendingTask silence = () -> { };
    /** When the last answer was written, at first when the connection came. */
    private double quietSince;
    /** When the command began that is not whole yet, and when its last part came. */
    private double begunAt;
    private double heardAt;
    /** Bytes of buffers granted for the long value that comes. */
    private long granted;
    private boolean hasAsked;
    private int slot;
    /** Commands wait to be read, since then; NaN where they do not. */
    private double heldSince = Double.NaN;
    /** Since when more waits than can be read ahead, of which nobody knows how old it is; NaN where it does not. */
    private double blindSince = Double.NaN;
    private IoLoop.PendingTask lookAgain = () -> { };
    /** Queries are being handed on, some of which may be answered at once. */
    private boolean handsOn;
    /** How long the commands that are read now may have waited. */
    private double waitedMs;
    /** Nothing more is taken; the connection ends once what is owed is written. */
    private boolean last;

    ClientConnection(IoLoop loop, StreamConnection connection, QueryHandler queries, ClientFrontend front) {
        this.loop = loop;
        this.queries = queries;
        this.front = front;
        reader = new RespReader(loop.pool(), LargeValueHandler.MAX_BYTES);
        link = loop.createLink(connection, this);
        quietSince = loop.nowMs();
    }

    /** Begins to read; {@code slot} is its number at the front, and what it has written by now may have waited so long. */
    void open(int slot, double mayHaveWaitedMs) {
        this.slot = slot;
        waitedMs = mayHaveWaitedMs;
        link.resume();
        link.readAvailable();
        waitedMs = 0;
        watchForSilence();
    }

    /** Guards the descriptors against clients that say nothing, or half a command and no more. */
    private void watchForSilence() {
        if (!link.isClosed()) {
            double now = loop.nowMs();
            silence = loop.scheduleAt(Math.min(Math.max(silentAt(), now + SILENT_MS / 10), now + IDLE_MS), () -> {
                link.readAvailable();
                if (!link.isClosed() && silentAt() <= loop.nowMs()) {
                    closeSilent();
                }
                watchForSilence();
            });
        }
    }

    private double silentAt() {
        return isHeld() ? Double.POSITIVE_INFINITY // it is not the client that keeps us waiting
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

    /** Takes nothing more; ends the connection once this and what else is owed is written. */
    private void refuse(String line) {
        takeNothingBehind();
        reader.release();
        oweOne().replyLine(line);
    }

    /** What is read from here on is dropped. Where it goes on and on, the queries before it are answered all the same. */
    private void takeNothingBehind() {
        last = true;
        loop.scheduleAt(loop.nowMs() + BUFFERS_AGAIN_MS, this::rejectAsked);
    }

    @Override
    public void received(ByteBuffer bytes) {
        while (bytes.hasRemaining() && !last && !link.isClosed()) {
            heardAt = loop.nowMs();
            begunAt = reader.isBetweenMessages() ? heardAt : begunAt;
            ParseStatus progress = reader.read(bytes);
            if (progress == ParseStatus.MALFORMED) {
                refuse("-ERR Protocol error");
            } else if (progress == ParseStatus.DONE) {
                command(reader.takeMessage());
                giveGrantBack();
            }
        }
        pauseIfFull();
    }

    /** Guards the buffers against more long values than they can hold: who has no grant is not read. */
    private boolean lacksGrant() {
        if (granted == 0 && reader.bulkLeft() >= LargeValueHandler.MIN_BYTES) {
            granted = front.grant(reader.bulkLeft());
            begunAt = loop.nowMs();
            heardAt = begunAt; // it is not the client that keeps us waiting
        }
        return granted == 0 && reader.bulkLeft() >= LargeValueHandler.MIN_BYTES;
    }

    private void giveGrantBack() {
        front.giveBack(granted);
        granted = 0;
    }

    private PendingReply oweOne() {
        PendingReply one = new PendingReply(this);
        owed.add(one);
        return one;
    }

    private void command(RespMessage message) {
        PendingReply one = oweOne();
        BufferChain first = message.type == '*' ? message.bulk(0) : null;
        String verb = first == null || first.size() > 16 ? "" : first.text().toUpperCase(Locale.ROOT);
        switch (verb) {
            case "C.GET" -> query(message, 4, one);
            case "C.SET" -> query(message, 5, one);
            case "PING" -> one.replyLine(front.isOutOfService() ? "-ERR out of service" : "+PONG");
            case "CLIENT", "SELECT" -> one.replyLine("+OK");
            case "QUIT" -> {
                takeNothingBehind();
                one.replyLine("+OK");
            }
            default -> one.replyLine("-ERR unknown command");
        }
        message.release();
    }

    private void query(RespMessage message, int parts, PendingReply one) {
        String key = text(message, 1, 128);
        String id = text(message, 2, 128);
        String facts = text(message, 3, LONGEST_FACTS);
        if (message.bulks.size() != parts || message.bulk(parts - 1) == null) {
            one.replyLine("-ERR wrong number of arguments");
        } else if (!NAME.matcher(key).matches() || !NAME.matcher(id).matches()) {
            one.replyLine("-ERR malformed key or id");
        } else if (!FACTS.matcher(facts).matches()) {
            one.replyLine("-ERR malformed list of names and values");
        } else {
            Command command = new Command(key, id, facts, parts == 5 ? message.takeBulk(4) : null);
            if (!hasAsked) {
                hasAsked = true;
                front.asked();
            }
            asked.add(new Asked(command, one));
        }
    }

    /** Guards nodes against queries of a client that has closed behind them, as one that sends much at once and goes. */
    @Override
    public void readComplete() {
        handsOn = true;
        if (link.hasUnreadInput()) {
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
            next.owed.belongsTo(queries.submit(next.command, next.owed, waited));
        }
    }

    /** Answers what is read and cannot be taken: an end may be behind it, or nothing more is taken. */
    private void rejectAsked() {
        while (!asked.isEmpty()) {
            Asked next = asked.poll();
            queries.reject(next.command, next.owed);
        }
    }

    private static String text(RespMessage message, int at, int longest) {
        BufferChain bulk = message.bulk(at);
        return bulk == null || bulk.size() > longest ? "" : bulk.text();
    }

    boolean isClosed() {
        return link.isClosed();
    }

    /** What is read ahead is owed an answer, too. */
    boolean owesNothing() {
        return owed.isEmpty() && link.out().size() == 0 && !link.hasUndeliveredInput();
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

    /** Idle for so long that its client is not about to ask again. */
    boolean hasSettled() {
        return hasAskedAndIsIdle() && loop.nowMs() - quietSince > SETTLED_MS;
    }

    private int use() {
        boolean isNew = !hasAsked && loop.nowMs() - quietSince < NEW_MS;
        return isNew ? 3 : !isIdle() ? 2 : hasAsked ? 1 : 0;
    }

    /** Ends the connection, where nothing is owed on it, for one that is more likely to be of use. */
    void makeWay() {
        link.readAvailable();
        if (!link.isClosed() && owesNothing()) {
            close();
        }
    }

    /** Writes the answers whose turn has come. */
    void flushAnswers() {
        if (link.isClosed()) {
            return;
        }
        boolean any = false;
        long before = link.out().size();
        try {
            while (!owed.isEmpty() && owed.peekFirst().isAnswered()) {
                if (owed.peekFirst().isBroken()) { // the client can tell only by the end that this is not the whole value
                    close();
                    return;
                }
                if (!owed.peekFirst().writeTo(link.out())) {
                    break;
                }
                owed.pollFirst();
                any = true;
            }
        } catch (RuntimeException e) { // half an answer cannot be followed by another
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

    /** Guards the buffers against a client that takes nothing of its answers any more. */
    private void watchForStall() {
        if (link.out().size() > 0 && stallWatch == null) {
            long before = link.bytesWritten();
            stallWatch = loop.scheduleAt(loop.nowMs() + STALL_MS, () -> {
                stallWatch = null;
                if (link.isClosed()) {
                    return;
                }
                if (link.bytesWritten() == before) {
                    close();
                } else {
                    watchForStall();
                }
            });
        }
    }

    @Override
    public void flushed() {
        if (!owed.isEmpty() && owed.peekFirst().isAnswered()) {
            flushAnswers(); // the next part of a long value
        }
        if (link.isClosed()) {
            return;
        }
        if (last && owed.isEmpty()) {
            close();
        } else if (front.closesIdle() && isIdle()) {
            loop.scheduleAt(loop.nowMs(), this::closeIfIdle); // not now: bytes of this connection may be in hand
        } else if (isHeld() && !isFull() && !handsOn) {
            resume();
        } // else at the next look: each answer at once would read more, on one stack
    }

    private boolean isFull() {
        return owed.size() >= MOST_OWED || link.out().size() >= MOST_UNREAD || lacksGrant()
                || granted == 0 && loop.pool().isScarce();
    }

    private boolean isHeld() {
        return !Double.isNaN(heldSince);
    }

    /** Guards the buffers against a client that sends and does not read, or sends more than can be held. */
    private void pauseIfFull() {
        if (!isHeld() && !link.isClosed() && isFull()) {
            heldSince = loop.nowMs();
            link.pauseDelivery();
            lookAgain = loop.scheduleAt(loop.nowMs() + BUFFERS_AGAIN_MS, this::resume);
        }
    }

    private void resume() {
        lookAgain.cancelTask(); // one at a time, however often it is held
        if (!isHeld() || link.isClosed() || last) {
            return;
        }
        if (isFull()) {
            lookAgain = loop.scheduleAt(loop.nowMs() + BUFFERS_AGAIN_MS, this::resume);
            return;
        }
        waitedMs = loop.nowMs() - heldSince;
        if (link.hasUnreadInput() && Double.isNaN(blindSince)) {
            blindSince = heldSince;
        }
        heldSince = Double.NaN;
        heardAt = loop.nowMs();
        begunAt = heardAt;
        link.resume();
        waitedMs = 0;
    }

    /** Whether its client is still there, as far as can be known now; not known where more waits than is read ahead. */
    boolean isClientHere() {
        link.readAvailableNested();
        return !link.isClosed() && !link.hasUnreadInput();
    }

    @Override
    public void disconnected(String cause) {
        gone();
    }

    /** Ends the connection if nothing has come on it and nothing is owed. */
    void closeIfIdle() {
        if (!link.isClosed() && !last) {
            link.readAvailable(); // what is read now is answered; a close with it unread would lose it
        }
        if (!link.isClosed() && isIdle()) {
            link.closeImmediately();
            gone();
        }
    }

    /** Reads what has come, answers that, and reads no more; what is not read is reset, and asked elsewhere. */
    void takeNoMore() {
        if (last) {
            return;
        }
        if (!link.isClosed()) {
            link.readAvailable();
        }
        if (!link.isClosed()) {
            last = true;
            link.pauseReading();
            rejectAsked();
            if (!link.isClosed() && owesNothing()) { // half a command is not taken
                link.closeImmediately();
                gone();
            }
        }
    }

    void close() {
        link.close();
        gone();
    }

    private void gone() {
        silence.cancelTask();
        reader.release();
        giveGrantBack();
        asked.forEach(one -> one.command.release());
        asked.clear();
        for (PendingReply one : owed) {
            one.release();
            if (!one.isAnswered() && one.query() != null) {
                queries.clientLeft(one.query());
            }
        }
        owed.clear();
        front.closed(slot, hasAsked);
    }
}
