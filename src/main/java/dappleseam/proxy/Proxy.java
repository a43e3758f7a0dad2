package dappleseam.proxy;

import dappleseam.clients.PendingReply;
import dappleseam.clients.QueryHandler;
import dappleseam.control.Figures;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/** Between the router and the peers: holds the queries taken, and does what the router decides. */
final class Proxy implements Host, QueryHandler, Execution.Listener, Lookout.Whole {
    private static final Logger LOG = System.getLogger(Proxy.class.getName());
    /** The answer of an aborted query. */
    private static final String FAILED = "-ERR failed";
    /** Ids remembered: more than the table of queries holds, and some seconds' worth of a busy proxy. */
    private static final int IDS = 8 << 10;
    /** A time in ms as clients write it. */
    private static final Pattern MS = Pattern.compile("\\d{1,7}(\\.\\d{1,6})?");
    /** A time in s as clients write it. */
    private static final Pattern SECONDS = Pattern.compile("\\d{1,4}(\\.\\d{1,9})?");
    private static final double MS_PER_S = 1000;
    /** Time in ms by which an answer goes out before the client stops waiting for it. */
    private static final double LAST_HOP_MS = 10;
    /** Time in ms past that at which a query the router forgot is aborted; it guards rule 1. */
    private static final double FORGOTTEN_MS = 15;
    /** Time in ms that a command may take to a node, of those that nodes know a repeat for. */
    private static final double WAY_MS = 20;
    /** Least time in ms between two lines about errors: a failing node must not fill the log. */
    private static final double ERRORS_APART_MS = 1000;
    /** Time to come back in ms where no more queries can be held. */
    private static final double TABLE_FULL_MS = 250;

    private final IoLoop loop;
    private Settings site;
    private final Figures figures;
    private final Router router;
    private ListReader lists;
    private final ListWatch watch;
    private final Nodes nodes;
    private final StartTimes startTimes = new StartTimes();
    private volatile List<NodeHealth> learnt = List.of();
    private final Slots<Taken> queries = new Slots<>();
    /** The ids of the queries taken last, as the clients gave them, in order: those of all that are open among them. */
    private final Set<String> ids = new LinkedHashSet<>();
    /** Told to the router one after the other: what it does may bring about the next. */
    private final ArrayDeque<Runnable> toTell = new ArrayDeque<>();
    private boolean telling;
    private boolean hasHeardList;
    private boolean hasListFailed;
    /** Null where this proxy tells nobody of its caches. */
    private Lookout lookout;
    /** The whole over this proxy's share; NaN where that is as the settings say. */
    private double sharedBy = Double.NaN;
    private double errorLoggedAt;

    /** A query taken, until it is answered and its last execution has ended. */
    private static final class Taken {
        final Command command;
        final PendingReply owed;
        final String grade;
        /** By the rules it was taken under. */
        final ServiceGrade rules;
        final int mostExecutions;
        final double quitAt;
        final List<Sent> execs = new ArrayList<>(3);
        IoLoop.PendingTask forgotten;
        boolean answered;
        int out;

        Taken(Command command, PendingReply owed, String grade, ServiceGrade rules, int mostExecutions, double quitAt) {
            this.command = command;
            this.owed = owed;
            this.grade = grade;
            this.rules = rules;
            this.mostExecutions = mostExecutions;
            this.quitAt = quitAt;
        }
    }

    private record Sent(Execution execution, NodeId node, Backend backend, IoLoop.PendingTask deadline) {
        /** Guards rule 1 and a node: nothing more of it goes out, as its query is over or its time to begin is. */
        void takeBack() {
            if (backend != null && !execution.hasEnded() && backend.cancelUnsent(execution)) {
                execution.end(ExecutionResult.of(Outcome.UNSENT));
            }
        }
    }

    Proxy(IoLoop loop, ProxyConfig post, Figures figures) throws IOException {
        this.loop = loop;
        this.figures = figures;
        site = post.settings();
        figures.grades(site.gradeNames());
        lists = new ListReader(site.modelNames(), site.zones());
        NodeList known = post.knownList().isObject() ? lists.read(post.knownList()) : new NodeList(0, true, List.of());
        SplittableRandom random = new SplittableRandom(post.seed()); // its factory would search for all there are
        watch = new ListWatch(loop, post.listService(), lists, known.version(), this::news, this::listFailed,
                this::againMs, random.split());
        router = new Router(site.routerSettings(), random, this, loop.nowMs());
        nodes = new Nodes(loop, site.routerSettings().originModel(), connections(site, new ReuseStats()));
        nodes.learn(known);
        List<Member> members = startTimes.adjustFirstList(known, loop.nowMs(), System.currentTimeMillis());
        tell(() -> router.listReplaced(loop.nowMs(), members, true));
        if (isPushed()) {
            watch.watchPermanently();
        }
    }

    private static ConnectionPolicy connections(Settings site, ReuseStats reuse) {
        // Where two executions may never be out together, giving one up has to end its connection, and so
        // each has one of its own: a neighbour's would be reset with it.
        boolean together = site.routerSettings().parallelExecutions();
        boolean share = together && site.routerSettings().connectionPenalty() > 0;
        return new ConnectionPolicy(together ? site.maxCommandsPerConnection() : 1, share, site.idleCloseMs(),
                site.connectTimeoutMs(), !together, reuse);
    }

    /** The router asks for the list only where it has to; what is pushed there, is watched for here. */
    private boolean isPushed() {
        return site.routerSettings().askEveryMs() == 0;
    }

    /** A new configuration: its settings hold for queries to come, and the list may be at another address. */
    void reloaded(ProxyConfig post) {
        Settings before = site;
        site = post.settings();
        figures.grades(site.gradeNames());
        nodes.limit(site.routerSettings().originModel(), connections(site, nodes.reuse()));
        RouterSettings told = Double.isNaN(sharedBy) ? site.routerSettings() : site.routerSettings().withProxyCount(sharedBy);
        tell(() -> router.settingsChanged(loop.nowMs(), told));
        if (!before.modelNames().equals(site.modelNames()) || !before.zones().equals(site.zones())) {
            lists = new ListReader(site.modelNames(), site.zones());
            watch.refetchWith(lists);
        }
        watch.moveTo(post.listService());
        if (isPushed()) {
            watch.watchPermanently();
        }
    }

    /** Clients are about to be let in. */
    void prepare() {
        tell(router::prepare);
    }

    /** Whether the list service has told of the list since the start. */
    boolean hasHeardList() {
        return hasHeardList;
    }

    /** Whether a call to the list service has failed since the start. */
    boolean hasListFailed() {
        return hasListFailed;
    }

    /** What was learnt of the nodes when it was last told; for any thread. */
    List<NodeHealth> learnt() {
        return learnt;
    }

    void recall(List<NodeHealth> known) {
        List<NodeHealth> ofProcesses = known.stream().map(one -> one.withStartedAt(startTimes.startedAtMs(one.node(), one.startedAtMs()))).toList();
        tell(() -> router.restoreNodeHealth(loop.nowMs(), ofProcesses));
    }

    /** Tells the figures what takes a walk to count. */
    void publish() {
        learnt = router.nodeHealth().stream().map(one -> one.withStartedAt(startTimes.bootMs(one.node()))).toList();
        if (lookout != null) {
            lookout.look(loop.nowMs(), learnt, nodes.readyCaches());
        }
        nodes.publish();
        figures.list(nodes.count(), router.unavailableCount(loop.nowMs()));
    }

    /** Tells it from now on what it is there for. */
    void tellOfCaches(Lookout to) {
        lookout = to;
    }

    @Override
    public double proxies() {
        return site.routerSettings().proxyCount();
    }

    @Override
    public void stands(double proxies, double place) {
        sharedBy = proxies;
        tell(() -> router.fleetShareChanged(proxies, place));
    }

    @Override
    public void callIn(double ms) {
        loop.scheduleAt(loop.nowMs() + ms, watch::startWatching);
    }

    private double againMs(double ownMs) {
        return lookout == null ? ownMs : lookout.listAgainMs(loop.nowMs(), ownMs);
    }

    /** Answers at once what has no answer yet: this process is about to end. */
    void abortAll() {
        for (Taken taken : queries.all()) {
            if (!taken.answered) {
                answered(taken, Figures.End.FAILED);
                taken.owed.replyLine(FAILED);
            }
        }
    }

    private void tell(Runnable event) {
        toTell.add(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            while (!toTell.isEmpty()) {
                try {
                    toTell.poll().run();
                } catch (RuntimeException e) { // the query it concerned is aborted in time; the others go on
                    LOG.log(Level.ERROR, "the router failed", e);
                }
            }
        } finally {
            telling = false;
        }
    }

    private void news(NodeList list) {
        double now = loop.nowMs();
        boolean isFirst = !hasHeardList;
        hasHeardList = true;
        if (lookout != null) {
            lookout.listCalled(loop.nowMs(), true);
        }
        nodes.learn(list);
        if (isFirst) { // with what the file knew: all of it is judged together
            List<Member> all = startTimes.adjustFirstList(nodes.wholeList(), now, System.currentTimeMillis());
            tell(() -> router.listReplaced(loop.nowMs(), all, false));
            return;
        }
        List<Member> members = startTimes.adjustUpdate(list, now);
        if (list.full()) {
            tell(() -> router.listReplaced(loop.nowMs(), members, false));
        } else {
            tell(() -> router.listChanged(loop.nowMs(), members));
        }
    }

    private void listFailed(String cause) {
        hasListFailed = true;
        LOG.log(Level.WARNING, "list: a call failed: {0}", cause);
        if (lookout != null) {
            lookout.listCalled(loop.nowMs(), false);
        }
        if (!isPushed()) {
            tell(() -> router.listFailed(loop.nowMs()));
        }
    }

    /** The whole list as last published; for any thread. */
    NodeList lastList() {
        return nodes.lastList();
    }

    @Override
    public QueryId submit(Command command, PendingReply owed, double waitedMs) {
        String named = command.fact("c");
        int grade = site.gradeNames().indexOf(named);
        double waits = waits(command, grade);
        if (grade < 0 || waits <= 0) {
            command.release();
            figures.turnedAway(named, Figures.End.FAILED);
            owed.replyLine("-ERR malformed list of names and values");
            return null;
        }
        if (queries.isFull(site.mostHeld())) {
            reject(command, owed);
            return null;
        }
        if (!ids.add(command.id())) { // nodes know a query by its id: another's may be open, or just have been
            command.release();
            figures.turnedAway(named, Figures.End.FAILED);
            owed.replyLine("-ERR this id is in use");
            return null;
        }
        if (ids.size() > IDS) {
            ids.remove(ids.iterator().next());
        }
        double left = Math.max(1, waits - waitedMs - LAST_HOP_MS);
        Taken taken = new Taken(command, owed, named, site.routerSettings().grades().get(grade), site.routerSettings().mostExecutions(),
                loop.nowMs() + left);
        figures.taken();
        if (lookout != null) {
            lookout.taken();
        }
        QueryId id = new QueryId(queries.put(taken));
        taken.forgotten = loop.scheduleAt(taken.quitAt + FORGOTTEN_MS, () -> forgotten(id));
        tell(() -> router.query(loop.nowMs(), id, new QueryRequest(grade, key(command.key()), taken.quitAt - loop.nowMs(),
                workMs(command), command.isWrite(), command.fact("r").equals("1"))));
        return id;
    }

    @Override
    public void reject(Command command, PendingReply owed) {
        command.release();
        figures.turnedAway(command.fact("c"), Figures.End.REJECTED);
        owed.replyBusy(site.routerSettings().maxRetryAfterMs() > 0 ? TABLE_FULL_MS : 0);
    }

    /** What {@code d} says, in ms, up to the statement timeout; -1 where it is missing or no plain number. */
    private double waits(Command command, int grade) {
        String text = command.fact("d");
        return grade < 0 || !MS.matcher(text).matches() ? -1
                : Math.min(Double.parseDouble(text), site.routerSettings().grades().get(grade).timeoutMs());
    }

    /** The client's guess of the work, which it gives in s; 0 where there is none, or none that can be. */
    private static double workMs(Command command) {
        String text = command.fact("costGuessS");
        return SECONDS.matcher(text).matches() ? MS_PER_S * Double.parseDouble(text) : 0;
    }

    private static Key key(String text) {
        try {
            return new Key(Long.parseUnsignedLong(text, 16));
        } catch (NumberFormatException e) {
            return new Key(text.hashCode() * 0x9e3779b97f4a7c15L | 1);
        }
    }

    private void forgotten(QueryId id) {
        Taken taken = queries.get(id.value());
        if (taken != null && !taken.answered) {
            LOG.log(Level.ERROR, "query {0} had no answer at its statement timeout", taken.command.id());
            taken.owed.replyLine(FAILED);
            clientLeft(id);
        }
    }

    @Override
    public void clientLeft(QueryId id) {
        Taken taken = queries.get(id.value());
        if (taken != null && !taken.answered) {
            answered(taken, Figures.End.FAILED);
            tell(() -> router.clientLeft(loop.nowMs(), id));
            tell(() -> freeIfOver(id, taken));
        }
    }

    private void answered(Taken taken, Figures.End how) {
        figures.ended(taken.grade, how);
        answered(taken);
    }

    /** Guards rule 1: what waits for a connection still, such as a second copy, is not sent for it afterwards. */
    private static void answered(Taken taken) {
        taken.answered = true;
        taken.forgotten.cancelTask();
        List.copyOf(taken.execs).forEach(Sent::takeBack);
    }

    private void freeIfOver(QueryId id, Taken taken) {
        if (taken.answered && taken.out == 0 && queries.get(id.value()) == taken) {
            queries.free(id.value());
            taken.command.release();
        }
    }

    @Override
    public void execute(QueryId id, NodeId node, double timeoutMs) {
        Taken taken = queries.get(id.value());
        if (taken == null) {
            LOG.log(Level.ERROR, "an execution for a query not held");
            return;
        }
        double now = loop.nowMs();
        double until = timeoutMs == 0 ? taken.quitAt : Math.min(taken.quitAt, now + timeoutMs);
        boolean clientIsHere = taken.execs.isEmpty() || taken.owed.isClientConnected(); // the first goes out as its query is read
        Execution execution = new Execution(id, taken.execs.size(), taken.command, now, until, this);
        Backend backend = nodes.backend(node);
        taken.out++;
        if (!clientIsHere || taken.answered || backend == null || taken.execs.size() >= taken.mostExecutions) {
            taken.execs.add(new Sent(execution, node, null, () -> { }));
            execution.end(ExecutionResult.of(Outcome.UNSENT));
            return;
        }
        IoLoop.PendingTask deadline = loop.scheduleAt(until, () -> timedOut(execution, backend));
        double windowEnds = windowEnds(taken);
        Sent sent = new Sent(execution, node, backend, deadline);
        if (windowEnds < until) {
            loop.scheduleAt(windowEnds, sent::takeBack);
        }
        taken.execs.add(sent);
        backend.begin(execution);
    }

    /** By when a further execution has to have begun whole, where nodes know a repeat for a time only; it may have to wait to be sent. */
    private static double windowEnds(Taken taken) {
        return taken.rules.semantics() != ServiceGrade.Semantics.DEDUPLICATED ? Double.POSITIVE_INFINITY
                : taken.execs.stream().filter(s -> s.execution.mayHaveRun()).mapToDouble(s -> s.execution.sentAt).min()
                        .orElse(Double.POSITIVE_INFINITY) + taken.rules.dedupWindowMs() - WAY_MS;
    }

    @Override
    public boolean mayBegin(Execution execution) {
        Taken taken = queries.get(execution.query.value());
        double now = loop.nowMs();
        return taken != null && !taken.answered && now < execution.deadlineMs && taken.owed.isClientConnected() && !taken.answered;
    }

    @Override
    public void written(Execution execution) {
        figures.executed();
    }

    private void timedOut(Execution execution, Backend backend) {
        WriteProgress reached = backend.stopWaiting(execution);
        execution.end(ExecutionResult.of(reached == WriteProgress.COMPLETE ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED));
    }

    @Override
    public void cancel(QueryId id, int number) {
        Taken taken = queries.get(id.value());
        if (taken != null && !taken.execs.get(number).execution.hasEnded()) {
            Sent sent = taken.execs.get(number);
            WriteProgress reached = sent.backend.stopWaiting(sent.execution);
            sent.execution.end(ExecutionResult.of(reached == WriteProgress.COMPLETE ? Outcome.CANCELLED : Outcome.UNSENT));
        }
    }

    @Override
    public void ended(Execution execution, ExecutionResult ending) {
        Taken taken = queries.get(execution.query.value());
        taken.execs.get(execution.number).deadline.cancelTask();
        double took = loop.nowMs() - execution.sentAt;
        if (lookout != null) {
            tellOf(taken.execs.get(execution.number).node, execution.sentAt, took, ending.outcome());
        }
        if (ending.outcome() == Outcome.COMPLETED) {
            if (taken.answered) {
                ending.release();
            } else if (ending.transfer() == null) {
                answered(taken, Figures.End.COMPLETED);
                taken.owed.replyValue(ending.value());
            } else { // it is answered from its first bytes on, and ended when the client has the last
                answered(taken);
                Transfer transfer = ending.transfer();
                transfer.connect(taken.owed::transferAdvanced, () -> figures.ended(taken.grade,
                        transfer.isDone() ? Figures.End.COMPLETED : Figures.End.FAILED));
                taken.owed.replyTransfer(transfer);
            }
        } else if (ending.outcome() == Outcome.ERRED && loop.nowMs() > errorLoggedAt + ERRORS_APART_MS) {
            errorLoggedAt = loop.nowMs();
            LOG.log(Level.WARNING, "execution ended ERRED: {0}", ending.cause());
        }
        tell(() -> {
            router.executionEnded(loop.nowMs(), execution.query, execution.number, ending.outcome(), took,
                    taken.answered);
            taken.out--;
            freeIfOver(execution.query, taken);
        });
    }

    private void tellOf(NodeId node, double sentAt, double took, Outcome outcome) {
        switch (outcome) {
            case COMPLETED, MISS, FULL -> lookout.heard(node, loop.nowMs(), took);
            case TIMED_OUT, CANCELLED -> lookout.unanswered(node, sentAt, loop.nowMs(), took);
            case CONNECT_FAILED -> lookout.unanswered(node, sentAt, loop.nowMs(), Double.POSITIVE_INFINITY);
            default -> { } // it tells of its connection, or of this side
        }
    }

    @Override
    public void reject(QueryId id, double retryAfterMs) {
        answer(id, Figures.End.REJECTED, owed -> owed.replyBusy(retryAfterMs));
    }

    @Override
    public void abort(QueryId id) {
        answer(id, Figures.End.FAILED, owed -> owed.replyLine(FAILED));
    }

    private void answer(QueryId id, Figures.End how, Consumer<PendingReply> last) {
        Taken taken = queries.get(id.value());
        if (taken != null && !taken.answered) {
            answered(taken, how);
            last.accept(taken.owed);
            tell(() -> freeIfOver(id, taken));
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
        double inMs = againMs(0);
        if (inMs > 0) {
            callIn(inMs);
        } else {
            watch.startWatching();
        }
    }

    @Override
    public void startTimer(TimerId timer, double delayMs) {
        loop.scheduleAt(loop.nowMs() + delayMs, () -> tell(() -> router.timerFired(loop.nowMs(), timer)));
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }
}
