package dappleseam.router;

import dappleseam.router.Query.Execution;
import dappleseam.router.RecentKeys.Asked;
import dappleseam.router.ServiceGrade.Semantics;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Every decision of one proxy. Call one method for each thing that happens, with the clock in ms; it acts
 * through the {@link Host} before it returns. One thread; nothing is shared between routers. What a
 * deployment allows is in {@link RouterSettings}; docs/design.md says why it decides as it does.
 */
public final class Router {
    /** Owner and fallbacks looked at, in caches: the two successors of the design. */
    private static final int CHOICES = 3;
    /** Load skip: multiple of the own mean in flight per scale; the design's figure. */
    private static final double SKIP_MULTIPLE = 2;
    /** Load skip: queries in flight that are never too many; below, chance decides rather than load. */
    private static final int SKIP_FLOOR = 2;
    /** Queries held for each core, as listed, that are never too many: what waits then is soon done. */
    private static final double HELD_FLOOR = 1.5;
    /** Share of the way that the shed share of a cache's keys goes up, or down, with each news of it. */
    private static final double SHED_UP = 0.3;
    private static final double SHED_DOWN = 0.15;
    /** Points for crossing with each query from which each location keeps copies of its own. */
    private static final double CROSS_WORTH = 0.05;
    /** By how much the share of keys copied so falls with each slow read at the origin, or grows. */
    private static final double COPIED_DOWN = 0.1;
    private static final double COPIED_UP = 0.01;
    /** Share of the SLO time that one execution may take while a successor could still answer. */
    private static final double PATIENCE = 0.5;
    /** Share of the SLO time after which a second copy goes out: past the usual answer, time for another. */
    private static final double SECOND_COPY = 0.6;
    /** Further executions earned by each query, most saved: what failures may add to an overload. */
    private static final double EXTRA_SHARE = 0.2;
    private static final double EXTRA_MOST = 20;
    /** Share of the SLO time below which another execution cannot end well. */
    private static final double TOO_LATE = 0.05;
    /** Failures without a sign of life, in executions, before a cache is set aside; one may be chance. */
    private static final int STRIKES = 2;
    /** Share of answers that are errors, and the fewest of them, before a cache is set aside. */
    private static final double ERROR_SHARE = 0.3;
    private static final int ERRORS_LEAST = 3;
    /** Fixed and random part of the time set aside, in ms: some time-outs of trouble, spread over proxies. */
    private static final double ASIDE_MS = 1500;
    private static final double ASIDE_RANDOM_MS = 1000;
    /** Largest share of the ring's scale set aside; more is a shared trouble, which no set-aside helps. */
    private static final double ASIDE_MOST = 0.4;
    /** Answers in a row, in executions, that end a trial. */
    private static final int TRIAL_GOOD = 3;
    /** In-flight limits, in executions: first size over all proxies, least, and the share a cut keeps. */
    private static final double LIMIT_FIRST = 64;
    private static final double LIMIT_FIRST_LEAST = 4;
    private static final double LIMIT_LEAST = 0.5;
    private static final double SCARCE_LEAST = 0.05;
    /** Share by which a limit under one grows for each good answer: a fifth of late ones holds it. */
    private static final double GROWTH = 0.2;
    /** Share kept of idle connections worth their price; what a failed connect leaves, an answer adds. */
    private static final double HOLD_FIRST = 0.5;
    private static final double HOLD_KEPT = 0.5;
    private static final double HOLD_GROWTH = 0.02;
    /** Points that an open connection costs all others while every connect fails, where none has a price. */
    private static final double FULL_PRICE = 0.08;
    private static final double LIMIT_KEPT = 0.7;
    /** Share of the SLO time after which a cache's, and the scarcer origin's, answer tells of a queue. */
    private static final double SLOW_ANSWER = 0.4;
    private static final double SLOW_ORIGIN = 1;
    /** Share of slow or missing answers, and the fewest counted, over a time in ms, that tell of overload. */
    private static final double OVERLOAD_SHARE = 0.2;
    private static final double OVERLOAD_CACHES = 0.4;
    /** Share of the SLO time up to which the latest answers are quick, and share that may be late then. */
    private static final double QUICK = 0.2;
    private static final double LOST_SHARE = 0.5;
    private static final int OVERLOAD_LEAST = 10;
    private static final int OVERLOAD_THIN = 4;
    private static final double OVERLOAD_MS = 750;
    /** Time for which a miss tells that a key is missing, in ms: a few tries of one client. */
    private static final double MISSING_MS = 1000;
    /** Keys remembered, in keys: well over what one proxy asks for while a cache keeps them. */
    private static final int KEYS_MOST = 1 << 14;
    /** Multiple of its share of the ring's scale that a key is spread over: room for the other keys there. */
    private static final double SPREAD = 1.5;
    /** A late or full cache is passed over for so many of the proxy's queries, within bounds in ms. */
    private static final double BUSY_QUERIES = 20;
    private static final double BUSY_LEAST_MS = 2500;
    private static final double BUSY_MOST_MS = 8000;
    /** Caches that one hot key is spread over at most; each more is a copy to fetch and to keep. */
    private static final int SPREAD_MOST = 8;
    /** Fleet's limit, in executions a cache: first and least over all proxies, share for fetches. */
    private static final double FLEET_FIRST = 12;
    private static final double FLEET_LEAST = 3;
    private static final double FETCH_FIRST = 0.5;
    /** Share of a limit open to the least important query; the rest opens evenly with importance. */
    private static final double LIMIT_FOR_ALL = 0.6;
    /** Least time to come back after a rejection, as a share of the SLO time; doubled at random. */
    private static final double COME_BACK = 0.2;
    /** Cold budget, multiples: of its due for one key; sent of what is answered; borne to get all its due. */
    private static final double COLD_KEY = 2;
    private static final double COLD_MULTIPLE = 1.2;
    private static final double COLD_BEARS = 3;
    /** Measuring buckets: length in ms and number; four seconds hold a few queries even of a quiet proxy. */
    private static final double BUCKET_MS = 250;
    private static final int BUCKETS = 16;
    /** Back-off for the list in ms, first, most and its growth: the first fits behind a silent watch and a given-up call, two calls with the
     * longest fit into the 6 s after which news is told. */
    private static final double ASK_AGAIN_MS = 400;
    private static final double ASK_MOST_MS = 2000;
    private static final double ASK_GROWTH = 2.5;
    /** Time in ms over which the first calls of many proxies are spread. */
    private static final double ASK_SPREAD_MS = 1500;
    /** Latest queries over which a key's or a cache's own share is taken: a thin proxy's ten to twenty s. */
    private static final double MEMORY = 64;
    /** Difference between two times left, in ms, that may come from the ways alone. */
    private static final double SAME_MS = 10;
    /** Time kept for the answer's way to the client, in ms, on top of two ticks. */
    private static final double LAST_HOP_MS = 2;

    private static final Comparator<Node> BY_ID = Comparator.comparingLong(n -> n.id.value());

    private RouterSettings site;
    private final RandomGenerator random;
    private final Host host;
    private double highestImportance;
    private final Map<NodeId, Node> nodes = new LinkedHashMap<>();
    private final Map<QueryId, Query> queries = new LinkedHashMap<>();
    private final Timers timers;
    private final Tally fleet = new Tally(BUCKETS, BUCKET_MS);
    private final Limit fleetLimit = new Limit(LIMIT_FIRST, LIMIT_LEAST);
    private final Tally fetching = new Tally(BUCKETS, BUCKET_MS);
    private final Limit fetchLimit = new Limit(LIMIT_FIRST, SCARCE_LEAST);
    private int fetchesOut;
    private final RecentKeys asked = new RecentKeys(KEYS_MOST);
    private double now;
    /** In use, by id: their figures add up to the same at every proxy. */
    private final List<Node> caches = new ArrayList<>();
    private final Ring ring = new Ring();
    /** Of the list, since the ring was last brought up to date: many changes may come between two queries. */
    private final Set<Node> changed = new LinkedHashSet<>();
    private double ringScale;
    /** Share of the keys that each location keeps for itself: what the origin bears, as misses double. */
    private double copied = 1;
    private double scaleNear; // of the own location's caches
    private Node origin;
    private int outAtCaches;
    private double heldUsually;
    private double[] longestTry = {}; // that a client has waited for, by grade, in ms
    private int walk;
    private double extras = EXTRA_MOST;
    private boolean followed;
    private int askTurn;
    private double askWait = ASK_AGAIN_MS;
    private long turn; // queries taken so far
    private final double bornAt;
    private double usualTook = 100; // of a timely answer from a cache, in ms
    /** Share of the idle connections worth their price that the caches have room for, as failed ones tell. */
    private double hold = 1;
    /** Where this proxy stands among all, from 0 to 1; spreads hot keys. */
    private double place;

    public Router(RouterSettings site, RandomGenerator random, Host host, double nowMs) {
        this.site = site;
        this.random = random;
        this.host = host;
        timers = new Timers(host);
        now = nowMs;
        bornAt = nowMs;
        place = random.nextDouble();
        settingsChanged(nowMs, site);
    }

    /** Queries that are open keep the grade and the rules they were taken under. */
    public void settingsChanged(double nowMs, RouterSettings newSite) {
        now = nowMs;
        site = newSite;
        longestTry = new double[site.grades().size()];
        highestImportance = site.grades().stream().mapToDouble(ServiceGrade::importance).max().orElse(1);
        if (site.askEveryMs() > 0 && !followed) {
            askAfter(random.nextDouble() * ASK_SPREAD_MS);
        }
    }

    /** The whole over this proxy's share, under which limits were learnt, and its place, NaN for the same. */
    public void fleetShareChanged(double proxies, double newPlace) {
        place = Double.isNaN(newPlace) ? place : newPlace;
        double by = site.proxyCount() / proxies;
        site = site.withProxyCount(proxies);
        nodes.values().forEach(n -> n.limit.size *= by);
        List.of(fleetLimit, fetchLimit).forEach(limit -> limit.size *= by);
        fleetLimit.least = Math.max(1, FLEET_LEAST / proxies * caches.size());
    }

    public void listReplaced(double nowMs, List<Member> members, boolean remembered) {
        boolean before = followed;
        nodes.values().forEach(n -> n.state = Member.State.GONE);
        changed.addAll(nodes.values());
        listChanged(nowMs, members);
        nodes.values().removeIf(n -> n.state == Member.State.GONE);
        followed = before || !remembered;
    }

    public void listChanged(double nowMs, List<Member> members) {
        now = nowMs;
        followed = true;
        askWait = ASK_AGAIN_MS;
        members.forEach(this::learn);
        if (site.scaleMoves()) {
            heldUsually = caches.stream().mapToDouble(n -> n.held).sorted().skip(caches.size() / 2).findFirst().orElse(0);
        }
    }

    public void listFailed(double nowMs) {
        now = nowMs;
        followed = false;
        // Guards the list service, which does not grow with the fleet: each failure lengthens the wait.
        askAfter((0.2 + 0.8 * random.nextDouble()) * askWait);
        askWait = Math.min(ASK_GROWTH * askWait, Math.min(ASK_MOST_MS, site.askEveryMs() / 2));
    }

    private void askAfter(double delayMs) {
        int turn = ++askTurn;
        timers.after(delayMs, () -> {
            if (turn == askTurn && !followed) {
                host.followList();
                askAfter(site.askEveryMs() * (0.56 + 0.24 * random.nextDouble())); // if unanswered
            }
        });
    }

    private void learn(Member m) {
        boolean isOrigin = m.model() == site.originModel();
        double first = Math.max(LIMIT_FIRST_LEAST, LIMIT_FIRST / site.proxyCount());
        Node n = nodes.computeIfAbsent(m.node(), id -> new Node(id, isOrigin, new Tally(BUCKETS, BUCKET_MS),
                new Limit(first, isOrigin ? SCARCE_LEAST : LIMIT_LEAST), new Share(MEMORY)));
        if (n.learn(m, site.scaleIsStable() && m.weight() > 0 ? m.weight() : 1, site.scaleMoves())) {
            changed.add(n);
        }
        if (n.state == Member.State.GONE) {
            nodes.remove(n.id); // guards long days: ids are ever new
        }
        shed(n);
    }

    /** For the next query: by the list alone, so that proxies with one list agree and no other key moves. */
    private void updateRing() {
        boolean isFirst = caches.isEmpty();
        List<Node> leaving = changed.stream().filter(n -> !n.isReady()).toList();
        ring.remove(leaving);
        caches.removeIf(n -> !n.isReady());
        List<Node> inUse = changed.stream().filter(n -> n.isReady() && !n.isOrigin).toList();
        inUse.stream().filter(n -> n.ringSlot < 0).forEach(caches::add);
        caches.sort(BY_ID);
        ring.fit(caches.stream().mapToDouble(n -> n.scale).max().orElse(1));
        inUse.forEach(ring::put);
        ring.settle();
        changed.clear();
        origin = nodes.values().stream().filter(n -> n.isOrigin && n.isReady()).findFirst().orElse(null);
        ringScale = caches.stream().mapToDouble(n -> n.scale).sum();
        scaleNear = caches.stream().filter(n -> n.zone == site.zone()).mapToDouble(n -> n.scale).sum();
        if (isFirst) {
            fleetLimit.size = Math.max(LIMIT_FIRST_LEAST, FLEET_FIRST / site.proxyCount() * caches.size());
            fetchLimit.size = FETCH_FIRST * fleetLimit.size;
        }
        fleetLimit.least = Math.max(1, FLEET_LEAST / site.proxyCount() * caches.size());
    }

    /** Does ahead what the first query would wait for: the ring of a large fleet takes a tenth of a second. */
    public void prepare() {
        if (!changed.isEmpty()) {
            updateRing();
        }
    }

    public void query(double nowMs, QueryId id, QueryRequest asking) {
        now = nowMs;
        prepare();
        Query q = new Query(id, site, site.grades().get(asking.grade()), asking);
        Key key = asking.key();
        q.hash = Hash.mix(key.equals(Key.NONE) ? id.value() : key.value());
        q.quitAt = now + asking.leftMs();
        double slowMs = SLOW_ANSWER * q.grade.sloMs() + asking.workMs();
        q.impatient = Math.min(asking.leftMs(), q.grade.sloMs()) < slowMs;
        // Past its SLO time an answer that earns nothing is given up, and its node freed.
        boolean toTheEnd = q.grade.tardyShare() > 0 || q.grade.semantics() == Semantics.NON_IDEMPOTENT;
        double before = askedBefore(q.grade, asking);
        double sloLeft = q.grade.sloMs() - 2 * site.tickMs() - LAST_HOP_MS - before;
        q.usefulUntil = toTheEnd ? q.quitAt : Math.min(q.quitAt, now + sloLeft);
        queries.put(id, q);
        extras = Math.min(EXTRA_MOST, extras + EXTRA_SHARE);
        turn++;
        q.asked = asked.computeIfAbsent(key, k -> new Asked(new Share(MEMORY)));
        // Guards a hot key's owner: the key is spread over the scale it would fill, each proxy at its place.
        q.keyShare = key.equals(Key.NONE) ? 0 : q.asked.share.at(turn);
        q.nearFirst = site.crossPrice() >= CROSS_WORTH && Hash.fraction(Hash.mix(~q.hash)) < copied;
        q.passOver = SPREAD * q.keyShare * (q.nearFirst ? scaleNear : ringScale) * place;
        q.asked.share.add(turn);
        if (!caches.isEmpty()) {
            closeUnlessUsed(caches.get((int) (turn % caches.size())));
        }
        // Guards caches against work whose answer nobody waits for any more.
        if (before > 0 && q.usefulUntil - now < TOO_LATE * q.grade.sloMs()) {
            giveUp(q);
        } else {
            route(q);
        }
    }

    /** For how many ms a client that asks once more has asked at least: its last try ends with its time. */
    private double askedBefore(ServiceGrade grade, QueryRequest asking) {
        longestTry[asking.grade()] = Math.max(longestTry[asking.grade()], asking.leftMs());
        boolean isLast = asking.again() && asking.leftMs() < longestTry[asking.grade()] - SAME_MS;
        return isLast ? Math.max(0, grade.timeoutMs() - asking.leftMs()) : 0;
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

    public void timerFired(double nowMs, TimerId timer) {
        now = nowMs;
        timers.fire(timer);
    }

    private void route(Query q) {
        boolean aside = site.originModel() >= 0;
        if (aside && (q.asking.write() || q.execsLeft() == 1 || q.firstMissedAt() != null)) {
            toOrigin(q);
            return;
        }
        // Guards caches against retries for what they lack while the origin has no room for it.
        if (aside && q.asked.missedAt > now - MISSING_MS && !originFits(q)) {
            giveUp(q);
            return;
        }
        // Guards against an overload of all caches: more in flight would only make every answer late.
        boolean room = fits(outAtCaches, fleetLimit, q);
        Node n = room ? choose(q) : null;
        if (n != null && !(mayFetch(q, n) && !fits(fetchesOut, fetchLimit, q))) {
            send(q, n);
        } else if (aside && room && !q.crowded) {
            toOrigin(q);
        } else {
            giveUp(q);
        }
    }

    /** The first usable cache clockwise, or by the load skip one of its next two; null if none has room. */
    private Node choose(Query q) {
        Node least = null;
        int seen = 0;
        int passed = 0;
        double toPass = q.passOver;
        q.crowded = false;
        walk++;
        ring.seek(q.hash);
        boolean nearFirst = q.nearFirst;
        int step = nearFirst ? 0 : ring.size();
        for (; step < 2 * ring.size() && (nearFirst || seen < CHOICES); step++) {
            if (step == ring.size()) {
                seen = 0;
                nearFirst = false;
                ring.seek(q.hash);
            }
            Node n = ring.next();
            if (n.walk == walk || nearFirst && n.zone != site.zone()) {
                continue;
            }
            n.walk = walk;
            if (!usable(n, q)) {
                continue;
            }
            toPass -= n.scale;
            if (toPass >= 0 && ++passed < Math.min(SPREAD_MOST, caches.size() - 1)) {
                continue;
            }
            seen++;
            boolean full = !fits(n.out, n.limit, q);
            q.crowded |= full;
            if (!full && !(site.scaleMoves() ? sheds(n, q) : isBusy(n))) {
                return n;
            }
            if (!full && (least == null || n.out / n.scale < least.out / least.scale)) {
                least = n;
            }
            if (nearFirst && seen == CHOICES) { // the own location has no room: on to the other
                step = ring.size() - 1;
            }
        }
        return least;
    }

    private boolean isBusy(Node n) {
        return n.out > Math.max(SKIP_FLOOR, SKIP_MULTIPLE * (outAtCaches / ringScale) * n.scale)
                || n.busyUntil > now && !overloaded();
    }

    /** Guards a cache that the list tells to be full: a share of each proxy's keys goes on to successors,
     * quickly more and slowly less, since news is late and the same for all: else they come and go as one. */
    private void shed(Node n) {
        double over = n.held / Math.max(HELD_FLOOR, SKIP_MULTIPLE * heldUsually) - 1;
        double due = over > 0 ? 1 - (1 - n.shed) / (over + 1) : 0; // of what it got, with what it got
        n.shed += (due > n.shed ? SHED_UP : SHED_DOWN) * (due - n.shed);
    }

    /** Each proxy sheds keys of its own, so that a hot one is split. */
    private boolean sheds(Node n, Query q) {
        return (Hash.fraction(Hash.mix(q.hash) ^ n.seed) + place) % 1 < n.shed;
    }

    /** Guards the origin and the caches' slots where caches fetch: keys not known to be held are limited. */
    private boolean mayFetch(Query q, Node n) {
        return site.originModel() < 0 && q.asked.heldBy != n;
    }

    /** Many thin proxies share what is scarce: under one in flight the limit is a chance. */
    private boolean fits(int out, Limit limit, Query q) {
        double importance = q.grade.importance() / highestImportance;
        double room = limit.size * (LIMIT_FOR_ALL + (1 - LIMIT_FOR_ALL) * importance);
        return out < room && (limit.size >= 1 || random.nextDouble() < room);
    }

    /** Grows by one for each full round of good answers, under one by a share. */
    private void grow(Limit limit, int out) {
        limit.size += out + 1 >= limit.size / 2 ? Math.min(1 / limit.size, limit.size * GROWTH) : 0;
    }

    /** Cuts for an execution sent since the last cut: what was out already tells nothing of the new size. */
    private void cut(Limit limit, double sentAt) {
        if (sentAt >= limit.lastCut) {
            limit.lastCut = now;
            limit.size = Math.max(limit.least, limit.size * LIMIT_KEPT);
        }
    }

    private boolean usable(Node n, Query q) {
        if (!n.isReady() || q.triedAt(n) || !mayGoTo(q, n)
                || n.asideUntil > now || n.asideUntil > 0 && n.out > 0) {
            return false;
        }
        // Guards a cold cache: every proxy sends it the same share of its keys.
        return warmth(n) >= 1 || Hash.fraction(q.hash ^ n.seed) < warmth(n) && withinColdBudget(n, q);
    }

    /** Guards a cold cache: no key over its due, and less by chance while more is sent than answered. */
    private boolean withinColdBudget(Node n, Query q) {
        double answered = fleet.count(now, BUCKET_MS * BUCKETS, Tally.GOOD)
                + fetching.count(now, BUCKET_MS * BUCKETS, Tally.GOOD);
        double sent = fleet.count(now, BUCKET_MS * BUCKETS, Tally.SENT);
        return q.keyShare * ringScale < COLD_KEY * warmth(n) * n.scale
                && random.nextDouble() * sent <= COLD_MULTIPLE * answered + 1;
    }

    private double warmth(Node n) {
        double age = now - n.startedAt;
        return n.startedAt <= 0 || age >= site.warmAfterMs() ? 1
                : Math.min(1, site.fallMultiple() / COLD_BEARS) * (site.coldFrom()
                        + (1 - site.coldFrom()) * Math.max(0, age) / site.warmAfterMs());
    }

    /** Whether a further execution there keeps the grade's promise about repeats. */
    private boolean mayGoTo(Query q, Node n) {
        Execution first = q.firstThatMayHaveRun();
        return first == null || q.grade.semantics() == Semantics.IDEMPOTENT
                || q.grade.semantics() == Semantics.DEDUPLICATED
                && now < first.sentAt + q.grade.dedupWindowMs() - 2 * q.site.tickMs() && switch (q.grade.group()) {
                    case ALL -> true;
                    case ZONE -> n.zone == first.node.zone;
                    case CELL -> n.cell == first.node.cell;
                };
    }

    private void send(Query q, Node n) {
        double left = q.usefulUntil - now;
        double timeout = q.usefulUntil < q.quitAt ? left : 0;
        boolean repeatable = q.grade.semantics() == Semantics.IDEMPOTENT && q.execsLeft() > 1
                && caches.size() > 1 && !q.grade.stream();
        if (repeatable && !n.isOrigin && !q.site.parallelExecutions()) {
            // Guards against a silent cache: leaves a successor time to answer within the SLO time.
            timeout = Math.min(left, Math.max(PATIENCE * left, TOO_LATE * q.grade.sloMs()));
        }
        Execution e = new Execution(n, now, mayFetch(q, n));
        fetchesOut += e.mayFetch ? 1 : 0;
        q.execs.add(e);
        q.out++;
        n.out++;
        n.tally.add(now, Tally.SENT);
        n.share.add(turn);
        n.open = true;
        outAtCaches += n.isOrigin ? 0 : 1;
        if (!n.isOrigin) {
            fleet.add(now, Tally.SENT);
        }
        host.execute(q.id, n.id, timeout);
        if (repeatable && q.site.parallelExecutions() && (n.isOrigin || q.execs.size() == 1)) {
            timers.after(SECOND_COPY * q.grade.sloMs(), () -> secondCopy(q, e));
        }
    }

    /** Guards against one slow or silent node: another gets a copy while it could still answer. */
    private void secondCopy(Query q, Execution first) {
        if (q.answered || first.ended || q.streaming) {
            return;
        }
        first.pinned = true; // a place pinned by one slow cache tells nothing of the fleet
        boolean atOrigin = first.node.isOrigin; // late beside quick answers there: lost on its way
        outAtCaches -= atOrigin ? 0 : 1;
        suspect(first);
        // Guards an origin behind the caches: a copy is a fetch more there, and nothing calls it off.
        boolean spare = site.originModel() >= 0 && q.out == 1 && extras >= 1 && (!atOrigin
                || first.node.took < QUICK * q.grade.sloMs()) && q.execsLeft() >= (atOrigin ? 1 : 2);
        Node n = spare ? originFits(q) ? origin : atOrigin ? null : choose(q) : null;
        if (n != null) {
            extras--;
            send(q, n);
        }
    }

    private boolean originFits(Query q) {
        return origin != null && origin.isReady() && mayGoTo(q, origin)
                && fits(origin.out, origin.limit, q);
    }

    private void toOrigin(Query q) {
        // Guards the origin: what is in flight there is limited, and the last of it is kept for importance.
        if (q.execsLeft() > 0 && originFits(q)) {
            send(q, origin);
        } else {
            giveUp(q);
        }
    }

    public void executionEnded(double nowMs, QueryId id, int execution, Outcome outcome, double tookMs,
                               boolean finished) {
        now = nowMs;
        Query q = queries.get(id);
        if (q == null || execution >= q.execs.size() || q.execs.get(execution).ended) {
            return;
        }
        Execution e = q.execs.get(execution);
        e.end(outcome);
        q.out--;
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED) {
            // Guards a node that goes on with work given up on: its place counts as taken for as long again.
            timers.after(Math.min(tookMs, q.grade.sloMs()), () -> release(e));
        } else {
            release(e);
        }
        q.asked.told(outcome, e.node, now);
        judge(q, e, outcome, tookMs);
        if (finished && !q.answered) {
            settle(q);
        } else if (!q.answered) {
            next(q, outcome);
        } else if (q.out == 0) {
            queries.remove(id);
        }
    }

    /** Guards the caches' tables against many proxies that each hold what they rarely use: price decides. */
    private void closeUnlessUsed(Node n) {
        // About one query is served by a cache in the time that one takes, which prices an open connection.
        double worthMs = hold * HOLD_FIRST * 100 * usualTook * site.handshakePrice();
        double price = Math.max(site.connectionPenalty(), FULL_PRICE * (1 - hold));
        if (n.open && n.out == 0 && n.share.at(turn) * turn * worthMs < (now - bornAt) * price) {
            n.open = false;
            host.closeIdle(n.id);
        }
    }

    private void release(Execution e) {
        e.node.out--;
        closeUnlessUsed(e.node);
        outAtCaches -= e.node.isOrigin || e.pinned ? 0 : 1;
        fetchesOut -= e.mayFetch ? 1 : 0;
    }

    private void next(Query q, Outcome outcome) {
        if (outcome == Outcome.MISS && !q.atOrigin()) {
            toOrigin(q);
            return;
        }
        boolean repeatable = q.firstThatMayHaveRun() == null || q.grade.semantics() != Semantics.NON_IDEMPOTENT;
        boolean timeLeft = q.usefulUntil - now > TOO_LATE * q.grade.sloMs();
        if (q.out > 0 || !repeatable || !timeLeft || q.execsLeft() == 0 || extras < 1
                || outcome == Outcome.UNSENT) {
            giveUp(q);
            return;
        }
        extras--;
        if (outcome == Outcome.FULL && originFits(q)) {
            send(q, origin);
        } else {
            route(q);
        }
    }

    /** What an outcome tells of the node. */
    private void judge(Query q, Execution e, Outcome outcome, double tookMs) {
        Node n = e.node;
        double slowShare = n.isOrigin ? SLOW_ORIGIN : SLOW_ANSWER;
        boolean slow = tookMs > slowShare * q.grade.sloMs() + q.asking.workMs();
        boolean late = slow || outcome == Outcome.TIMED_OUT && !q.impatient;
        if (n.isOrigin) {
            boolean queued = tookMs > SLOW_ANSWER * q.grade.sloMs(); // a lost answer tells nothing of it
            boolean tells = outcome == Outcome.COMPLETED && !q.asking.write();
            double step = !tells ? 0 : queued ? -COPIED_DOWN : COPIED_UP;
            copied = Math.max(0, Math.min(1, copied + step));
            n.tally.add(now, late ? Tally.BAD : Tally.GOOD);
        } else if (outcome == Outcome.TIMED_OUT && late) {
            pace(e, true);
            suspect(e);
        }
        boolean answered = outcome == Outcome.COMPLETED || outcome == Outcome.MISS;
        n.took += answered ? (tookMs - n.took) / MEMORY : 0;
        // Guards the origin's limit: what is late beside quick answers got lost on its way, not in a queue.
        boolean quick = n.took < QUICK * q.grade.sloMs();
        double span = quick ? BUCKETS * BUCKET_MS : OVERLOAD_MS;
        boolean queue = late && !(n.isOrigin && n.tally.count(now, span, Tally.GOOD) >= OVERLOAD_LEAST
                && n.tally.badShare(now, span, OVERLOAD_LEAST) < (quick ? LOST_SHARE : OVERLOAD_SHARE));
        if (answered || outcome == Outcome.FULL || outcome == Outcome.ERRED) {
            n.heard(now);
        }
        boolean alive = n.isOrigin && n.heardAt > now - q.grade.sloMs(); // a break tells of its connection
        if (queue || outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED && !alive) {
            cut(n.limit, e.sentAt);
        } else if (answered) {
            grow(n.limit, n.out);
        }
        switch (outcome) {
            case COMPLETED, MISS -> {
                if (!n.isOrigin) {
                    n.tally.add(now, Tally.GOOD);
                    usualTook += slow ? 0 : (tookMs - usualTook) / MEMORY;
                    pace(e, slow);
                }
                if (n.asideUntil > 0 && --n.trialsLeft <= 0) {
                    n.asideUntil = 0;
                    n.tally.clear();
                }
            }
            case ERRED, RESET -> { // one reset tells of its connection; a dead process fails to connect next
                n.tally.add(now, Tally.BAD);
                double share = n.tally.badShare(now, BUCKET_MS * BUCKETS, ERRORS_LEAST);
                if (n.asideUntil > 0 || share > ERROR_SHARE) {
                    setAside(n, outcome.toString());
                }
            }
            case FULL -> passOver(n);
            case CONNECT_FAILED -> {
                hold *= HOLD_KEPT;
                strike(n, outcome.toString());
            }
        }
    }

    /** Guards a cache with a queue: the successors take its keys for a while, unless they have one too. */
    private void passOver(Node n) {
        n.busyUntil = now + busyMs() * (0.5 + random.nextDouble());
    }

    /** How long news of a cache lasts: a thin proxy meets each one rarely, a busy one hears again at once. */
    private double busyMs() {
        return Math.max(BUSY_LEAST_MS, Math.min(BUSY_MOST_MS, BUSY_QUERIES * (now - bornAt) / turn));
    }

    private void pace(Execution e, boolean slow) {
        Tally tally = e.mayFetch ? fetching : fleet;
        Limit limit = e.mayFetch ? fetchLimit : fleetLimit;
        if (slow && !e.mayFetch) {
            passOver(e.node);
        } else if (!e.mayFetch) {
            e.node.busyUntil = 0;
        }
        tally.add(now, slow ? Tally.BAD : Tally.GOOD);
        if (!slow) {
            grow(fleetLimit, outAtCaches);
            grow(fetchLimit, fetchesOut);
            hold = Math.min(1, hold + HOLD_GROWTH);
        } else if (e.mayFetch ? oftenLate(tally) : overloaded()) {
            cut(limit, e.sentAt);
        }
    }

    /** Over the last answers of a busy proxy; a thin one has to look back further, and at fewer. */
    private boolean oftenLate(Tally tally) {
        boolean busy = tally.count(now, OVERLOAD_MS, Tally.GOOD) + tally.count(now, OVERLOAD_MS, Tally.BAD)
                >= OVERLOAD_LEAST;
        return tally.badShare(now, busy ? OVERLOAD_MS : BUCKETS * BUCKET_MS, OVERLOAD_THIN) > OVERLOAD_SHARE;
    }

    /** Counts caches in use, not answers: a few slow ones are no overload, those set aside none. */
    private boolean overloaded() {
        double slow = 0;
        double heard = 0;
        for (Node n : caches) {
            heard += n.heardAt > now - busyMs() && n.asideUntil <= now ? n.scale : 0;
            slow += n.busyUntil > now && n.asideUntil <= now ? n.scale : 0;
        }
        return slow > OVERLOAD_CACHES * heard;
    }

    /** Guards against a silent machine, told from an overload by the others. */
    private void suspect(Execution e) {
        if (e.node.heardAt < e.sentAt && !overloaded()) {
            strike(e.node, "silence");
        }
    }

    private void strike(Node n, String why) {
        if (++n.strikes >= STRIKES || n.asideUntil > 0) {
            setAside(n, why);
        }
    }

    private void setAside(Node n, String why) {
        double away = caches.stream().filter(c -> c == n || c.asideUntil > 0).mapToDouble(c -> c.scale).sum();
        // Guards against a trouble that all share, such as a slow origin: the ring is never emptied.
        if (n.isOrigin || n.asideUntil == 0 && away > ASIDE_MOST * ringScale) {
            return;
        }
        host.log("aside " + Long.toHexString(n.id.value()) + ": " + why);
        n.trialsLeft = TRIAL_GOOD;
        n.asideUntil = now + ASIDE_MS + ASIDE_RANDOM_MS * random.nextDouble();
    }

    /** What a router that takes over may know of the listed nodes. */
    public List<NodeHealth> nodeHealth() {
        return nodes.values().stream().map(Node::learnt).filter(one -> one != null).toList();
    }

    /** Guards the first seconds after a switch; a node not listed, or started since, begins afresh. */
    public void restoreNodeHealth(double nowMs, List<NodeHealth> known) {
        double asideMost = nowMs + ASIDE_MS + ASIDE_RANDOM_MS;
        known.stream().filter(k -> nodes.containsKey(k.node()))
                .forEach(k -> nodes.get(k.node()).recall(k, asideMost, nowMs + BUSY_MOST_MS, TRIAL_GOOD));
    }

    /** How many of the listed nodes are avoided now. */
    public int unavailableCount(double nowMs) {
        return (int) nodes.values().stream().filter(n -> !n.isReady() || n.asideUntil > nowMs).count();
    }

    /** Answers at once, unless an execution is still out that may yet answer. */
    private void giveUp(Query q) {
        if (q.out > 0) {
            return;
        }
        if (q.grade.semantics() == Semantics.IDEMPOTENT || q.firstThatMayHaveRun() == null) {
            double comeBack = COME_BACK * (1 + random.nextDouble()) * q.grade.sloMs();
            host.reject(q.id, Math.min(q.site.maxRetryAfterMs(), comeBack));
        } else {
            host.abort(q.id);
        }
        settle(q);
    }

    /** The query has its answer: nothing more goes out for it, and what is out is called off. */
    private void settle(Query q) {
        q.answered = true;
        for (int i = 0; i < q.execs.size() && q.site.mayCancel() && !q.streaming; i++) {
            if (!q.execs.get(i).ended) {
                host.cancel(q.id, i);
            }
        }
        if (q.out == 0) {
            queries.remove(q.id);
        }
    }
}
