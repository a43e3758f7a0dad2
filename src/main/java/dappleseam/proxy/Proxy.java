package dappleseam.proxy;

import dappleseam.clients.Owed;
import dappleseam.clients.Queries;
import dappleseam.control.Figures;
import dappleseam.list.ListReader;
import dappleseam.list.ListWatch;
import dappleseam.list.NodeList;
import dappleseam.list.StartTimes;
import dappleseam.query.Backend;
import dappleseam.query.Command;
import dappleseam.query.Connections;
import dappleseam.query.Ending;
import dappleseam.query.Execution;
import dappleseam.query.Reached;
import dappleseam.query.Reuse;
import dappleseam.query.Slots;
import dappleseam.query.Transfer;
import dappleseam.router.Asking;
import dappleseam.router.Deployment;
import dappleseam.router.Host;
import dappleseam.router.Key;
import dappleseam.router.Learnt;
import dappleseam.router.Member;
import dappleseam.router.NodeId;
import dappleseam.router.Outcome;
import dappleseam.router.QueryId;
import dappleseam.router.Router;
import dappleseam.router.ServiceGrade;
import dappleseam.router.TimerId;
import dappleseam.site.Post;
import dappleseam.site.Site;
import dappleseam.wire.Loop;
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

/**
 * Connects the router with clients and nodes: holds the open queries, carries out the router's decisions and reports events to it.
 * Runs on the I/O thread, except where a method says otherwise.
 */
final class Proxy implements Host, Queries, Execution.Owner, Lookout.Whole {
    private static final Logger LOG = System.getLogger(Proxy.class.getName());
    /** The reply to an aborted query. */
    private static final String FAILED = "-ERR failed";
    /** Number of recent query ids that are remembered: more than there can be open queries, and a busy proxy's queries of some seconds. */
    private static final int IDS = 8 << 10;
    /** A time in ms in a client's command. */
    private static final Pattern MS = Pattern.compile("\\d{1,7}(\\.\\d{1,6})?");
    /** A time in s in a client's command. */
    private static final Pattern SECONDS = Pattern.compile("\\d{1,4}(\\.\\d{1,9})?");
    private static final double MS_PER_S = 1000;
    /** Margin in ms by which a reply is sent before the client stops waiting for it. */
    private static final double LAST_HOP_MS = 10;
    /** Time in ms after a query's deadline at which it is aborted if the router has not answered it; a safety net for rule 1. */
    private static final double FORGOTTEN_MS = 15;
    /** Allowance in ms for a repeat's way to the node, taken off the nodes' deduplication window. */
    private static final double WAY_MS = 20;
    /** Minimum interval in ms between log lines about failed executions: a failing node must not flood the log. */
    private static final double ERRORS_APART_MS = 1000;
    /** Retry delay in ms sent when the table of open queries is full. */
    private static final double TABLE_FULL_MS = 250;

    private final Loop loop;
    private Site site;
    private final Figures figures;
    private final Router router;
    private ListReader lists;
    private final ListWatch watch;
    private final Nodes nodes;
    private final StartTimes startTimes = new StartTimes();
    private volatile List<Learnt> learnt = List.of();
    private final Slots<Taken> queries = new Slots<>();
    /** Ids of the latest queries, as given by the clients, oldest first; includes all open ones. */
    private final Set<String> ids = new LinkedHashSet<>();
    /** Events for the router, handled one after the other: its reaction to one may cause the next. */
    private final ArrayDeque<Runnable> toTell = new ArrayDeque<>();
    private boolean telling;
    private boolean hasHeardList;
    private boolean hasListFailed;
    /** Null if this proxy exchanges nothing with a fleet. */
    private Lookout lookout;
    /** The proxy count assigned by the fleet (total over this proxy's share); NaN if the settings' count applies. */
    private double sharedBy = Double.NaN;
    private double errorLoggedAt;

    /** An accepted query, until it is answered and its last execution has ended. */
    private static final class Taken {
        final Command command;
        final Owed owed;
        final String grade;
        /** The grade's settings at the time it was accepted. */
        final ServiceGrade rules;
        final int mostExecutions;
        final double quitAt;
        final List<Sent> execs = new ArrayList<>(3);
        Loop.Deadline forgotten;
        boolean answered;
        int out;

        Taken(Command command, Owed owed, String grade, ServiceGrade rules, int mostExecutions, double quitAt) {
            this.command = command;
            this.owed = owed;
            this.grade = grade;
            this.rules = rules;
            this.mostExecutions = mostExecutions;
            this.quitAt = quitAt;
        }
    }

    /** An execution of a query; the backend is null if it was never sent to one. */
    private record Sent(Execution execution, NodeId node, Backend backend, Loop.Deadline deadline) {
        /** Cancels the execution if it has not been written whole, because its query is answered or its time to start has passed (rule 1). */
        void takeBack() {
            if (backend != null && !execution.hasEnded() && backend.takeBack(execution)) {
                execution.end(Ending.of(Outcome.UNSENT));
            }
        }
    }

    Proxy(Loop loop, Post post, Figures figures) throws IOException {
        this.loop = loop;
        this.figures = figures;
        site = post.site();
        figures.grades(site.gradeNames());
        lists = new ListReader(site.machines(), site.zones());
        NodeList known = post.known().isObject() ? lists.read(post.known()) : new NodeList(0, true, List.of());
        SplittableRandom random = new SplittableRandom(post.seed()); // RandomGenerator's factory would look up all algorithms, which is slow
        watch = new ListWatch(loop, post.listService(), lists, known.version(), this::news, this::listFailed,
                this::againMs, random.split());
        router = new Router(site.deployment(), random, this, loop.nowMs());
        nodes = new Nodes(loop, site.deployment().originModel(), connections(site, new Reuse()));
        nodes.learn(known);
        List<Member> members = startTimes.ofFirst(known, loop.nowMs(), System.currentTimeMillis());
        tell(() -> router.listGiven(loop.nowMs(), members, true));
        if (isPushed()) {
            watch.followAlways();
        }
    }

    private static Connections connections(Site site, Reuse reuse) {
        // If executions may not run in parallel, cancelling one has to close its connection. Each execution then
        // gets a connection of its own, as the close would reset the others on a shared one.
        boolean together = site.deployment().parallelExecutions();
        boolean share = together && site.deployment().openPrice() > 0;
        return new Connections(together ? site.commandsAtOnce() : 1, share, site.idleCloseMs(),
                site.connectTimeoutMs(), !together, reuse);
    }

    /** Whether the list is watched all the time; otherwise it is requested only when the router asks for it. */
    private boolean isPushed() {
        return site.deployment().askEveryMs() == 0;
    }

    /** Applies a new configuration: its settings hold for later queries, and the list service may have moved. */
    void reloaded(Post post) {
        Site before = site;
        site = post.site();
        figures.grades(site.gradeNames());
        nodes.limit(site.deployment().originModel(), connections(site, nodes.reuse()));
        Deployment told = Double.isNaN(sharedBy) ? site.deployment() : site.deployment().sharedBy(sharedBy);
        tell(() -> router.settingsChanged(loop.nowMs(), told));
        if (!before.machines().equals(site.machines()) || !before.zones().equals(site.zones())) {
            lists = new ListReader(site.machines(), site.zones());
            watch.readAnew(lists);
        }
        watch.moveTo(post.listService());
        if (isPushed()) {
            watch.followAlways();
        }
    }

    /** Called just before the first client is accepted. */
    void prepare() {
        tell(router::prepare);
    }

    /** Whether the list service has answered since the start. */
    boolean hasHeardList() {
        return hasHeardList;
    }

    /** Whether a request to the list service has failed since the start. */
    boolean hasListFailed() {
        return hasListFailed;
    }

    /** The nodes' health as last published; thread-safe. */
    List<Learnt> learnt() {
        return learnt;
    }

    /** Restores node health saved by another process or received from the fleet. */
    void recall(List<Learnt> known) {
        List<Learnt> ofProcesses = known.stream().map(one -> one.startedAt(startTimes.startedAtMs(one.node(), one.startedAtMs()))).toList();
        tell(() -> router.recall(loop.nowMs(), ofProcesses));
    }

    /** Publishes what takes a pass over all nodes: node health, the list and the gauges. */
    void publish() {
        learnt = router.learnt().stream().map(one -> one.startedAt(startTimes.bootMs(one.node()))).toList();
        if (lookout != null) {
            lookout.look(loop.nowMs(), learnt, nodes.readyCaches());
        }
        nodes.publish();
        figures.list(nodes.count(), router.avoided(loop.nowMs()));
    }

    /** Sets the observer that is notified from now on. */
    void tellOfCaches(Lookout to) {
        lookout = to;
    }

    @Override
    public double proxies() {
        return site.deployment().proxies();
    }

    @Override
    public void stands(double proxies, double place) {
        sharedBy = proxies;
        tell(() -> router.toldOfFleet(proxies, place));
    }

    @Override
    public void callIn(double ms) {
        loop.at(loop.nowMs() + ms, watch::follow);
    }

    private double againMs(double ownMs) {
        return lookout == null ? ownMs : lookout.listAgainMs(loop.nowMs(), ownMs);
    }

    /** Aborts all open queries: the process is about to end. */
    void abortAll() {
        for (Taken taken : queries.all()) {
            if (!taken.answered) {
                answered(taken, Figures.End.FAILED);
                taken.owed.line(FAILED);
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
                } catch (RuntimeException e) { // the affected query is aborted at its deadline; the others go on
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
        if (isFirst) { // evaluated together with the list from the configuration file
            List<Member> all = startTimes.ofFirst(nodes.wholeList(), now, System.currentTimeMillis());
            tell(() -> router.listGiven(loop.nowMs(), all, false));
            return;
        }
        List<Member> members = startTimes.of(list, now);
        if (list.whole()) {
            tell(() -> router.listGiven(loop.nowMs(), members, false));
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

    /** The full list as last published; thread-safe. */
    NodeList lastList() {
        return nodes.lastList();
    }

    @Override
    public QueryId take(Command command, Owed owed, double waitedMs) {
        String named = command.fact("c");
        int grade = site.gradeNames().indexOf(named);
        double waits = waits(command, grade);
        if (grade < 0 || waits <= 0) {
            command.release();
            figures.turnedAway(named, Figures.End.FAILED);
            owed.line("-ERR malformed list of names and values");
            return null;
        }
        if (queries.isFull(site.mostHeld())) {
            reject(command, owed);
            return null;
        }
        if (!ids.add(command.id())) { // nodes identify a query by its id, which another open or recent query uses
            command.release();
            figures.turnedAway(named, Figures.End.FAILED);
            owed.line("-ERR this id is in use");
            return null;
        }
        if (ids.size() > IDS) {
            ids.remove(ids.iterator().next());
        }
        double left = Math.max(1, waits - waitedMs - LAST_HOP_MS);
        Taken taken = new Taken(command, owed, named, site.deployment().grades().get(grade), site.deployment().mostExecutions(),
                loop.nowMs() + left);
        figures.taken();
        if (lookout != null) {
            lookout.taken();
        }
        QueryId id = new QueryId(queries.put(taken));
        taken.forgotten = loop.at(taken.quitAt + FORGOTTEN_MS, () -> forgotten(id));
        tell(() -> router.query(loop.nowMs(), id, new Asking(grade, key(command.key()), taken.quitAt - loop.nowMs(),
                workMs(command), command.isWrite(), command.fact("r").equals("1"))));
        return id;
    }

    @Override
    public void reject(Command command, Owed owed) {
        command.release();
        figures.turnedAway(command.fact("c"), Figures.End.REJECTED);
        owed.busy(site.deployment().maxRetryAfterMs() > 0 ? TABLE_FULL_MS : 0);
    }

    /** The command's {@code d} in ms, limited to the statement timeout; -1 if it is missing or not a plain number. */
    private double waits(Command command, int grade) {
        String text = command.fact("d");
        return grade < 0 || !MS.matcher(text).matches() ? -1
                : Math.min(Double.parseDouble(text), site.deployment().grades().get(grade).timeoutMs());
    }

    /** The client's cost estimate, given in s, in ms; 0 if it is missing or invalid. */
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
            taken.owed.line(FAILED);
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

    /** Rule 1: executions that still wait for a connection, such as a second copy, are not sent after the answer. */
    private static void answered(Taken taken) {
        taken.answered = true;
        taken.forgotten.callOff();
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
            LOG.log(Level.ERROR, "an execution for an unknown query");
            return;
        }
        double now = loop.nowMs();
        double until = timeoutMs == 0 ? taken.quitAt : Math.min(taken.quitAt, now + timeoutMs);
        boolean clientIsHere = taken.execs.isEmpty() || taken.owed.isClientHere(); // the first one starts while its query is being read
        Execution execution = new Execution(id, taken.execs.size(), taken.command, now, until, this);
        Backend backend = nodes.backend(node);
        taken.out++;
        if (!clientIsHere || taken.answered || backend == null || taken.execs.size() >= taken.mostExecutions) {
            taken.execs.add(new Sent(execution, node, null, () -> { }));
            execution.end(Ending.of(Outcome.UNSENT));
            return;
        }
        Loop.Deadline deadline = loop.at(until, () -> timedOut(execution, backend));
        double windowEnds = windowEnds(taken);
        Sent sent = new Sent(execution, node, backend, deadline);
        if (windowEnds < until) {
            loop.at(windowEnds, sent::takeBack);
        }
        taken.execs.add(sent);
        backend.begin(execution);
    }

    /**
     * The time by which a repeat has to be written whole: nodes deduplicate only for a limited time after the first execution, and
     * a repeat may have to wait for a connection. Infinite for grades without deduplication.
     */
    private static double windowEnds(Taken taken) {
        return taken.rules.repeat() != ServiceGrade.Repeat.DEDUPLICATED ? Double.POSITIVE_INFINITY
                : taken.execs.stream().filter(s -> s.execution.mayHaveRun()).mapToDouble(s -> s.execution.sentAt).min()
                        .orElse(Double.POSITIVE_INFINITY) + taken.rules.windowMs() - WAY_MS;
    }

    @Override
    public boolean mayBegin(Execution execution) {
        Taken taken = queries.get(execution.query.value());
        double now = loop.nowMs();
        return taken != null && !taken.answered && now < execution.waitUntil && taken.owed.isClientHere() && !taken.answered;
    }

    @Override
    public void written(Execution execution) {
        figures.executed();
    }

    private void timedOut(Execution execution, Backend backend) {
        Reached reached = backend.giveUp(execution);
        execution.end(Ending.of(reached == Reached.WHOLE ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED));
    }

    @Override
    public void cancel(QueryId id, int number) {
        Taken taken = queries.get(id.value());
        if (taken != null && !taken.execs.get(number).execution.hasEnded()) {
            Sent sent = taken.execs.get(number);
            Reached reached = sent.backend.giveUp(sent.execution);
            sent.execution.end(Ending.of(reached == Reached.WHOLE ? Outcome.CANCELLED : Outcome.UNSENT));
        }
    }

    @Override
    public void ended(Execution execution, Ending ending) {
        Taken taken = queries.get(execution.query.value());
        taken.execs.get(execution.number).deadline.callOff();
        double took = loop.nowMs() - execution.sentAt;
        if (lookout != null) {
            tellOf(taken.execs.get(execution.number).node, execution.sentAt, took, ending.outcome());
        }
        if (ending.outcome() == Outcome.COMPLETED) {
            if (taken.answered) {
                ending.release();
            } else if (ending.transfer() == null) {
                answered(taken, Figures.End.COMPLETED);
                taken.owed.value(ending.value());
            } else { // the reply starts with the first bytes; the query ends once the client has the last
                answered(taken);
                Transfer transfer = ending.transfer();
                transfer.into(taken.owed::more, () -> figures.ended(taken.grade,
                        transfer.isDone() ? Figures.End.COMPLETED : Figures.End.FAILED));
                taken.owed.begun(transfer);
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
            default -> { } // says something about the connection or this proxy, not about the node
        }
    }

    @Override
    public void reject(QueryId id, double retryAfterMs) {
        answer(id, Figures.End.REJECTED, owed -> owed.busy(retryAfterMs));
    }

    @Override
    public void abort(QueryId id) {
        answer(id, Figures.End.FAILED, owed -> owed.line(FAILED));
    }

    private void answer(QueryId id, Figures.End how, Consumer<Owed> last) {
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
            watch.follow();
        }
    }

    @Override
    public void wake(TimerId timer, double delayMs) {
        loop.at(loop.nowMs() + delayMs, () -> tell(() -> router.woken(loop.nowMs(), timer)));
    }

    @Override
    public void log(String text) {
        LOG.log(Level.INFO, text);
    }
}
