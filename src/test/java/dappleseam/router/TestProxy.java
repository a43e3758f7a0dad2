package dappleseam.router;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGeneratorFactory;

/** A router in a small deployment, whose host records the actions of the router. */
final class TestProxy implements Host {
    static final ServiceGrade READ = grade(ServiceGrade.Semantics.IDEMPOTENT, ServiceGrade.DedupScope.ALL);
    static final int ORIGIN_MODEL = 9;
    static final NodeId ORIGIN = new NodeId(99);

    final List<String> calls = new ArrayList<>();
    final List<NodeId> sentTo = new ArrayList<>();
    final List<TimerId> timers = new ArrayList<>();
    final List<Double> delays = new ArrayList<>();
    final Router router;

    TestProxy(RouterSettings settings) {
        router = new Router(settings, RandomGeneratorFactory.of("L64X128MixRandom").create(7), this, 1000);
    }

    static ServiceGrade grade(ServiceGrade.Semantics semantics, ServiceGrade.DedupScope dedupScope) {
        return new ServiceGrade(semantics, dedupScope, 2000, 600, 2000, 1, 0, false);
    }

    /** Two proxies, three executions per query, read-through caches, a pushed list. */
    static RouterSettings readThrough(ServiceGrade grade) {
        return settings(grade, -1, false, 0);
    }

    static RouterSettings cacheAside(ServiceGrade grade) {
        return settings(grade, ORIGIN_MODEL, false, 0);
    }

    static RouterSettings parallel() {
        return settings(READ, -1, true, 0);
    }

    static RouterSettings parallelCacheAside() {
        return settings(READ, ORIGIN_MODEL, true, 0);
    }

    static RouterSettings polledList() {
        return settings(READ, -1, false, 8000);
    }

    /** Weights that change with load, and a proxy in zone 1 of two. */
    static RouterSettings live(double crossZonePenalty) {
        return live(crossZonePenalty, -1);
    }

    static RouterSettings live(double crossZonePenalty, int originModel) {
        return new RouterSettings(List.of(READ), 2, originModel, false, true, 1, crossZonePenalty, 1, 3, false, true, 1000, 0,
                0.2, 10000, 3, 0, 0);
    }

    static Member live(long node, int zone, double weight) {
        return new Member(new NodeId(node), Member.State.READY, 0, 0, zone, weight, 0);
    }

    private static RouterSettings settings(ServiceGrade grade, int originModel, boolean parallel,
                                   double askEveryMs) {
        return new RouterSettings(List.of(grade), 2, originModel, true, false, 0, 0, 1, 3, parallel, true, 1000,
                askEveryMs, 0.2, 10000, 3, 0.05, 0.05);
    }

    static Member ready(long node) {
        return member(node, Member.State.READY, 0);
    }

    /** Odd nodes are in zone and cell 1, even ones in 0. */
    static Member member(long node, Member.State state, double startedAt) {
        int model = node == ORIGIN.value() ? ORIGIN_MODEL : 0;
        return new Member(new NodeId(node), state, model, (int) node % 2, (int) node % 2, 1, startedAt);
    }

    /** Sets a list of caches 1 to {@code count} and the origin. */
    TestProxy withCaches(int count) {
        List<Member> members = new ArrayList<>(List.of(ready(ORIGIN.value())));
        for (int i = 1; i <= count; i++) {
            members.add(ready(i));
        }
        router.listReplaced(1000, members, false);
        return this;
    }

    void ask(double at, int id, long key) {
        router.query(at, new QueryId(id), new QueryRequest(0, new Key(key), 2000, 0, false, false));
    }

    void write(double at, int id, long key) {
        router.query(at, new QueryId(id), new QueryRequest(0, new Key(key), 2000, 0, true, false));
    }

    void ended(double at, int id, int execution, Outcome outcome, double took) {
        router.executionEnded(at, new QueryId(id), execution, outcome, took, outcome == Outcome.COMPLETED);
    }

    NodeId lastNode() {
        return sentTo.get(sentTo.size() - 1);
    }

    @Override
    public void execute(QueryId query, NodeId node, double timeoutMs) {
        calls.add("execute " + query.value());
        sentTo.add(node);
    }

    @Override
    public void cancel(QueryId query, int execution) {
        calls.add("cancel " + query.value() + "/" + execution);
    }

    @Override
    public void reject(QueryId query, double retryAfterMs) {
        calls.add("reject " + query.value());
    }

    @Override
    public void abort(QueryId query) {
        calls.add("abort " + query.value());
    }

    @Override
    public void closeIdle(NodeId node) {
        calls.add("close " + node.value());
    }

    @Override
    public void followList() {
        calls.add("follow");
    }

    @Override
    public void startTimer(TimerId timer, double delayMs) {
        timers.add(timer);
        delays.add(delayMs);
    }

    @Override
    public void log(String text) {}
}
