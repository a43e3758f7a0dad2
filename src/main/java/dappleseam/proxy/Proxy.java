package dappleseam.proxy;

import dappleseam.clients.PendingReply;
import dappleseam.clients.QueryHandler;
import dappleseam.control.Metrics;
import dappleseam.diagnostics.RateLimitedLog;
import dappleseam.diagnostics.RefusalReason;
import dappleseam.list.ListReader;
import dappleseam.list.ListWatch;
import dappleseam.list.NodeList;
import dappleseam.list.StartTimes;
import dappleseam.query.Backend;
import dappleseam.query.Command;
import dappleseam.query.ConnectionPolicy;
import dappleseam.query.ExecutionResult;
import dappleseam.query.Execution;
import dappleseam.query.WriteProgress;
import dappleseam.query.ReuseStats;
import dappleseam.query.Slots;
import dappleseam.query.Transfer;
import dappleseam.router.QueryRequest;
import dappleseam.router.RouterSettings;
import dappleseam.router.Host;
import dappleseam.router.Key;
import dappleseam.router.NodeHealth;
import dappleseam.router.Member;
import dappleseam.router.NodeId;
import dappleseam.router.Outcome;
import dappleseam.router.QueryId;
import dappleseam.router.Router;
import dappleseam.router.ServiceGrade;
import dappleseam.router.TimerId;
import dappleseam.site.ProxyConfig;
import dappleseam.site.Settings;
import dappleseam.wire.IoLoop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Connects the router with clients and nodes: holds the open queries, carries out the router's decisions and reports events to it.
 * Runs on the I/O thread, except where a method says otherwise.
 */
final class Proxy implements Host, QueryHandler, Execution.Listener, FleetObserver.ProxyCallbacks {
    private static final Logger LOG = System.getLogger(Proxy.class.getName());
    /** A time in ms in a client's command. */
    private static final Pattern MILLIS_PATTERN = Pattern.compile("\\d{1,7}(\\.\\d{1,6})?");
    /** A time in s in a client's command. */
    private static final Pattern SECONDS_PATTERN = Pattern.compile("\\d{1,4}(\\.\\d{1,9})?");
    private static final double MS_PER_S = 1000;
    /** Margin in ms by which a reply is sent before the client stops waiting for it. */
    private static final double REPLY_MARGIN_MS = 10;
    /** Time in ms after a query's deadline at which it is aborted if the router has not answered it; a safety net for rule 1. */
    private static final double ABORT_GRACE_MS = 15;
    /** Allowance in ms for a repeat's way to the node, taken off the nodes' deduplication window. */
    private static final double NETWORK_DELAY_MS = 20;
    /** Minimum interval in ms between log lines about failed executions: a failing node must not flood the log. */
    private static final double ERROR_LOG_INTERVAL_MS = 1000;
    /** Retry delay in ms sent when the table of open queries is full. */
    private static final double TABLE_FULL_RETRY_MS = 250;
    /** Delay in ms from which a query that waited in this program, or that is answered past its time, is logged. */
    private static final double LOGGED_DELAY_MS = 100;

    private final IoLoop loop;
    private Settings settings;
    private final Metrics metrics;
    private final Router router;
    private ListReader listReader;
    private final ListWatch listWatch;
    private final NodeTable nodes;
    private final StartTimes startTimes = new StartTimes();
    private volatile List<NodeHealth> nodeHealth = List.of();
    private final Slots<PendingQuery> queries = new Slots<>();
    /** Ids of the latest queries, as given by the clients; includes all open ones. */
    private final RecentIds recentIds;
    /** Events for the router, handled one after the other: its reaction to one may cause the next. */
    private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
    private boolean isDispatching;
    private boolean hasReceivedList;
    private boolean hasListFailed;
    /** Null if this proxy exchanges nothing with a fleet. */
    private FleetObserver fleetObserver;
    /** The proxy count assigned by the fleet (total over this proxy's share); NaN if the settings' count applies. */
    private double fleetProxyCount = Double.NaN;
    private final RateLimitedLog errorLog = new RateLimitedLog(LOG, ERROR_LOG_INTERVAL_MS);
    private final RateLimitedLog delayLog = new RateLimitedLog(LOG, ERROR_LOG_INTERVAL_MS);

    /** An accepted query, until it is answered and its last execution has ended. */
    private static final class PendingQuery {
        final Command command;
        final PendingReply reply;
        final String gradeName;
        /** The grade's settings at the time it was accepted. */
        final ServiceGrade serviceGrade;
        final int mostExecutions;
        final double clientDeadlineMs;
        final List<SentExecution> executions = new ArrayList<>(3);
        IoLoop.PendingTask abortTimer;
        boolean answered;
        int openExecutions;
        /** The large value being passed on, and the number of its execution; null if there is none. */
        Transfer transfer;
        int transferExecution;

        PendingQuery(Command command, PendingReply reply, String gradeName, ServiceGrade serviceGrade, int mostExecutions, double clientDeadlineMs) {
            this.command = command;
            this.reply = reply;
            this.gradeName = gradeName;
            this.serviceGrade = serviceGrade;
            this.mostExecutions = mostExecutions;
            this.clientDeadlineMs = clientDeadlineMs;
        }
    }

    /** An execution of a query; the backend is null if it was never sent to one. */
    private record SentExecution(Execution execution, NodeId node, Backend backend, IoLoop.PendingTask timeout) {
        /** Cancels the execution if it has not been written whole, because its query is answered or its time to start has passed (rule 1). */
        void withdraw() {
            if (backend != null && !execution.hasEnded() && backend.cancelUnsent(execution)) {
                execution.end(ExecutionResult.of(Outcome.UNSENT));
            }
        }
    }

    Proxy(IoLoop loop, ProxyConfig config, Metrics metrics, RecentIds recentIds) throws IOException {
        this.loop = loop;
        this.recentIds = recentIds;
        this.metrics = metrics;
        settings = config.settings();
        metrics.setGrades(settings.gradeNames());
        listReader = new ListReader(settings.modelNames(), settings.zones());
        NodeList knownList = config.knownList().isObject() ? listReader.read(config.knownList()) : new NodeList(0, true, List.of());
        SplittableRandom random = new SplittableRandom(config.seed()); // RandomGenerator's factory would look up all algorithms, which is slow
        listWatch = new ListWatch(loop, config.listService(), listReader, knownList.version(), this::listReceived, this::listFailed,
                this::listDelayMs, random.split());
        router = new Router(settings.routerSettings(), random, this, loop.nowMs());
        nodes = new NodeTable(loop, settings.routerSettings().originModel(), connectionPolicy(settings, new ReuseStats()));
        nodes.apply(knownList);
        List<Member> members = startTimes.adjustFirstList(knownList, loop.nowMs(), System.currentTimeMillis());
        dispatch(() -> router.listReplaced(loop.nowMs(), members, true));
        if (isPushed()) {
            listWatch.watchPermanently();
        }
    }

    private static ConnectionPolicy connectionPolicy(Settings settings, ReuseStats reuse) {
        // If executions may not run in parallel, cancelling one has to close its connection. Each execution then
        // gets a connection of its own, as the close would reset the others on a shared one.
        boolean together = settings.routerSettings().parallelExecutions();
        return new ConnectionPolicy(together ? settings.maxCommandsPerConnection() : 1, settings.allowsProbes(), settings.idleCloseMs(),
                settings.connectTimeoutMs(), !together, reuse);
    }

    /** Whether the list is watched all the time; otherwise it is requested only when the router asks for it. */
    private boolean isPushed() {
        return settings.routerSettings().askEveryMs() == 0;
    }

    /** Applies a new configuration: its settings hold for later queries, and the list service may have moved. */
    void applyConfiguration(ProxyConfig config) {
        Settings previous = settings;
        settings = config.settings();
        metrics.setGrades(settings.gradeNames());
        nodes.setLimits(settings.routerSettings().originModel(), connectionPolicy(settings, nodes.reuse()));
        RouterSettings effectiveSettings = Double.isNaN(fleetProxyCount) ? settings.routerSettings() : settings.routerSettings().withProxyCount(fleetProxyCount);
        dispatch(() -> router.settingsChanged(loop.nowMs(), effectiveSettings));
        if (!previous.modelNames().equals(settings.modelNames()) || !previous.zones().equals(settings.zones())) {
            listReader = new ListReader(settings.modelNames(), settings.zones());
            listWatch.refetchWith(listReader);
        }
        listWatch.moveTo(config.listService());
        if (isPushed()) {
            listWatch.watchPermanently();
        }
    }

    /** Called just before the first client is accepted. */
    void prepare() {
        dispatch(router::prepare);
    }

    /** Whether the list service has answered since the start. */
    boolean hasReceivedList() {
        return hasReceivedList;
    }

    /** Whether a request to the list service has failed since the start. */
    boolean hasListFailed() {
        return hasListFailed;
    }

    /** The nodes' health as last published; thread-safe. */
    List<NodeHealth> nodeHealth() {
        return nodeHealth;
    }

    /** Restores node health saved by another process or received from the fleet. */
    void restoreNodeHealth(List<NodeHealth> saved) {
        List<NodeHealth> current = saved.stream().map(health -> health.withStartedAt(startTimes.startedAtMs(health.node(), health.startedAtMs()))).toList();
        dispatch(() -> router.restoreNodeHealth(loop.nowMs(), current));
    }

    /** Publishes what takes a pass over all nodes: node health, the list and the gauges. */
    void publish() {
        nodeHealth = router.nodeHealth().stream().map(health -> health.withStartedAt(startTimes.bootMs(health.node()))).toList();
        if (fleetObserver != null) {
            fleetObserver.update(loop.nowMs(), nodeHealth, nodes.readyCaches());
        }
        nodes.publish();
        metrics.setNodeCounts(nodes.count(), router.unavailableCount(loop.nowMs()));
    }

    /** Sets the observer that is notified from now on. */
    void setFleetObserver(FleetObserver observer) {
        fleetObserver = observer;
    }

    @Override
    public double configuredProxyCount() {
        return settings.routerSettings().proxyCount();
    }

    @Override
    public void shareChanged(double proxyCount, double position) {
        fleetProxyCount = proxyCount;
        dispatch(() -> router.fleetShareChanged(proxyCount, position));
    }

    @Override
    public void requestListIn(double afterMs) {
        loop.scheduleAt(loop.nowMs() + afterMs, listWatch::startWatching);
    }

    private double listDelayMs(double defaultMs) {
        return fleetObserver == null ? defaultMs : fleetObserver.listRetryDelayMs(loop.nowMs(), defaultMs);
    }

    /** Aborts all open queries: the process is about to end. Values that are held back until they are whole are among them. */
    void abortAll() {
        for (PendingQuery pendingQuery : queries.all()) {
            if (!pendingQuery.answered) {
                markAnswered(pendingQuery, Metrics.QueryResult.FAILED);
                pendingQuery.reply.replyAborted();
            } else if (pendingQuery.transfer != null) {
                pendingQuery.reply.abortUnstartedValue();
            }
        }
    }

    private void dispatch(Runnable event) {
        pendingEvents.add(event);
        if (isDispatching) {
            return;
        }
        isDispatching = true;
        try {
            while (!pendingEvents.isEmpty()) {
                try {
                    pendingEvents.poll().run();
                } catch (RuntimeException | Error e) { // the affected query is aborted at its deadline; the others go on
                    LOG.log(Level.ERROR, "the router failed", e);
                }
            }
        } finally {
            isDispatching = false;
        }
    }

    private void listReceived(NodeList list) {
        double now = loop.nowMs();
        boolean isFirst = !hasReceivedList;
        hasReceivedList = true;
        if (fleetObserver != null) {
            fleetObserver.listRequestEnded(loop.nowMs(), true);
        }
        nodes.apply(list);
        if (isFirst) { // evaluated together with the list from the configuration file
            List<Member> all = startTimes.adjustFirstList(nodes.currentList(), now, System.currentTimeMillis());
            dispatch(() -> router.listReplaced(loop.nowMs(), all, false));
            return;
        }
        List<Member> members = startTimes.adjustUpdate(list, now);
        if (list.full()) {
            dispatch(() -> router.listReplaced(loop.nowMs(), members, false));
        } else {
            dispatch(() -> router.listChanged(loop.nowMs(), members));
        }
    }

    private void listFailed(String cause) {
        hasListFailed = true;
        LOG.log(Level.WARNING, "list: a call failed: {0}", cause);
        if (fleetObserver != null) {
            fleetObserver.listRequestEnded(loop.nowMs(), false);
        }
        if (!isPushed()) {
            dispatch(() -> router.listFailed(loop.nowMs()));
        }
    }

    /** The full list as last published; thread-safe. */
    NodeList publishedList() {
        return nodes.publishedList();
    }

    @Override
    public QueryId submit(Command command, PendingReply reply, double waitedMs) {
        String requestedGrade = command.fact("c");
        int grade = settings.gradeNames().indexOf(requestedGrade);
        double clientTimeoutMs = clientTimeoutMs(command.fact("d"), grade);
        if (grade < 0 || clientTimeoutMs <= 0) {
            command.release();
            metrics.queryRefused(requestedGrade, Metrics.QueryResult.FAILED);
            metrics.refusals().count(RefusalReason.INVALID_FACTS);
            reply.replyLine("-ERR malformed list of names and values");
            return null;
        }
        if (queries.isFull(settings.mostHeld())) {
            reject(command, reply, RefusalReason.TABLE_FULL);
            return null;
        }
        if (!recentIds.add(command.id(), loop.nowMs())) { // nodes identify a query by its id, which another open or recent query uses
            command.release();
            metrics.queryRefused(requestedGrade, Metrics.QueryResult.FAILED);
            metrics.refusals().count(RefusalReason.DUPLICATE_ID);
            reply.replyLine("-ERR this id is in use");
            return null;
        }
        if (waitedMs > LOGGED_DELAY_MS) {
            delayLog.warn(loop.nowMs(), "query " + command.id() + " waited up to " + Math.round(waitedMs) + " ms before it was submitted");
        }
        double leftMs = Math.max(1, clientTimeoutMs - waitedMs - REPLY_MARGIN_MS);
        PendingQuery pendingQuery = new PendingQuery(command, reply, requestedGrade, settings.routerSettings().grades().get(grade), settings.routerSettings().mostExecutions(),
                loop.nowMs() + leftMs);
        metrics.queryAccepted();
        if (fleetObserver != null) {
            fleetObserver.queryAccepted();
        }
        QueryId id = new QueryId(queries.put(pendingQuery));
        pendingQuery.abortTimer = loop.scheduleAt(pendingQuery.clientDeadlineMs + ABORT_GRACE_MS, () -> abortOverdue(id));
        dispatch(() -> router.query(loop.nowMs(), id, new QueryRequest(grade, parseKey(command.key()), pendingQuery.clientDeadlineMs - loop.nowMs(),
                costEstimateMs(command), command.isWrite(), command.fact("r").equals("1"))));
        return id;
    }

    @Override
    public void reject(Command command, PendingReply reply, RefusalReason reason) {
        command.release();
        metrics.refusals().count(reason);
        metrics.queryRefused(command.fact("c"), Metrics.QueryResult.REJECTED);
        reply.replyBusy(settings.routerSettings().maxRetryAfterMs() > 0 ? TABLE_FULL_RETRY_MS : 0);
    }

    @Override
    public double clientTimeoutMs(String facts) {
        return clientTimeoutMs(Command.fact(facts, "d"), settings.gradeNames().indexOf(Command.fact(facts, "c")));
    }

    /** The command's {@code d} in ms, limited to the statement timeout; -1 if it is missing or not a plain number. */
    private double clientTimeoutMs(String waitMs, int grade) {
        return grade < 0 || !MILLIS_PATTERN.matcher(waitMs).matches() ? -1
                : Math.min(Double.parseDouble(waitMs), settings.routerSettings().grades().get(grade).timeoutMs());
    }

    /** The client's cost estimate, given in s, in ms; 0 if it is missing or invalid. */
    private static double costEstimateMs(Command command) {
        String text = command.fact("costGuessS");
        return SECONDS_PATTERN.matcher(text).matches() ? MS_PER_S * Double.parseDouble(text) : 0;
    }

    private static Key parseKey(String text) {
        try {
            return new Key(Long.parseUnsignedLong(text, 16));
        } catch (NumberFormatException e) {
            return new Key(text.hashCode() * 0x9e3779b97f4a7c15L | 1);
        }
    }

    private void abortOverdue(QueryId id) {
        PendingQuery pendingQuery = queries.get(id.value());
        if (pendingQuery != null && !pendingQuery.answered) {
            LOG.log(Level.ERROR, "query {0} had no answer at its statement timeout", pendingQuery.command.id());
            pendingQuery.reply.replyAborted();
            clientLeft(id);
        }
    }

    @Override
    public void clientLeft(QueryId id) {
        PendingQuery pendingQuery = queries.get(id.value());
        if (pendingQuery != null && !pendingQuery.answered) {
            markAnswered(pendingQuery, Metrics.QueryResult.FAILED);
            dispatch(() -> router.clientLeft(loop.nowMs(), id));
            dispatch(() -> releaseIfDone(id, pendingQuery));
        }
    }

    private void markAnswered(PendingQuery pendingQuery, Metrics.QueryResult result) {
        double lateMs = loop.nowMs() - pendingQuery.clientDeadlineMs;
        if (lateMs > LOGGED_DELAY_MS) {
            delayLog.warn(loop.nowMs(), "query " + pendingQuery.command.id() + " ended " + Math.round(lateMs) + " ms after its time: " + result);
        }
        metrics.queryEnded(pendingQuery.gradeName, result);
        markAnswered(pendingQuery);
    }

    /** Rule 1: executions that still wait for a connection, such as a second copy, are not sent after the answer. */
    private static void markAnswered(PendingQuery pendingQuery) {
        pendingQuery.answered = true;
        pendingQuery.abortTimer.cancelTask();
        List.copyOf(pendingQuery.executions).forEach(SentExecution::withdraw);
    }

    private void releaseIfDone(QueryId id, PendingQuery pendingQuery) {
        if (pendingQuery.answered && pendingQuery.openExecutions == 0 && pendingQuery.transfer == null && queries.get(id.value()) == pendingQuery) {
            queries.free(id.value());
            pendingQuery.command.release();
        }
    }

    @Override
    public void execute(QueryId id, NodeId node, double timeoutMs) {
        PendingQuery pendingQuery = queries.get(id.value());
        if (pendingQuery == null) {
            LOG.log(Level.ERROR, "an execution for an unknown query");
            return;
        }
        double now = loop.nowMs();
        double until = timeoutMs == 0 ? pendingQuery.clientDeadlineMs : Math.min(pendingQuery.clientDeadlineMs, now + timeoutMs);
        boolean clientIsHere = pendingQuery.executions.isEmpty() || pendingQuery.reply.isClientConnected(); // the first one starts while its query is being read
        Execution execution = new Execution(id, pendingQuery.executions.size(), pendingQuery.command, now, until, this);
        Backend backend = nodes.backend(node);
        pendingQuery.openExecutions++;
        if (!clientIsHere || pendingQuery.answered || backend == null || pendingQuery.executions.size() >= pendingQuery.mostExecutions) {
            pendingQuery.executions.add(new SentExecution(execution, node, null, () -> { }));
            execution.end(ExecutionResult.of(Outcome.UNSENT));
            return;
        }
        if (!pendingQuery.executions.isEmpty()) {
            metrics.retried(pendingQuery.executions.get(pendingQuery.executions.size() - 1).execution.outcome());
        }
        IoLoop.PendingTask timeout = loop.scheduleAt(until, () -> timeOut(execution, backend));
        double deduplicationEndsAt = deduplicationEndsAt(pendingQuery);
        SentExecution sent = new SentExecution(execution, node, backend, timeout);
        if (deduplicationEndsAt < until) {
            loop.scheduleAt(deduplicationEndsAt, sent::withdraw);
        }
        pendingQuery.executions.add(sent);
        backend.begin(execution);
    }

    /**
     * The time by which a repeat has to be written whole: nodes deduplicate only for a limited time after the first execution, and
     * a repeat may have to wait for a connection. Infinite for grades without deduplication.
     */
    private static double deduplicationEndsAt(PendingQuery pendingQuery) {
        return pendingQuery.serviceGrade.semantics() != ServiceGrade.Semantics.DEDUPLICATED ? Double.POSITIVE_INFINITY
                : pendingQuery.executions.stream().filter(s -> s.execution.mayHaveRun()).mapToDouble(s -> s.execution.sentAt).min()
                        .orElse(Double.POSITIVE_INFINITY) + pendingQuery.serviceGrade.dedupWindowMs() - NETWORK_DELAY_MS;
    }

    @Override
    public boolean mayBegin(Execution execution) {
        PendingQuery pendingQuery = queries.get(execution.query.value());
        double now = loop.nowMs();
        return pendingQuery != null && !pendingQuery.answered && now < execution.deadlineMs && pendingQuery.reply.isClientConnected() && !pendingQuery.answered;
    }

    @Override
    public void written(Execution execution) {
        metrics.executionSent();
    }

    private void timeOut(Execution execution, Backend backend) {
        WriteProgress progress = backend.stopWaiting(execution);
        execution.end(ExecutionResult.of(progress == WriteProgress.COMPLETE ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED));
    }

    @Override
    public void cancel(QueryId id, int number) {
        PendingQuery pendingQuery = queries.get(id.value());
        if (pendingQuery != null && !pendingQuery.executions.get(number).execution.hasEnded()) {
            SentExecution sent = pendingQuery.executions.get(number);
            WriteProgress progress = sent.backend.stopWaiting(sent.execution);
            sent.execution.end(ExecutionResult.of(progress == WriteProgress.COMPLETE ? Outcome.CANCELLED : Outcome.UNSENT));
        }
    }

    @Override
    public void ended(Execution execution, ExecutionResult executionResult) {
        PendingQuery pendingQuery = queries.get(execution.query.value());
        pendingQuery.executions.get(execution.number).timeout.cancelTask();
        double tookMs = loop.nowMs() - execution.sentAt;
        if (fleetObserver != null) {
            reportOutcome(pendingQuery.executions.get(execution.number).node, execution.sentAt, tookMs, executionResult.outcome());
        }
        if (executionResult.outcome() == Outcome.COMPLETED) {
            if (pendingQuery.answered) {
                executionResult.release();
            } else if (executionResult.transfer() == null) {
                markAnswered(pendingQuery, Metrics.QueryResult.COMPLETED);
                pendingQuery.reply.replyValue(executionResult.value());
            } else { // the reply starts with the first bytes; the query ends once the client has the last
                markAnswered(pendingQuery);
                passOn(execution, pendingQuery, executionResult.transfer());
            }
        } else if (executionResult.outcome() == Outcome.ERRED) {
            errorLog.warn(loop.nowMs(), "execution ended ERRED: " + executionResult.cause());
        }
        dispatch(() -> {
            router.executionEnded(loop.nowMs(), execution.query, execution.number, executionResult.outcome(), tookMs,
                    pendingQuery.answered);
            pendingQuery.openExecutions--;
            releaseIfDone(execution.query, pendingQuery);
        });
    }

    private void passOn(Execution execution, PendingQuery pendingQuery, Transfer transfer) {
        pendingQuery.transfer = transfer;
        pendingQuery.transferExecution = execution.number;
        dispatch(() -> router.valueBegun(execution.query));
        transfer.connect(pendingQuery.reply::transferAdvanced, () -> transferFinished(execution.query, pendingQuery, transfer));
        pendingQuery.reply.replyTransfer(transfer, pendingQuery.clientDeadlineMs - loop.nowMs());
    }

    private void transferFinished(QueryId id, PendingQuery pendingQuery, Transfer transfer) {
        if (pendingQuery.transfer != transfer) { // it broke off, and the query is open again
            return;
        }
        pendingQuery.transfer = null;
        metrics.queryEnded(pendingQuery.gradeName, transfer.isDone() ? Metrics.QueryResult.COMPLETED : Metrics.QueryResult.FAILED);
        dispatch(() -> {
            router.valueEnded(id);
            releaseIfDone(id, pendingQuery);
        });
    }

    @Override
    public boolean resumeValue(QueryId id) {
        PendingQuery pendingQuery = queries.get(id.value());
        boolean isRepeatable = pendingQuery != null && pendingQuery.transfer != null && !pendingQuery.command.isWrite()
                && pendingQuery.serviceGrade.semantics() == ServiceGrade.Semantics.IDEMPOTENT;
        if (!isRepeatable || loop.nowMs() >= pendingQuery.clientDeadlineMs) {
            return false;
        }
        pendingQuery.transfer = null;
        pendingQuery.answered = false;
        pendingQuery.abortTimer = loop.scheduleAt(pendingQuery.clientDeadlineMs + ABORT_GRACE_MS, () -> abortOverdue(id));
        loop.executeNextTurn(() -> dispatch(() -> openAgain(id, pendingQuery))); // the connections of both sides are still being handled
        return true;
    }

    private void openAgain(QueryId id, PendingQuery pendingQuery) {
        if (pendingQuery.answered) { // its client has left meanwhile
            router.valueEnded(id);
        } else {
            router.valueBroke(loop.nowMs(), id, pendingQuery.transferExecution);
        }
    }

    private void reportOutcome(NodeId node, double sentAt, double tookMs, Outcome outcome) {
        switch (outcome) {
            case COMPLETED, MISS, FULL -> fleetObserver.cacheAnswered(node, loop.nowMs(), tookMs);
            case TIMED_OUT, CANCELLED -> fleetObserver.unanswered(node, sentAt, loop.nowMs(), tookMs);
            case CONNECT_FAILED -> fleetObserver.unanswered(node, sentAt, loop.nowMs(), Double.POSITIVE_INFINITY);
            default -> { } // says something about the connection or this proxy, not about the node
        }
    }

    @Override
    public void reject(QueryId id, double retryAfterMs) {
        metrics.refusals().count(RefusalReason.ROUTER);
        finish(id, Metrics.QueryResult.REJECTED, reply -> reply.replyBusy(retryAfterMs));
    }

    @Override
    public void abort(QueryId id) {
        finish(id, Metrics.QueryResult.FAILED, PendingReply::replyAborted);
    }

    private void finish(QueryId id, Metrics.QueryResult result, Consumer<PendingReply> send) {
        PendingQuery pendingQuery = queries.get(id.value());
        if (pendingQuery != null && !pendingQuery.answered) {
            markAnswered(pendingQuery, result);
            send.accept(pendingQuery.reply);
            dispatch(() -> releaseIfDone(id, pendingQuery));
        }
    }

    @Override
    public void closeIdle(NodeId node) {
        Backend backend = nodes.backend(node);
        if (backend != null) {
            backend.closeIdle();
        }
    }

    @Override
    public void followList() {
        double retryDelayMs = listDelayMs(0);
        if (retryDelayMs > 0) {
            requestListIn(retryDelayMs);
        } else {
            listWatch.startWatching();
        }
    }

    @Override
    public void startTimer(TimerId timer, double delayMs) {
        loop.scheduleAt(loop.nowMs() + delayMs, () -> dispatch(() -> router.timerFired(loop.nowMs(), timer)));
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }
}
