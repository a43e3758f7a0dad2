package dappleseam.router;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGeneratorFactory;

/** A router with a host that writes down what it is told to do, and a small deployment around it. */
final class OneProxy implements Host {
    static final ServiceGrade READ = grade(ServiceGrade.Semantics.IDEMPOTENT, ServiceGrade.Group.ALL);
    static final int ORIGIN_MODEL = 9;
    static final NodeId ORIGIN = new NodeId(99);

    final List<String> done = new ArrayList<>();
    final List<NodeId> sentTo = new ArrayList<>();
    final List<TimerId> timers = new ArrayList<>();
    final List<Double> delays = new ArrayList<>();
    final Router router;

    OneProxy(RouterSettings site) {
        router = new Router(site, RandomGeneratorFactory.of("L64X128MixRandom").create(7), this, 1000);
    }

    static ServiceGrade grade(ServiceGrade.Semantics repeat, ServiceGrade.Group group) {
        return new ServiceGrade(repeat, group, 2000, 600, 2000, 1, 0, false);
    }

    /** Two proxies, three executions, caches that fetch for themselves, a pushed list. */
    static RouterSettings through(ServiceGrade grade) {
        return site(grade, -1, false, 0);
    }

    static RouterSettings aside(ServiceGrade grade) {
        return site(grade, ORIGIN_MODEL, false, 0);
    }

    static RouterSettings parallel() {
        return site(READ, -1, true, 0);
    }

    static RouterSettings asideInParallel() {
        return site(READ, ORIGIN_MODEL, true, 0);
    }

    static RouterSettings onRequest() {
        return site(READ, -1, false, 8000);
    }

    /** A list whose scales move with load, at location 1 of two. */
    static RouterSettings live(double crossPrice) {
        return live(crossPrice, -1);
    }

    static RouterSettings live(double crossPrice, int originModel) {
        return new RouterSettings(List.of(READ), 2, originModel, false, true, 1, crossPrice, 1, 3, false, true, 1000, 0,
                0.2, 10000, 3, 0, 0);
    }

    static Member live(long node, int zone, double scale) {
        return new Member(new NodeId(node), Member.State.READY, 0, 0, zone, scale, 0);
    }

    private static RouterSettings site(ServiceGrade grade, int originModel, boolean parallel,
                                   double askEvery) {
        return new RouterSettings(List.of(grade), 2, originModel, true, false, 0, 0, 1, 3, parallel, true, 1000,
                askEvery, 0.2, 10000, 3, 0.05, 0.05);
    }

    static Member ready(long node) {
        return member(node, Member.State.READY, 0);
    }

    /** Odd nodes are in zone and cell 1, even ones in 0. */
    static Member member(long node, Member.State state, double startedAt) {
        int model = node == ORIGIN.value() ? ORIGIN_MODEL : 0;
        return new Member(new NodeId(node), state, model, (int) node % 2, (int) node % 2, 1, startedAt);
    }

    /** Lists caches 1 to {@code count}, and the origin. */
    OneProxy listed(int count) {
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

    NodeId last() {
        return sentTo.get(sentTo.size() - 1);
    }

    @Override
    public void execute(QueryId query, NodeId node, double timeoutMs) {
        done.add("execute " + query.value());
        sentTo.add(node);
    }

    @Override
    public void cancel(QueryId query, int execution) {
        done.add("cancel " + query.value() + "/" + execution);
    }

    @Override
    public void reject(QueryId query, double retryAfterMs) {
        done.add("reject " + query.value());
    }

    @Override
    public void abort(QueryId query) {
        done.add("abort " + query.value());
    }

    @Override
    public void closeIdle(NodeId node) {
        done.add("close " + node.value());
    }

    @Override
    public void followList() {
        done.add("follow");
    }

    @Override
    public void startTimer(TimerId timer, double delayMs) {
        timers.add(timer);
        delays.add(delayMs);
    }

    @Override
    public void log(String text) {}
}
