package dappleseam.router;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Every decision of one proxy. Call one method for each thing that happens, with the clock in milliseconds; it acts
 * through the {@link Host} handed over at the start before it returns. One thread; nothing is shared between routers.
 * What a deployment allows is in {@link Deployment}, what the router can do in {@link Host}; docs/design.md says why.
 */
public final class Router {
    /** Tokens of the largest cache; the spread of ring shares falls with their root, the array grows with them. */
    private static final int TOKENS = 256;
    /** Bits of a ring position that name the cache; allows 4096 caches and leaves 52 bits of hash. */
    private static final int INDEX_BITS = 12;
    /** Owner and fallbacks looked at, in caches: the two successors of the design. */
    private static final int CHOICES = 3;
    /** Load skip: multiple of the own mean in flight per scale; the design's figure. */
    private static final double SKIP_MULTIPLE = 2;
    /** Load skip: queries in flight that are never too many; below, chance decides rather than load. */
    private static final int SKIP_FLOOR = 3;
    /** Share of the SLO time that one execution may take while a successor could still answer. */
    private static final double PATIENCE = 0.5;
    /** Share of the SLO time after which a second copy goes out: past the usual answer, with time for another. */
    private static final double SECOND_COPY = 0.4;
    /** Further executions earned by each query; bounds what failures and second copies add to an overload. */
    private static final double EXTRA_SHARE = 0.2;
    /** Most further executions saved up, in executions; rides out one dead cache's worth of queries. */
    private static final double EXTRA_MOST = 20;
    /** Share of the SLO time below which another execution cannot end well. */
    private static final double TOO_LATE = 0.05;
    /** Failures without a sign of life, in executions, before a cache is set aside; one may be chance. */
    private static final int STRIKES = 2;
    /** Share of answers that are errors, and the fewest of them, before a cache is set aside. */
    private static final double ERROR_SHARE = 0.3;
    private static final int ERRORS_LEAST = 3;
    /** Fixed and random part of the time set aside, in ms: a few round trips of trouble, spread over proxies. */
    private static final double ASIDE_MS = 1500;
    private static final double ASIDE_RANDOM_MS = 1000;
    /** Largest share of the ring's scale set aside; more is a shared trouble, which no set-aside helps. */
    private static final double ASIDE_MOST = 0.4;
    /** Answers in a row, in executions, that end a trial. */
    private static final int TRIAL_GOOD = 3;
    /** In-flight limits, in executions: first size, least size, and the share kept by a cut. */
    private static final double LIMIT_FIRST = 16;
    private static final double LIMIT_LEAST = 1;
    private static final double LIMIT_KEPT = 0.7;
    /** Time between two cuts of a limit, in ms: one bad moment counts once. */
    private static final double CUT_EVERY_MS = 250;
    /** Share of the SLO time after which an answer tells of a queue. */
    private static final double SLOW_ANSWER = 0.6;
    /** Share of slow or missing answers, and the fewest counted, that tell of an overload of the whole fleet. */
    private static final double OVERLOAD_SHARE = 0.2;
    private static final int OVERLOAD_LEAST = 10;
    private static final double OVERLOAD_MS = 750;
    /** Keys remembered as held, in keys: well over what one proxy asks for while a cache keeps them. */
    private static final int HELD_MOST = 1 << 14;
    /** First size of the fleet's limit, in executions a cache: a few queued on each. */
    private static final double FLEET_FIRST = 4;
    private static final double FLEET_LEAST = 0.25;
    /** Share of a limit open to the least important query; the rest opens evenly with importance. */
    private static final double LIMIT_FOR_ALL = 0.6;
    /** Share of a limit open to a query past its SLO time that earns nothing there; served where there is room. */
    private static final double LIMIT_FOR_TARDY = 0.3;
    /** Share of the statement timeout by which a try's time left must stray from the usual to tell of earlier tries. */
    private static final double STRAY = 0.02;
    /** Time to come back after a rejection, as a share of the SLO time, and its random part: a retry in time. */
    private static final double COME_BACK = 0.2;
    /** Cold budget: multiple of the due load let through, under any fall multiple seen, and what is always let in. */
    private static final double COLD_MULTIPLE = 1.5;
    private static final int COLD_LEAST = 2;
    /** Measuring buckets: length in ms and number; four seconds in all, a few queries even where traffic is low. */
    private static final double BUCKET_MS = 250;
    private static final int BUCKETS = 16;
    /** Wait before the list is asked for again, in ms, at random up to this; spreads proxies over the list service. */
    private static final double ASK_AGAIN_MS = 1500;
    /** Time kept for the answer's way to the client, in ms, on top of two ticks. */
    private static final double LAST_HOP_MS = 2;

    private final Deployment site;
    private final RandomGenerator random;
    private final Host host;
    private final double highestImportance;
    private final Map<NodeId, Node> nodes = new LinkedHashMap<>();
    private final Map<QueryId, Query> queries = new HashMap<>();
    private final Map<Key, Query.Fetch> fetches = new HashMap<>();
    private final Map<Integer, Runnable> timers = new HashMap<>();
    private final Tally fleet = new Tally(BUCKETS, BUCKET_MS);
    private final Limit fleetLimit = new Limit();
    private final Tally fetching = new Tally(BUCKETS, BUCKET_MS);
    private final Limit fetchLimit = new Limit();
    private int fetchesOut;
    private final Map<Key, Node> held = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Node> eldest) {
            return size() > HELD_MOST;
        }
    };
    private double now;
    private int lastTimer;
    private List<Node> caches = List.of();
    private long[] ring = {};
    private double ringScale;
    private Node origin;
    private int outAtCaches;
    private int walk;
    private final double[] usualLeft;
    private double extras = EXTRA_MOST;
    private boolean followed;
    private int askTurn;

    public Router(Deployment site, RandomGenerator random, Host host, double nowMs) {
        this.site = site;
        this.random = random;
        this.host = host;
        now = nowMs;
        usualLeft = new double[site.grades().size()];
        highestImportance = site.grades().stream().mapToDouble(ServiceGrade::importance).max().orElse(1);
        if (site.askEveryMs() > 0) {
            askAfter(random.nextDouble() * ASK_AGAIN_MS);
        }
    }

    // ---- the list

    /** The list as it was last held; may be out of date, so it does not count as an answer to a question. */
    public void listRemembered(double nowMs, List<Member> members) {
        now = nowMs;
        replaceList(members);
    }

    public void listGiven(double nowMs, List<Member> members) {
        now = nowMs;
        followed = true;
        replaceList(members);
    }

    public void listChanged(double nowMs, List<Member> members) {
        now = nowMs;
        followed = true;
        members.forEach(this::learn);
        rebuildRing();
    }

    public void listFailed(double nowMs) {
        now = nowMs;
        followed = false;
        askAfter((0.2 + 0.8 * random.nextDouble()) * ASK_AGAIN_MS);
    }

    private void askAfter(double delayMs) {
        int turn = ++askTurn;
        later(delayMs, () -> {
            if (turn == askTurn && !followed) {
                host.followList();
                // Guards against a call that is never answered: a list not asked for in time binds all the same.
                askAfter(site.askEveryMs() * (0.5 + 0.3 * random.nextDouble()));
            }
        });
    }

    private void replaceList(List<Member> members) {
        nodes.values().forEach(n -> n.listed = false);
        members.forEach(this::learn);
        nodes.values().stream().filter(n -> !n.listed).forEach(n -> n.state = Member.State.GONE);
        rebuildRing();
    }

    private void learn(Member m) {
        Node n = nodes.computeIfAbsent(m.node(),
                id -> new Node(id, mix(id.value()), new Tally(BUCKETS, BUCKET_MS)));
        if (m.startedAtMs() != n.startedAt) {
            // A restarted process shares nothing with the one that failed.
            n.strikes = 0;
            n.asideUntil = 0;
            n.trialsLeft = 0;
            n.tally.clear();
        }
        n.listed = true;
        n.state = m.state();
        n.startedAt = m.startedAtMs();
        n.zone = m.zone();
        n.cell = m.cell();
        n.isOrigin = m.model() == site.originModel();
        double scale = site.scaleIsStable() && m.scale() > 0 ? m.scale() : 1;
        if (scale != n.scale) {
            n.scale = scale;
            n.tokens = null;
        }
    }

    /** Builds the ring from the list alone, so that proxies with one list agree and no other key moves. */
    private void rebuildRing() {
        List<Node> ready = new ArrayList<>();
        origin = null;
        for (Node n : nodes.values()) {
            if (n.state == Member.State.READY && n.isOrigin) {
                origin = n;
            } else if (n.state == Member.State.READY) {
                ready.add(n);
            }
        }
        ready.sort((a, b) -> Long.compare(a.id.value(), b.id.value()));
        double largest = ready.stream().mapToDouble(n -> n.scale).max().orElse(1);
        // A power of two as the unit: tokens change only when the largest machine's class does.
        double unit = Math.pow(2, Math.ceil(Math.log(largest) / Math.log(2) - 1e-9));
        int total = 0;
        ringScale = 0;
        for (Node n : ready) {
            int count = (int) Math.max(8, Math.round(TOKENS * n.scale / unit));
            if (n.tokens == null || n.tokens.length != count) {
                n.tokens = new long[count];
                Arrays.setAll(n.tokens, i -> mix(n.seed + i));
            }
            total += n.tokens.length;
            ringScale += n.scale;
        }
        long[] positions = new long[total];
        int at = 0;
        for (int i = 0; i < ready.size(); i++) {
            for (long token : ready.get(i).tokens) {
                positions[at++] = token >> INDEX_BITS << INDEX_BITS | i;
            }
        }
        Arrays.sort(positions);
        ring = positions;
        if (caches.isEmpty()) {
            fleetLimit.size = FLEET_FIRST * ready.size();
        }
        caches = ready;
    }

    // ---- queries

    public void query(double nowMs, QueryId id, int grade, Key key, double leftMs, boolean write) {
        now = nowMs;
        Query q = new Query(id, site.grades().get(grade), key, write);
        q.hash = mix(key.equals(Key.NONE) ? id.value() : key.value());
        q.quitAt = now + leftMs;
        double sloLeft = q.grade.sloMs() - spentBefore(grade, leftMs) - 2 * site.tickMs() - LAST_HOP_MS;
        q.tardy = sloLeft < TOO_LATE * q.grade.sloMs();
        // Past its SLO time an answer that earns nothing is given up, and its node freed.
        q.usefulUntil = q.grade.tardyShare() > 0 || q.grade.repeat() == ServiceGrade.Repeat.NON_IDEMPOTENT || q.tardy
                ? q.quitAt : Math.min(q.quitAt, now + sloLeft);
        queries.put(id, q);
        extras = Math.min(EXTRA_MOST, extras + EXTRA_SHARE);
        route(q);
    }

    /** Guards an overload against late retries: a try with other than the usual time left has spent the rest before. */
    private double spentBefore(int grade, double leftMs) {
        double step = STRAY * site.grades().get(grade).statementTimeoutMs();
        double stray = usualLeft[grade] == 0 ? 0 : leftMs - usualLeft[grade];
        usualLeft[grade] = usualLeft[grade] == 0 ? leftMs : usualLeft[grade] + Math.max(-step, Math.min(step, stray));
        return Math.abs(stray) < 2 * step ? 0 : Math.max(0, site.grades().get(grade).statementTimeoutMs() - leftMs);
    }

    public void clientLeft(double nowMs, QueryId id) {
        now = nowMs;
        Query q = queries.get(id);
        if (q != null && !q.answered) {
            settle(q);
        }
    }

    public void streamStarted(double nowMs, QueryId id, int execution) {
        now = nowMs;
        Query q = queries.get(id);
        if (q != null && execution < q.execs.size()) {
            q.streaming = true;
            q.execs.get(execution).node.heard(now);
        }
    }

    public void woken(double nowMs, TimerId timer) {
        now = nowMs;
        Runnable due = timers.remove(timer.value());
        if (due != null) {
            due.run();
        }
    }

    public void peerTold(double nowMs, int peer, byte[] message) {
        now = nowMs;
    }

    private void route(Query q) {
        boolean aside = site.originModel() >= 0;
        if (aside && (q.write || q.execsLeft(site) == 1)) {
            toOrigin(q);
            return;
        }
        Query.Fetch fetch = aside ? fetches.get(q.key) : null;
        if (fetch != null) {
            join(q, fetch);
            return;
        }
        // Guards against an overload of all caches: more in flight would only make every answer late.
        boolean room = outAtCaches < room(fleetLimit, q);
        Node n = room ? choose(q) : null;
        if (!room || n != null && mayFetch(q, n) && fetchesOut >= room(fetchLimit, q)) {
            giveUp(q);
        } else if (n != null) {
            send(q, n);
        } else if (aside && !q.crowded) {
            toOrigin(q);
        } else {
            giveUp(q);
        }
    }

    /** The first usable cache clockwise, or by the load skip one of its next two; null where none can take it. */
    private Node choose(Query q) {
        Node least = null;
        int seen = 0;
        int met = 0;
        q.crowded = false;
        walk++;
        int at = firstAtOrAbove(q.hash);
        for (int step = 0; step < ring.length && met < caches.size() && seen < CHOICES; step++, at++) {
            Node n = caches.get((int) ring[at < ring.length ? at : at - ring.length] & (1 << INDEX_BITS) - 1);
            if (n.walk == walk) {
                continue;
            }
            n.walk = walk;
            met++;
            if (!usable(n, q)) {
                continue;
            }
            seen++;
            boolean full = n.out >= room(n.limit, q);
            q.crowded |= full;
            if (!full && !overloaded(n)) {
                return n;
            }
            if (!full && (least == null || n.out / n.scale < least.out / least.scale)) {
                least = n;
            }
        }
        return least;
    }

    /** Guards the origin where caches fetch for themselves, and their slots: keys not known to be held are limited. */
    private boolean mayFetch(Query q, Node n) {
        return site.originModel() < 0 && held.get(q.key) != n;
    }

    private int firstAtOrAbove(long hash) {
        int found = Arrays.binarySearch(ring, hash >> INDEX_BITS << INDEX_BITS);
        int at = found < 0 ? -found - 1 : found;
        return at == ring.length ? 0 : at;
    }

    private double room(Limit limit, Query q) {
        double importance = q.grade.importance() / highestImportance * (q.tardy ? q.grade.tardyShare() : 1);
        return limit.size * (importance > 0 ? LIMIT_FOR_ALL + (1 - LIMIT_FOR_ALL) * importance : LIMIT_FOR_TARDY);
    }

    private boolean overloaded(Node n) {
        return n.out >= SKIP_FLOOR && n.out > SKIP_MULTIPLE * outAtCaches / ringScale * n.scale;
    }

    private boolean usable(Node n, Query q) {
        if (n.state != Member.State.READY || q.triedAt(n) || !mayGoTo(q, n)) {
            return false;
        }
        if (n.asideUntil > now || n.asideUntil > 0 && !onTrial(n)) {
            return false;
        }
        double warmth = warmth(n);
        if (warmth >= 1) {
            return true;
        }
        // Guards a cold cache: every proxy sends it the same share of its keys.
        return (mix(q.hash ^ n.seed) >>> 11) * 0x1p-53 < warmth && withinColdBudget(n);
    }

    /** Guards a cold cache against hot keys and overload: bounded by what the others answer, not what they are sent. */
    private boolean withinColdBudget(Node n) {
        double due = (fleet.count(now, site.fallMs(), Tally.GOOD)
                + fetching.count(now, site.fallMs(), Tally.GOOD)) * n.scale / Math.max(n.scale, ringScale);
        return n.tally.count(now, site.fallMs(), Tally.SENT) < COLD_LEAST + COLD_MULTIPLE * warmth(n) * due;
    }

    private double warmth(Node n) {
        double age = now - n.startedAt;
        return n.startedAt <= 0 || age >= site.warmAfterMs() ? 1
                : site.coldFrom() + (1 - site.coldFrom()) * Math.max(0, age) / site.warmAfterMs();
    }

    /** A cache whose time set aside is over takes one query at a time, after a probe where those are allowed. */
    private boolean onTrial(Node n) {
        if (site.mayProbe() && n.trialsLeft == 0) {
            if (!n.probing) {
                n.probing = true;
                host.probe(n.id);
            }
            return false;
        }
        if (n.trialsLeft == 0) {
            n.trialsLeft = TRIAL_GOOD;
        }
        return n.out == 0;
    }

    public void probeEnded(double nowMs, NodeId id, Outcome outcome, double tookMs, float[] report) {
        now = nowMs;
        Node n = nodes.get(id);
        if (n == null || !n.probing) {
            return;
        }
        n.probing = false;
        if (outcome == Outcome.COMPLETED) {
            n.heard(now);
            n.trialsLeft = n.asideUntil > 0 ? TRIAL_GOOD : 0;
        } else if (outcome == Outcome.CONNECT_FAILED || n.asideUntil > 0) {
            setAside(n, "probe " + outcome);
        } else if (!overload(fleet)) {
            strike(n, "probe " + outcome);
        }
    }

    /** Whether a further execution there keeps the grade's promise about repeats. */
    private boolean mayGoTo(Query q, Node n) {
        if (q.grade.repeat() == ServiceGrade.Repeat.IDEMPOTENT || q.firstThatMayHaveRun == null) {
            return true;
        }
        Query.Execution first = q.firstThatMayHaveRun;
        return q.grade.repeat() == ServiceGrade.Repeat.DEDUPLICATED
                && now < first.sentAt + q.grade.windowMs() - 2 * site.tickMs()
                && switch (q.grade.group()) {
                    case ALL -> true;
                    case ZONE -> n.zone == first.node.zone;
                    case CELL -> n.cell == first.node.cell;
                };
    }

    private void send(Query q, Node n) {
        double left = q.usefulUntil - now;
        double timeout = q.usefulUntil < q.quitAt ? left : 0;
        boolean repeatable = q.grade.repeat() == ServiceGrade.Repeat.IDEMPOTENT && q.execsLeft(site) > 1
                && caches.size() > 1 && !n.isOrigin && !q.grade.stream();
        if (repeatable && !site.parallelExecutions()) {
            // Guards against a silent cache: leaves a successor time to answer within the SLO time.
            timeout = Math.min(left, Math.max(PATIENCE * left, TOO_LATE * q.grade.sloMs()));
        }
        Query.Execution e = new Query.Execution(n, now);
        e.mayFetch = mayFetch(q, n);
        fetchesOut += e.mayFetch ? 1 : 0;
        q.execs.add(e);
        q.out++;
        if (q.firstThatMayHaveRun == null) {
            q.firstThatMayHaveRun = e;
        }
        n.out++;
        n.tally.add(now, Tally.SENT);
        if (!n.isOrigin) {
            outAtCaches++;
        }
        host.execute(q.id, n.id, timeout);
        if (repeatable && site.parallelExecutions() && q.execs.size() == 1) {
            later(SECOND_COPY * q.grade.sloMs(), () -> secondCopy(q, e));
        }
    }

    /** Guards against one slow or silent cache: the successor gets a copy while there is time for its answer. */
    private void secondCopy(Query q, Query.Execution first) {
        if (q.answered || first.ended || q.streaming) {
            return;
        }
        if (first.node.heardAt < first.sentAt) {
            suspect(first.node);
        }
        if (q.out != 1 || extras < 1 || q.execsLeft(site) < (site.originModel() >= 0 ? 2 : 1)) {
            return;
        }
        Node n = choose(q);
        if (n != null) {
            extras--;
            send(q, n);
        }
    }

    private void toOrigin(Query q) {
        Query.Fetch fetch = q.write ? null : fetches.get(q.key);
        if (fetch != null) {
            join(q, fetch);
            return;
        }
        // Guards the origin: what is in flight there is limited, and the last of it is kept for importance.
        if (origin == null || q.execsLeft(site) == 0 || !mayGoTo(q, origin) || origin.out >= room(origin.limit, q)) {
            giveUp(q);
            return;
        }
        if (!q.write && !q.key.equals(Key.NONE)) {
            Node storedAt = null;
            for (Query.Execution e : q.execs) {
                storedAt = storedAt == null && e.missed ? e.node : storedAt;
            }
            if (storedAt != null) {
                q.fetch = new Query.Fetch(storedAt);
                fetches.put(q.key, q.fetch);
            }
        }
        send(q, origin);
    }

    /** Guards the origin when many ask for one missing key: one fetch, and the others read what it stored. */
    private void join(Query q, Query.Fetch fetch) {
        if (q.execsLeft(site) == 0 || fetch.storedAt.state != Member.State.READY) {
            giveUp(q);
            return;
        }
        fetch.waiting.add(q);
        q.waitingFor = fetch;
        later(Math.max(0, q.usefulUntil - now - LAST_HOP_MS), () -> {
            if (!q.answered && q.waitingFor == fetch) {
                giveUp(q);
            }
        });
    }

    private void fetched(Query q, boolean stored) {
        Query.Fetch fetch = q.fetch;
        q.fetch = null;
        fetches.remove(q.key, fetch);
        for (Query w : fetch.waiting) {
            if (w.answered || w.waitingFor != fetch) {
                continue;
            }
            w.waitingFor = null;
            if (stored && fetch.storedAt.state == Member.State.READY && fetch.storedAt.asideUntil <= 0
                    && (warmth(fetch.storedAt) >= 1 || withinColdBudget(fetch.storedAt))) {
                send(w, fetch.storedAt);
            } else if (w.execs.isEmpty()) {
                route(w);
            } else {
                toOrigin(w);
            }
        }
    }

    // ---- outcomes

    public void executionEnded(double nowMs, QueryId id, int execution, Outcome outcome, double tookMs,
                               boolean finished, int note, float[] report) {
        now = nowMs;
        Query q = queries.get(id);
        if (q == null || execution >= q.execs.size() || q.execs.get(execution).ended) {
            return;
        }
        Query.Execution e = q.execs.get(execution);
        e.ended = true;
        e.missed = outcome == Outcome.MISS;
        e.neverRan = outcome.neverRan;
        q.out--;
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED) {
            // Guards a node that goes on with work given up on: its place counts as taken for as long again.
            later(tookMs, () -> release(e));
        } else {
            release(e);
        }
        if (outcome == Outcome.COMPLETED && site.originModel() < 0) {
            held.put(q.key, e.node);
        }
        judge(e, outcome, tookMs, q.grade);
        if (finished && !q.answered) {
            settle(q);
        }
        if (e.node == origin && q.fetch != null) {
            fetched(q, outcome == Outcome.COMPLETED);
        }
        if (q.answered) {
            if (q.out == 0) {
                queries.remove(id);
            }
            return;
        }
        q.firstThatMayHaveRun = null;
        for (Query.Execution other : q.execs) {
            if (q.firstThatMayHaveRun == null && !other.neverRan) {
                q.firstThatMayHaveRun = other;
            }
        }
        next(q, outcome);
    }

    private void release(Query.Execution e) {
        e.node.out--;
        outAtCaches -= e.node.isOrigin ? 0 : 1;
        fetchesOut -= e.mayFetch ? 1 : 0;
    }

    private void next(Query q, Outcome outcome) {
        if (outcome == Outcome.MISS) {
            if (!q.atOrigin()) {
                toOrigin(q);
            }
            return;
        }
        if (q.out > 0) {
            return;
        }
        boolean repeatable = q.firstThatMayHaveRun == null || q.grade.repeat() != ServiceGrade.Repeat.NON_IDEMPOTENT;
        boolean timeLeft = q.usefulUntil - now > TOO_LATE * q.grade.sloMs();
        if (!repeatable || !timeLeft || q.execsLeft(site) == 0 || extras < 1 || outcome == Outcome.UNSENT) {
            giveUp(q);
            return;
        }
        extras--;
        route(q);
    }

    /** What an outcome tells of the node. */
    private void judge(Query.Execution e, Outcome outcome, double tookMs, ServiceGrade grade) {
        Node n = e.node;
        boolean slow = tookMs > SLOW_ANSWER * grade.sloMs();
        switch (outcome) {
            case COMPLETED, MISS -> {
                n.heard(now);
                n.tally.add(now, Tally.GOOD);
                if (!n.isOrigin) {
                    pace(e, slow);
                }
                if (n.trialsLeft > 0 && --n.trialsLeft == 0) {
                    n.asideUntil = 0;
                    n.tally.clear();
                }
                if (slow) {
                    n.limit.cut(now);
                } else {
                    n.limit.grow(n.out);
                }
            }
            case ERRED -> {
                n.heard(now);
                n.tally.add(now, Tally.BAD);
                double bad = n.tally.count(now, BUCKET_MS * BUCKETS, Tally.BAD);
                double good = n.tally.count(now, BUCKET_MS * BUCKETS, Tally.GOOD);
                if (n.trialsLeft > 0 || bad >= ERRORS_LEAST && bad > ERROR_SHARE * (bad + good)) {
                    setAside(n, "errors");
                }
            }
            case FULL -> {
                n.heard(now);
                n.limit.cut(now);
            }
            case TIMED_OUT -> {
                n.limit.cut(now);
                if (!n.isOrigin) {
                    pace(e, true);
                }
                if (n.heardAt < e.sentAt) {
                    suspect(n);
                }
            }
            case CONNECT_FAILED, RESET -> {
                n.limit.cut(now);
                strike(n, outcome.toString());
            }
            default -> { }
        }
    }

    private void pace(Query.Execution e, boolean slow) {
        Tally tally = e.mayFetch ? fetching : fleet;
        Limit limit = e.mayFetch ? fetchLimit : fleetLimit;
        tally.add(now, slow ? Tally.BAD : Tally.GOOD);
        if (!slow) {
            limit.grow(e.mayFetch ? fetchesOut : outAtCaches);
        } else if (overload(tally) && now - limit.lastCut >= OVERLOAD_MS) {
            limit.cut(now);
            fleetLimit.size = Math.max(fleetLimit.size, FLEET_LEAST * caches.size());
        }
    }

    private boolean overload(Tally tally) {
        double bad = tally.count(now, OVERLOAD_MS, Tally.BAD);
        double all = bad + tally.count(now, OVERLOAD_MS, Tally.GOOD);
        return all >= OVERLOAD_LEAST && bad > OVERLOAD_SHARE * all;
    }

    /** Guards against a silent machine, told from an overload by the others, and by a probe where those are allowed. */
    private void suspect(Node n) {
        if (site.mayProbe() && n.asideUntil == 0) {
            if (!n.probing) {
                n.probing = true;
                host.probe(n.id);
            }
        } else if (!overload(fleet)) {
            strike(n, "silence");
        }
    }

    private void strike(Node n, String why) {
        if (++n.strikes >= STRIKES || n.trialsLeft > 0) {
            setAside(n, why);
        }
    }

    private void setAside(Node n, String why) {
        if (n.isOrigin) {
            return;
        }
        double aside = n.scale;
        for (Node other : caches) {
            aside += other != n && other.asideUntil > 0 ? other.scale : 0;
        }
        // Guards against a trouble that all share, such as a slow origin: the ring is never emptied.
        if (n.asideUntil == 0 && aside > ASIDE_MOST * ringScale) {
            return;
        }
        if (n.asideUntil <= 0) {
            host.log("aside " + Long.toHexString(n.id.value()) + ": " + why);
        }
        n.trialsLeft = 0;
        n.asideUntil = now + ASIDE_MS + ASIDE_RANDOM_MS * random.nextDouble();
    }

    // ---- final answers

    private void giveUp(Query q) {
        boolean harmless = q.grade.repeat() == ServiceGrade.Repeat.IDEMPOTENT || q.firstThatMayHaveRun == null;
        if (harmless) {
            double comeBack = COME_BACK * (1 + random.nextDouble()) * q.grade.sloMs();
            host.reject(q.id, Math.min(site.maxRetryAfterMs(), comeBack));
        } else {
            host.abort(q.id);
        }
        settle(q);
        if (q.out == 0) {
            queries.remove(q.id);
        }
    }

    /** The query has its answer: nothing more goes out for it, and what is out is called off. */
    private void settle(Query q) {
        q.answered = true;
        q.waitingFor = null;
        for (int i = 0; i < q.execs.size() && site.mayCancel() && !q.streaming; i++) {
            if (!q.execs.get(i).ended) {
                host.cancel(q.id, i);
            }
        }
        if (q.out == 0) {
            queries.remove(q.id);
        }
    }

    private void later(double delayMs, Runnable action) {
        timers.put(++lastTimer, action);
        host.wake(new TimerId(lastTimer), delayMs);
    }

    /** Finalizer of splitmix64: each bit of the input moves half of the output's. */
    static long mix(long x) {
        long z = x + 0x9E3779B97F4A7C15L;
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    /** What may be in flight: grows by one for each full round of good answers, and is cut by a share. */
    static final class Limit {
        private double size = LIMIT_FIRST;
        private double lastCut;

        void grow(int out) {
            size += out >= size / 2 ? 1 / size : 0;
        }

        void cut(double at) {
            if (at - lastCut >= CUT_EVERY_MS) {
                lastCut = at;
                size = Math.max(LIMIT_LEAST, size * LIMIT_KEPT);
            }
        }
    }
}
