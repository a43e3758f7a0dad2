package dappleseam.clients;

import dappleseam.diagnostics.CloseReason;
import dappleseam.diagnostics.RefusalReason;
import dappleseam.query.Command;
import dappleseam.query.Transfer;
import dappleseam.wire.BufferChain;
import dappleseam.wire.BufferPool;
import dappleseam.wire.IoLoop;
import dappleseam.wire.LargeValueHandler;
import dappleseam.wire.Link;
import dappleseam.wire.NextTurnTask;
import dappleseam.wire.ParseStatus;
import dappleseam.wire.RespMessage;
import dappleseam.wire.RespReader;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import org.xnio.StreamConnection;

/**
 * One client connection: parses commands, submits queries to the {@link QueryHandler} and writes the replies in the order of the commands.
 * Reading is paused while too many replies or bytes are pending, and the connection is closed when the client stalls.
 */
final class ClientConnection implements Link.Listener {
    /** Limits on pending replies and on unsent reply bytes; at either one, reading from the client is paused. */
    private static final int MAX_PENDING_REPLIES = 128;
    private static final long MAX_UNSENT_BYTES = 128 << 10;
    /** Time in ms after which a client that takes no reply bytes is considered gone: well past any statement timeout. */
    private static final double WRITE_STALL_MS = 20_000;
    /** Limit in ms until the first command, and between two parts of a command; no well-behaved client takes as long. */
    private static final double READ_TIMEOUT_MS = 2200;
    /** Limit in ms for receiving one command, in however many parts it arrives. */
    private static final double MAX_COMMAND_MS = 20_000;
    /** Time in ms without an open query after which a client that has sent queries before is closed. */
    private static final double IDLE_TIMEOUT_MS = 5000;
    /** Time in ms without an open query after which a client is unlikely to send another one soon. */
    private static final double QUIESCENT_MS = 250;
    /** Delay in ms before a paused connection checks again whether it can read. */
    private static final double RECHECK_MS = 20;
    /** Bytes of a value read in a pass, after which other connections are served; see {@link ReadShare} for commands. */
    private static final int MAX_PASS_VALUE_BYTES = 256 << 10;
    /** Free buffer bytes without which no reply is begun, as a part of one could not be followed by another. */
    private static final long MIN_REPLY_ROOM_BYTES = 4L * BufferPool.SIZE;
    /** Share of its client's time for which a value waits for buffers; a query refused later than that costs more. */
    private static final double GRANT_WAIT_SHARE = 0.5;
    /** Time in ms for which commands wait while buffers are scarce; then they are refused. */
    private static final double SCARCE_WAIT_MS = 200;
    /** Time in ms for which the first command of a new client may still be on its way. */
    private static final double NEW_CLIENT_MS = 1000;
    /**
     * Eviction order, first to be evicted first: clients that never sent a query, idle ones, those in the middle of a command, new ones, those that
     * may still be receiving a large value; within each group the one quiet for the longest time.
     */
    static final Comparator<ClientConnection> BY_EVICTION_ORDER =
            Comparator.comparingInt(ClientConnection::evictionRank).thenComparingDouble(c -> c.lastReplyAt);

    /** A query that has been read, and its pending reply. */
    private record ParsedQuery(Command command, PendingReply reply) {}

    /** Why input is not delivered for now. */
    private enum Backpressure { NONE, REPLIES_PENDING, VALUE_AWAITS_BUFFERS, BUFFERS_SCARCE }

    private final IoLoop loop;
    private final QueryHandler handler;
    private final ClientFrontend frontend;
    private final RespReader reader;
    private final Link link;
    private final ArrayDeque<PendingReply> pendingReplies = new ArrayDeque<>();
    /** Holds back the large value whose turn it is. */
    private final WholeValueHold hold;
    /** Queries read but not submitted yet: the client's close may directly follow them. */
    private final ArrayDeque<ParsedQuery> parsedQueries = new ArrayDeque<>();
    private IoLoop.PendingTask stallTimer;
    /** Tries again to send replies for which no buffers were free. */
    private IoLoop.PendingTask flushTimer = () -> { };
    private IoLoop.PendingTask silenceTimer = () -> { };
    /** When the last reply was written; initially when the connection was accepted. */
    private double lastReplyAt;
    /** When bytes of a large value were last written. */
    private double lastLargeReplyAt = Double.NEGATIVE_INFINITY;
    /** When the incomplete command began, and when its last part was read. */
    private double commandStartedAt;
    private double lastReadAt;
    /** Buffer bytes granted for the value being received. */
    private long grantedBytes;
    /** Until when that value may wait for a grant; NaN if it does not. */
    private double grantWaitEndsAt = Double.NaN;
    private boolean hasQueried;
    private int slot;
    /** Since when delivery of input is paused; NaN while it is not. */
    private double pausedSince = Double.NaN;
    /** Buffers have been scarce for longer than commands may wait. */
    private boolean refusesForBuffers;
    /**
     * Since when input may have been waiting, in the program or unread: from its first part until a read finds no more and all is delivered. It bounds
     * the age of what is read. NaN if no input is waiting.
     */
    private double inputWaitingSince = Double.NaN;
    private IoLoop.PendingTask resumeTimer = () -> { };
    /** Resumes once other connections have been served. */
    private final NextTurnTask nextResume;
    /** Commands of one read are being handled; their replies follow together. */
    private boolean isReceiving;
    /** Queries are being submitted; some may be answered synchronously. */
    private boolean isSubmitting;
    /** A large value is being passed on as it arrives, and nothing is read meanwhile. */
    private boolean isPassingOn;
    private double passingOnSince;
    /** No more commands are accepted; the connection closes once all pending replies are written. */
    private boolean isClosing;
    /** Why it closes then. */
    private CloseReason closingReason = CloseReason.DRAINED;

    ClientConnection(IoLoop loop, StreamConnection connection, QueryHandler handler, ClientFrontend frontend) {
        this.loop = loop;
        this.handler = handler;
        this.frontend = frontend;
        reader = new RespReader(loop.pool(), LargeValueHandler.MAX_BYTES);
        link = loop.createLink(connection, this);
        hold = new WholeValueHold(loop, frontend.holdBudget(), link.guarded(this::flushReplies));
        nextResume = new NextTurnTask(loop::executeNextTurn, link.guarded(this::resume));
        lastReplyAt = loop.nowMs();
    }

    /** Starts reading. {@code slot} is this connection's number in the frontend; input already received may have waited up to {@code maxWaitedMs}. */
    void start(int slot, double maxWaitedMs) {
        this.slot = slot;
        inputWaitingSince = loop.nowMs() - maxWaitedMs;
        link.resume();
        link.readAvailable();
        link.guarded(this::scheduleSilenceCheck).run();
    }

    /** Runs the task after that time in ms; an error in it closes this connection. */
    private IoLoop.PendingTask schedule(double delayMs, Runnable task) {
        return loop.scheduleAt(loop.nowMs() + delayMs, link.guarded(task));
    }

    /** Closes clients that send nothing or only part of a command, so that they do not use up the file descriptors. */
    private void scheduleSilenceCheck() {
        if (!link.isClosed()) {
            double now = loop.nowMs();
            silenceTimer = schedule(Math.min(Math.max(silenceDeadline() - now, READ_TIMEOUT_MS / 10), IDLE_TIMEOUT_MS), () -> {
                link.readAvailable();
                if (!link.isClosed() && silenceDeadline() <= loop.nowMs()) {
                    closeForSilence();
                }
                scheduleSilenceCheck();
            });
        }
    }

    private double silenceDeadline() {
        if (isPassingOn || isPaused() && link.hasUndeliveredInput()) {
            return Double.POSITIVE_INFINITY; // it is this proxy that takes nothing
        }
        if (!reader.isBetweenMessages()) {
            return Math.min(lastReadAt + READ_TIMEOUT_MS, commandStartedAt + MAX_COMMAND_MS);
        }
        return !hasNothingPending() ? Double.POSITIVE_INFINITY : lastReplyAt + (hasQueried ? IDLE_TIMEOUT_MS : READ_TIMEOUT_MS);
    }

    private void closeForSilence() {
        if (reader.isBetweenMessages()) {
            close(CloseReason.SILENCE);
        } else {
            failAndClose("-ERR the command did not end in time", CloseReason.SILENCE);
        }
    }

    /** Accepts no more commands, and closes the connection once this error and the other pending replies are written. */
    private void failAndClose(String line, CloseReason reason) {
        ignoreFurtherInput(reason);
        reader.release();
        addReply().replyLine(line);
    }

    /** Drops all further input. If the input never ends, the queries read before are still rejected after a short delay. */
    private void ignoreFurtherInput(CloseReason reason) {
        isClosing = true;
        closingReason = reason;
        schedule(RECHECK_MS, () -> rejectQueries(RefusalReason.CLOSING));
    }

    @Override
    public int readAllowance(long passBytes) {
        return (int) ((isReadingValue() ? MAX_PASS_VALUE_BYTES : frontend.readShare().passBytes()) - passBytes);
    }

    /** Whether the bytes that come next are a value's, which are read without waiting for buffers. */
    private boolean isReadingValue() {
        return reader.isDiscarding() || grantedBytes > 0 && reader.pooledBytesLeft() > 0;
    }

    @Override
    public void received(ByteBuffer bytes) {
        if (Double.isNaN(inputWaitingSince)) {
            inputWaitingSince = loop.nowMs();
        }
        if (!isReadingValue()) {
            frontend.readShare().add(bytes.remaining());
        }
        isReceiving = true;
        while (bytes.hasRemaining() && !isClosing && !link.isClosed()) {
            lastReadAt = loop.nowMs();
            commandStartedAt = reader.isBetweenMessages() ? lastReadAt : commandStartedAt;
            ParseStatus parsed = reader.read(bytes);
            if (parsed == ParseStatus.MALFORMED) {
                failAndClose("-ERR Protocol error", CloseReason.MALFORMED);
            } else if (parsed == ParseStatus.DONE) {
                handleCommand(reader.takeMessage());
                releaseGrant();
            }
        }
        isReceiving = false;
        flushReplies();
        pauseIfFull();
    }

    /**
     * Whether the value being received waits for buffers, without which it is not read. Once its client's time for that is over, or if buffers are
     * nearly used up, the rest of it is read without being kept, and the query is refused.
     */
    private boolean awaitsBuffers() {
        int bytes = reader.pooledBytesLeft();
        if (bytes == 0 || grantedBytes > 0) {
            return false;
        }
        double now = loop.nowMs();
        grantedBytes = frontend.receiveBudget().grant(bytes);
        if (grantedBytes > 0) {
            grantWaitEndsAt = Double.NaN;
            return false;
        }
        if (Double.isNaN(grantWaitEndsAt)) {
            String facts = QueryParser.facts(reader.partialBulk(QueryParser.FACTS_INDEX));
            grantWaitEndsAt = now + GRANT_WAIT_SHARE * Math.max(0, handler.clientTimeoutMs(facts));
        }
        if (now >= grantWaitEndsAt || loop.pool().isNearlyUsedUp()) { // what has come of it would hold buffers meanwhile
            grantWaitEndsAt = Double.NaN;
            reader.discardBulk();
            return false;
        }
        return true;
    }

    private void releaseGrant() {
        frontend.receiveBudget().release(grantedBytes);
        grantedBytes = 0;
    }

    private PendingReply addReply() {
        PendingReply pending = new PendingReply(this);
        pendingReplies.add(pending);
        return pending;
    }

    private void handleCommand(RespMessage message) {
        PendingReply pending = addReply();
        BufferChain first = message.type == '*' ? message.bulk(0) : null;
        String verb = first == null || first.size() > 16 ? "" : first.text().toUpperCase(Locale.ROOT);
        switch (verb) {
            case "C.GET" -> handleQuery(message, false, pending);
            case "C.SET" -> handleQuery(message, true, pending);
            case "PING" -> pending.replyLine(frontend.takesClients() ? ClientFrontend.PONG : ClientFrontend.OUT_OF_SERVICE);
            case "CLIENT", "SELECT" -> pending.replyLine("+OK");
            case "QUIT" -> {
                ignoreFurtherInput(CloseReason.QUIT);
                pending.replyLine("+OK");
            }
            default -> pending.replyLine("-ERR unknown command");
        }
        message.release();
    }

    private void handleQuery(RespMessage message, boolean isWrite, PendingReply pending) {
        QueryParser.Result parsed = QueryParser.parse(message, isWrite);
        if (parsed.error() != null) {
            pending.replyLine(parsed.error());
            return;
        }
        Command command = parsed.command();
        if (!hasQueried) {
            hasQueried = true;
            frontend.firstQueryReceived();
        }
        pending.setRequestId(command.id());
        if (message.isPartlyDiscarded()) {
            handler.reject(command, pending, RefusalReason.NO_BUFFERS);
        } else {
            parsedQueries.add(new ParsedQuery(command, pending));
        }
    }

    /**
     * Submits the queries only now that all input has been read: a client that sends many commands and closes must not cause executions at
     * the nodes.
     */
    @Override
    public void readComplete() {
        isSubmitting = true;
        if (link.hasUnreadInput()) {
            rejectQueries(RefusalReason.UNREAD_INPUT);
        } else if (refusesForBuffers) {
            rejectQueries(RefusalReason.NO_BUFFERS);
        } else {
            submitQueries();
        }
        isSubmitting = false;
        flushReplies();
        closeIfAllIsRead();
        if (!link.hasUnreadInput() && !link.hasUndeliveredInput()) {
            inputWaitingSince = Double.NaN;
        } else if (Double.isNaN(inputWaitingSince)) {
            inputWaitingSince = loop.nowMs();
        }
    }

    private void submitQueries() {
        double waitedMs = Double.isNaN(inputWaitingSince) ? 0 : loop.nowMs() - inputWaitingSince;
        while (!parsedQueries.isEmpty()) {
            ParsedQuery next = parsedQueries.poll();
            next.reply.setQuery(handler.submit(next.command, next.reply, waitedMs));
        }
    }

    /** Rejects the queries that were read but cannot be submitted, because a close may follow them or no more commands are accepted. */
    private void rejectQueries(RefusalReason reason) {
        while (!parsedQueries.isEmpty()) {
            ParsedQuery next = parsedQueries.poll();
            handler.reject(next.command, next.reply, reason);
        }
    }

    boolean areBuffersScarce() {
        return loop.pool().isScarce();
    }

    boolean isClosed() {
        return link.isClosed();
    }

    /** Whether no reply is pending, unsent, or due for input that was read ahead. */
    boolean hasNothingPending() {
        return pendingReplies.isEmpty() && link.out().size() == 0 && !link.hasUndeliveredInput();
    }

    private boolean isIdle() {
        return hasNothingPending() && reader.isBetweenMessages();
    }

    boolean hasQueried() {
        return hasQueried;
    }

    boolean hasQueriedAndIsIdle() {
        return hasQueried && isIdle();
    }

    /** Whether the connection has been idle for so long that its client is unlikely to send another query soon. */
    boolean isQuiescent() {
        return hasQueriedAndIsIdle() && loop.nowMs() - lastReplyAt > QUIESCENT_MS;
    }

    /** Whether the client may still be receiving a large value, all of which the system has taken. */
    private boolean isReceivingLargeReply() {
        return loop.nowMs() - lastLargeReplyAt < WRITE_STALL_MS;
    }

    /** Groups of {@link #BY_EVICTION_ORDER}: 0 is evicted first. */
    private int evictionRank() {
        if (isReceivingLargeReply()) {
            return 4;
        }
        boolean isNew = !hasQueried && loop.nowMs() - lastReplyAt < NEW_CLIENT_MS;
        return isNew ? 3 : !isIdle() ? 2 : hasQueried ? 1 : 0;
    }

    /** Closes the connection, if nothing is pending on it, to make room for a new one. */
    void closeToFreeSlot() {
        link.readAvailable();
        if (!link.isClosed() && hasNothingPending()) {
            close(CloseReason.EVICTED);
        }
    }

    /** Writes the replies at the head of the queue that are available. */
    void flushReplies() {
        if (link.isClosed() || isReceiving || isSubmitting) { // replies to the commands of one read are sent together
            return;
        }
        if (loop.pool().availableBytes() < MIN_REPLY_ROOM_BYTES) {
            flushTimer.cancelTask();
            flushTimer = schedule(RECHECK_MS, this::flushReplies);
            return;
        }
        boolean wroteAny = false;
        long before = link.out().size();
        try {
            while (hasWritableReply()) {
                PendingReply first = pendingReplies.peekFirst();
                lastLargeReplyAt = first.isLarge() ? loop.nowMs() : lastLargeReplyAt;
                PendingReply.Progress progress = first.writeTo(link.out());
                if (progress == PendingReply.Progress.BROKEN) {
                    closeAfterOutput(CloseReason.BROKEN_VALUE); // the only way to tell the client that the value is incomplete
                    return;
                }
                if (progress == PendingReply.Progress.PARTIAL) {
                    break;
                }
                pendingReplies.pollFirst();
                hold.release();
                wroteAny = true;
            }
        } catch (RuntimeException | Error e) { // a partly written reply cannot be followed by another
            close(CloseReason.INTERNAL_ERROR);
            return;
        }
        pauseReadingWhilePassingOn();
        if (wroteAny) {
            lastReplyAt = loop.nowMs();
        }
        if (wroteAny || link.out().size() > before) {
            link.flush();
            scheduleStallCheck();
        }
        if (wroteAny && hasQueriedAndIsIdle()) {
            frontend.connectionIdle();
        }
    }

    /** Whether the reply whose turn it is can be written, in part at least. */
    private boolean hasWritableReply() {
        PendingReply first = pendingReplies.peekFirst();
        if (first == null || !first.isAnswered()) {
            return false;
        }
        Transfer unstarted = first.unstartedTransfer();
        boolean costsOnlyItself = unstarted == null || pendingReplies.size() == 1 && !link.hasUndeliveredInput();
        return costsOnlyItself || !hold.holds(unstarted, first.leftMs());
    }

    /**
     * While a large value is passed on that may break off, no further command is read: it would be lost with the connection. A command that the
     * connection's end finds unread is sent again elsewhere.
     */
    private void pauseReadingWhilePassingOn() {
        boolean passesOn = !pendingReplies.isEmpty() && pendingReplies.peekFirst().isPassingOn();
        if (passesOn && pendingReplies.size() == 1 && !link.hasUndeliveredInput() && !isPassingOn) {
            isPassingOn = true;
            passingOnSince = loop.nowMs();
            link.pauseReading();
        } else if (isPassingOn && !passesOn) {
            isPassingOn = false;
            if (!isClosing && !isPaused()) { // a paused connection goes on by its timer
                lastReadAt = loop.nowMs();
                inputWaitingSince = passingOnSince;
                link.resume();
            }
        }
    }

    /**
     * Whether another node is asked for the rest of a value that broke off. That is done only for the commands behind it, which would be lost with the
     * connection: they have been read, and the client's end is still seen.
     */
    boolean resumesValue(PendingReply reply) {
        return pendingReplies.peekFirst() == reply && pendingReplies.size() > 1 && handler.resumeValue(reply.query());
    }

    /** Gives up all pending replies, and closes once what is queued has been sent. */
    private void closeAfterOutput(CloseReason reason) {
        isClosing = true;
        closingReason = reason;
        frontend.logUnanswered(reason, dropPendingReplies());
        link.flush();
        scheduleStallCheck();
    }

    /** Closes a client that has stopped reading its replies, to release their buffers. */
    private void scheduleStallCheck() {
        if (link.out().size() > 0 && stallTimer == null) {
            long before = link.bytesWritten();
            stallTimer = schedule(WRITE_STALL_MS, () -> {
                stallTimer = null;
                if (link.isClosed()) {
                    return;
                }
                if (link.bytesWritten() == before) {
                    close(CloseReason.NOT_READING);
                } else {
                    scheduleStallCheck();
                }
            });
        }
    }

    @Override
    public void flushed() {
        if (!pendingReplies.isEmpty() && pendingReplies.peekFirst().isAnswered()) {
            flushReplies(); // the next part of a large value
        }
        if (link.isClosed()) {
            return;
        }
        if (isClosing && pendingReplies.isEmpty()) {
            close(closingReason);
        } else if (frontend.isClosingIdle() && isIdle()) {
            schedule(0, this::closeIfIdle); // deferred: bytes of this connection may be being processed
        } else if (isPaused() && !isSubmitting) {
            resume();
        } // else by the resume timer: resuming within submission would recurse for each synchronous reply
    }

    private Backpressure backpressure() {
        if (pendingReplies.size() >= MAX_PENDING_REPLIES || link.out().size() >= MAX_UNSENT_BYTES) {
            return Backpressure.REPLIES_PENDING;
        }
        if (awaitsBuffers()) {
            return Backpressure.VALUE_AWAITS_BUFFERS;
        }
        return grantedBytes == 0 && !reader.isDiscarding() && loop.pool().isScarce() ? Backpressure.BUFFERS_SCARCE : Backpressure.NONE;
    }

    private boolean isPaused() {
        return !Double.isNaN(pausedSince);
    }

    /** Pauses a client that sends without reading replies, or sends more than the buffers can hold. */
    private void pauseIfFull() {
        if (isPaused() || link.isClosed()) {
            return;
        }
        Backpressure backpressure = backpressure();
        refusesForBuffers &= backpressure == Backpressure.BUFFERS_SCARCE;
        if (backpressure != Backpressure.NONE) {
            pausedSince = loop.nowMs();
            link.pauseDelivery();
            resumeTimer = schedule(RECHECK_MS, this::resume);
        }
    }

    private void resume() {
        resumeTimer.cancelTask(); // at most one timer, however often the connection is paused
        if (!isPaused() || link.isClosed() || isClosing) {
            return;
        }
        if (link.hasUndeliveredInput() && frontend.readShare().isUsedUp()) {
            nextResume.queue();
            return;
        }
        Backpressure backpressure = isPassingOn ? Backpressure.REPLIES_PENDING : backpressure();
        refusesForBuffers = backpressure == Backpressure.BUFFERS_SCARCE && loop.nowMs() >= pausedSince + SCARCE_WAIT_MS;
        if (backpressure != Backpressure.NONE && !refusesForBuffers) {
            resumeTimer = schedule(RECHECK_MS, this::resume);
            return;
        }
        if (link.hasUndeliveredInput()) {
            commandStartedAt += loop.nowMs() - pausedSince; // the pause does not count against the client
        }
        pausedSince = Double.NaN;
        link.resume();
    }

    /** Whether the client is known to be connected, after reading what has arrived; false if its close might not be seen. */
    boolean isClientConnected() {
        link.readAvailableNested();
        return !link.isClosed() && !link.hasUnreadInput() && !link.hasEndedReading();
    }

    @Override
    public void endOfStream() {
        cleanUp(CloseReason.CLIENT_LEFT);
    }

    @Override
    public void disconnected(String cause) {
        cleanUp(CloseReason.CONNECTION_FAILED);
    }

    @Override
    public void failed(Throwable error) {
        cleanUp(CloseReason.INTERNAL_ERROR);
    }

    /** Closes the connection if no input has arrived and no reply is pending. */
    void closeIfIdle() {
        if (!link.isClosed() && !isClosing) {
            link.readAvailable(); // input read now is answered; closing with it unread would lose it
        }
        if (!link.isClosed() && isIdle()) {
            close(CloseReason.DRAINED);
        }
    }

    /**
     * Reads what has arrived, then stops reading. What was read ahead is still handled, as replies make room. What the client sends later stays unread, so
     * that it sends it again elsewhere. While a large value is passed on nothing can be read, so this has to be called again.
     */
    void stopReading() {
        if (isClosing || isPassingOn || link.isClosed() || link.hasEndedReading()) {
            return;
        }
        link.readAvailable();
        link.endReading();
        closeIfAllIsRead();
    }

    /** As {@link #stopReading}, and answers at once what was read ahead: the process ends. */
    void stopReadingAtOnce() {
        if (isClosing || link.isClosed()) {
            return;
        }
        link.readAvailable();
        link.endReading();
        isPassingOn = false;
        for (boolean isLeft = link.hasUndeliveredInput(); isLeft && !link.isClosed(); isLeft = link.hasUndeliveredInput()) {
            pausedSince = Double.NaN;
            link.resume();
        }
        closeIfAllIsRead();
    }

    /** Once reading has ended and nothing that was read ahead is left, takes no more commands and closes when all is answered. */
    private void closeIfAllIsRead() {
        if (link.isClosed() || !link.hasEndedReading() || link.hasUndeliveredInput()) {
            return;
        }
        isClosing = true;
        rejectQueries(RefusalReason.CLOSING);
        if (!link.isClosed() && hasNothingPending()) { // an incomplete command is dropped
            close(CloseReason.DRAINED);
        }
    }

    /** Ends the connection: the one place that decides how. A client that may still be receiving replies gets them whole. */
    private void close(CloseReason reason) {
        if (link.out().size() > 0) {
            frontend.logUnsentReplies(reason, link.out().size());
        }
        if (reason.lingers && link.bytesWritten() > 0) {
            frontend.linger(link, isReceivingLargeReply());
        } else {
            link.close();
        }
        cleanUp(reason);
    }

    private void cleanUp(CloseReason reason) {
        try {
            silenceTimer.cancelTask();
            hold.release();
            reader.release();
            releaseGrant();
            frontend.logUnanswered(reason, dropPendingReplies());
        } finally { // whatever fails here, its place is free for another client
            frontend.connectionClosed(slot, hasQueried, reason);
        }
    }

    /** Gives up all queries that have no whole reply, and returns their ids. */
    private List<String> dropPendingReplies() {
        List<String> ids = pendingReplies.stream().map(PendingReply::requestId).filter(id -> !id.isEmpty()).toList();
        parsedQueries.forEach(one -> one.command.release());
        parsedQueries.clear();
        for (PendingReply one : List.copyOf(pendingReplies)) {
            one.release();
            if (!one.isAnswered() && one.query() != null) {
                handler.clientLeft(one.query());
            }
        }
        pendingReplies.clear();
        return ids;
    }
}
