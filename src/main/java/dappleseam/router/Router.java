package dappleseam.router;

import dappleseam.router.Query.Execution;
import dappleseam.router.RecentKeys.Asked;
import dappleseam.router.ServiceGrade.Repeat;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Makes all routing decisions of one proxy. The caller reports each event through one method, with the clock in ms; the router acts
 * through its {@link Host} before the method returns. Not thread-safe; routers share no state. {@link RouterSettings} holds what the
 * deployment allows; docs/design.md gives the reasons behind the decisions.
 */
public final class Router {
    /** Caches considered for a key: its owner and, as in docs/design.md, two successors. */
    private static final int CHOICES = 3;
    /** Load skip: a cache is busy above this multiple of the proxy's own mean number in flight per weight; from docs/design.md. */
    private static final double SKIP_MULTIPLE = 2;
    /** Load skip: queries in flight up to which a cache is never busy; differences below it are chance, not load. */
    private static final int SKIP_FLOOR = 2;
    /** Listed queries held per core up to which a cache is never overloaded: so short a queue drains quickly. */
    private static final double HELD_FLOOR = 1.5;
    /** Fraction of the distance to its target by which a cache's shed share rises, or falls, with each list update. */
    private static final double SHED_UP = 0.3;
    private static final double SHED_DOWN = 0.15;
    /** Penalty in points for a cross-zone query from which each zone keeps copies of its own. */
    private static final double CROSS_WORTH = 0.05;
    /** Steps by which the share of keys copied to each zone falls with a slow read at the origin, and grows with a quick one. */
    private static final double COPIED_DOWN = 0.1;
    private static final double COPIED_UP = 0.01;
    /** Share of the remaining SLO time that one execution may take while a successor could still answer. */
    private static final double PATIENCE = 0.5;
    /** Share of the SLO time after which a second copy is sent: later than a usual answer, early enough for another one. */
    private static final double SECOND_COPY = 0.6;
    /** Retry budget, in executions: earned by each query, and the maximum saved. It bounds what failures may add to an overload. */
    private static final double EXTRA_SHARE = 0.2;
    private static final double EXTRA_MOST = 20;
    /** Share of the SLO time below which there is no time left for another execution. */
    private static final double TOO_LATE = 0.05;
    /** Consecutive executions that fail without an answer before a cache is ejected; a single one may be chance. */
    private static final int STRIKES = 2;
    /** Share of errors among the answers from which a cache is ejected, and the fewest answers that count. */
    private static final double ERROR_SHARE = 0.3;
    private static final int ERRORS_LEAST = 3;
    /** Fixed and random part of the ejection time, in ms: a few timeouts long, and spread over the proxies. */
    private static final double ASIDE_MS = 1500;
    private static final double ASIDE_RANDOM_MS = 1000;
    /** Largest share of the ring's weight that may be ejected; beyond it the cause is shared, and ejection does not help. */
    private static final double ASIDE_MOST = 0.4;
    /** Consecutive answers, in executions, that end the trial after an ejection. */
    private static final int TRIAL_GOOD = 3;
    /**
     * In-flight limits, in executions: initial size over all proxies, its minimum at one proxy, the minimum of a limit, and the minimum
     * for the origin and for fetches, which many proxies share. {@link #LIMIT_BACKOFF} is the factor of a decrease.
     */
    private static final double LIMIT_FIRST = 64;
    private static final double LIMIT_FIRST_LEAST = 4;
    private static final double LIMIT_LEAST = 0.5;
    private static final double SCARCE_LEAST = 0.05;
    /** Share by which a limit below one grows with each good answer; a fifth of late answers keeps it level. */
    private static final double GROWTH = 0.2;
    /** Share kept of the idle connections worth their penalty; factor of it after a failed connect; what a good answer adds. */
    private static final double HOLD_FIRST = 0.5;
    private static final double HOLD_KEPT = 0.5;
    private static final double HOLD_GROWTH = 0.02;
    /** Penalty in points for an open connection while every connect fails, where the deployment sets none: it keeps others out. */
    private static final double FULL_PRICE = 0.08;
    private static final double LIMIT_KEPT = 0.7;
    /** Share of the SLO time after which an answer of a cache, and one of the scarcer origin, indicates a queue. */
    private static final double SLOW_ANSWER = 0.4;
    private static final double SLOW_ORIGIN = 1;
    /** Share of slow or missing answers, and share of the caches' weight that is slow, above which there is an overload. */
    private static final double OVERLOAD_SHARE = 0.2;
    private static final double OVERLOAD_CACHES = 0.4;
    /** Share of the SLO time up to which recent answers are quick, and the share of late ones then explained by loss in transit. */
    private static final double QUICK = 0.2;
    private static final double LOST_SHARE = 0.5;
    /** Overload: fewest answers counted, the same at a proxy with little traffic, and the window in ms. */
    private static final int OVERLOAD_LEAST = 10;
    private static final int OVERLOAD_THIN = 4;
    private static final double OVERLOAD_MS = 750;
    /** Time in ms for which a key counts as missing after a miss: a few tries of one client. */
    private static final double MISSING_MS = 1000;
    /** Most keys remembered: well over what one proxy queries while a cache keeps them. */
    private static final int KEYS_MOST = 1 << 14;
    /** A hot key is spread over this multiple of the weight its share of the queries fills, which leaves room for other keys. */
    private static final double SPREAD = 1.5;
    /** A late or full cache is avoided for the time of this many queries of the proxy, within bounds in ms. */
    private static final double BUSY_QUERIES = 20;
    private static final double BUSY_LEAST_MS = 2500;
    private static final double BUSY_MOST_MS = 8000;
    /** Most caches that one hot key is spread over; each further one has to fetch and keep a copy. */
    private static final int SPREAD_MOST = 8;
    /** Limit for all caches together, in executions per cache: initial and minimum over all proxies, and the share for fetches. */
    private static final double FLEET_FIRST = 12;
    private static final double FLEET_LEAST = 3;
    private static final double FETCH_FIRST = 0.5;
    /** Share of a limit open to queries of no importance; the rest opens in proportion to importance. */
    private static final double LIMIT_FOR_ALL = 0.6;
    /** Shortest retry-after of a rejection, as a share of the SLO time; up to doubled at random. */
    private static final double COME_BACK = 0.2;
    /** Cold cache: factor on its share for one key; executions sent over those answered; fall multiple that earns its full share. */
    private static final double COLD_KEY = 2;
    private static final double COLD_MULTIPLE = 1.2;
    private static final double COLD_BEARS = 3;
    /** Measurement buckets: length in ms and number. Four seconds hold a few queries even of a proxy with little traffic. */
    private static final double BUCKET_MS = 250;
    private static final int BUCKETS = 16;
    /** Back-off of calls to the list service in ms: initial, maximum, growth. The initial one fits after a silent watch and a timed-out call;
     * two calls with the longest fit into the 6 s within which a change has to be known. */
    private static final double ASK_AGAIN_MS = 400;
    private static final double ASK_MOST_MS = 2000;
    private static final double ASK_GROWTH = 2.5;
    /** Time in ms over which the first calls of many proxies to the list service are spread. */
    private static final double ASK_SPREAD_MS = 1500;
    /** Recent queries over which shares and answer times are averaged: ten to twenty s of a proxy with little traffic. */
    private static final double MEMORY = 64;
    /** Difference between two remaining times, in ms, that network delays alone may cause. */
    private static final double SAME_MS = 10;
    /** Time reserved for the answer to reach the client, in ms, on top of two ticks. */
    private static final double LAST_HOP_MS = 2;

    private static final Comparator<Node> BY_ID = Comparator.comparingLong(n -> n.id.value());

    private Deployment site;
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
    /** Caches in use, sorted by id, so that floating-point sums over them are equal at every proxy. */
    private final List<Node> caches = new ArrayList<>();
    private final Ring ring = new Ring();
    /** Nodes changed since the ring was last updated; it is updated once per query, however many list changes come in between. */
    private final Set<Node> changed = new LinkedHashSet<>();
    private double ringScale;
    /** Share of the keys of which each zone keeps its own copy; bounded by what the origin can serve, as the misses double. */
    private double copied = 1;
    private double scaleNear; // of the caches in the proxy's own zone
    private Node origin;
    private int outAtCaches;
    private double heldUsually;
    private double[] longestTry = {}; // longest remaining time seen in a query, by grade
    private int walk;
    private double extras = EXTRA_MOST;
    private boolean followed;
    private int askTurn;
    private double askWait = ASK_AGAIN_MS;
    private long turn; // queries taken so far
    private final double bornAt;
    private double usualTook = 100; // mean over the timely answers of caches
    /** Estimated share of the idle connections worth their penalty that caches have room for; falls with failed connects. */
    private double hold = 1;
    /** Position of this proxy among all, from 0 to 1; proxies at different positions use different caches for a hot key. */
    private double place;

    /** A router without nodes; {@code random} is the source of all its random choices. */
    public Router(Deployment site, RandomGenerator random, Host host, double nowMs) {
        this.site = site;
        this.random = random;
        this.host = host;
        timers = new Timers(host);
        now = nowMs;
        bornAt = nowMs;
        place = random.nextDouble();
        settingsChanged(nowMs, site);
    }

    /** Applies new settings to later queries; open queries keep those they were accepted under. */
    public void settingsChanged(double nowMs, Deployment newSite) {
        now = nowMs;
        site = newSite;
        longestTry = new double[site.grades().size()];
        highestImportance = site.grades().stream().mapToDouble(ServiceGrade::importance).max().orElse(1);
        if (site.askEveryMs() > 0 && !followed) {
            askAfter(random.nextDouble() * ASK_SPREAD_MS);
        }
    }

    /** Applies a new share of the fleet ({@code proxyCount} is its reciprocal), scaling learned limits, and a new position unless NaN. */
    public void toldOfFleet(double proxies, double newPlace) {
        place = Double.isNaN(newPlace) ? place : newPlace;
        double by = site.proxies() / proxies;
        site = site.sharedBy(proxies);
        nodes.values().forEach(n -> n.limit.size *= by);
        List.of(fleetLimit, fetchLimit).forEach(limit -> limit.size *= by);
        fleetLimit.least = Math.max(1, FLEET_LEAST / proxies * caches.size());
    }

    /**
     * Replaces the whole list. {@code isRemembered}: the list was kept from an earlier run, so the list service has yet to be called.
     */
    public void listGiven(double nowMs, List<Member> members, boolean remembered) {
        boolean before = followed;
        nodes.values().forEach(n -> n.state = Member.State.GONE);
        changed.addAll(nodes.values());
        listChanged(nowMs, members);
        nodes.values().removeIf(n -> n.state == Member.State.GONE);
        followed = before || !remembered;
    }

    /** Applies an update of the list: only the given members have changed. */
    public void listChanged(double nowMs, List<Member> members) {
        now = nowMs;
        followed = true;
        askWait = ASK_AGAIN_MS;
        members.forEach(this::learn);
        if (site.scaleMoves()) {
            heldUsually = caches.stream().mapToDouble(n -> n.held).sorted().skip(caches.size() / 2).findFirst().orElse(0);
        }
    }

    /** A call to the list service has failed. */
    public void listFailed(double nowMs) {
        now = nowMs;
        followed = false;
        // Protects the list service, which does not grow with the fleet: each failure lengthens the delay.
        askAfter((0.2 + 0.8 * random.nextDouble()) * askWait);
        askWait = Math.min(ASK_GROWTH * askWait, Math.min(ASK_MOST_MS, site.askEveryMs() / 2));
    }

    private void askAfter(double delayMs) {
        int turn = ++askTurn;
        timers.after(delayMs, () -> {
            if (turn == askTurn && !followed) {
                host.followList();
                askAfter(site.askEveryMs() * (0.56 + 0.24 * random.nextDouble())); // in case this call is not answered
            }
        });
    }

    private void learn(Member m) {
        boolean isOrigin = m.model() == site.originModel();
        double first = Math.max(LIMIT_FIRST_LEAST, LIMIT_FIRST / site.proxies());
        Node n = nodes.computeIfAbsent(m.node(), id -> new Node(id, isOrigin, new Tally(BUCKETS, BUCKET_MS),
                new Limit(first, isOrigin ? SCARCE_LEAST : LIMIT_LEAST), new Share(MEMORY)));
        if (n.learn(m, site.scaleIsStable() && m.scale() > 0 ? m.scale() : 1, site.scaleMoves())) {
            changed.add(n);
        }
        if (n.state == Member.State.GONE) {
            nodes.remove(n.id); // ids are never reused, so the map would grow without bound
        }
        shed(n);
    }

    /** Brings the ring up to date. It depends on the list only, so that proxies with one list agree and no other key moves. */
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
            fleetLimit.size = Math.max(LIMIT_FIRST_LEAST, FLEET_FIRST / site.proxies() * caches.size());
            fetchLimit.size = FETCH_FIRST * fleetLimit.size;
        }
        fleetLimit.least = Math.max(1, FLEET_LEAST / site.proxies() * caches.size());
    }

    /** Updates the ring ahead of the first query: for a large fleet that takes a tenth of a second. */
    public void prepare() {
        if (!changed.isEmpty()) {
            updateRing();
        }
    }

    /** Takes a new query; it is executed, rejected or aborted through the host. */
    public void query(double nowMs, QueryId id, Asking asking) {
        now = nowMs;
        prepare();
        Query q = new Query(id, site, site.grades().get(asking.grade()), asking);
        Key key = asking.key();
        q.hash = Hash.mix(key.equals(Key.NONE) ? id.value() : key.value());
        q.quitAt = now + asking.leftMs();
        double slowMs = SLOW_ANSWER * q.grade.sloMs() + asking.workMs();
        q.impatient = Math.min(asking.leftMs(), q.grade.sloMs()) < slowMs;
        // Where an answer past the SLO time earns nothing, the query is given up then, which frees its node.
        boolean toTheEnd = q.grade.tardyShare() > 0 || q.grade.repeat() == Repeat.NON_IDEMPOTENT;
        double before = askedBefore(q.grade, asking);
        double sloLeft = q.grade.sloMs() - 2 * site.tickMs() - LAST_HOP_MS - before;
        q.usefulUntil = toTheEnd ? q.quitAt : Math.min(q.quitAt, now + sloLeft);
        queries.put(id, q);
        extras = Math.min(EXTRA_MOST, extras + EXTRA_SHARE);
        turn++;
        q.asked = asked.computeIfAbsent(key, k -> new Asked(new Share(MEMORY)));
        // Protects a hot key's owner: the key is spread over the weight it would fill, and each proxy's position selects a part of it.
        q.keyShare = key.equals(Key.NONE) ? 0 : q.asked.share.at(turn);
        q.nearFirst = site.crossPrice() >= CROSS_WORTH && Hash.fraction(Hash.mix(~q.hash)) < copied;
        q.passOver = SPREAD * q.keyShare * (q.nearFirst ? scaleNear : ringScale) * place;
        q.asked.share.add(turn);
        if (!caches.isEmpty()) {
            closeUnlessUsed(caches.get((int) (turn % caches.size())));
        }
        // Protects caches from work whose answer would come too late for the client.
        if (before > 0 && q.usefulUntil - now < TOO_LATE * q.grade.sloMs()) {
            giveUp(q);
        } else {
            route(q);
        }
    }

    /** Minimum time in ms since the first try of a retrying client: the remaining time of its last try is cut by its overall deadline. */
    private double askedBefore(ServiceGrade grade, Asking asking) {
        longestTry[asking.grade()] = Math.max(longestTry[asking.grade()], asking.leftMs());
        boolean isLast = asking.again() && asking.leftMs() < longestTry[asking.grade()] - SAME_MS;
        return isLast ? Math.max(0, grade.timeoutMs() - asking.leftMs()) : 0;
    }

    /** The client has disconnected or stopped waiting. */
    public void clientLeft(double nowMs, QueryId id) {
        now = nowMs;
        Query q = queries.get(id);
        if (q != null && !q.answered) {
            settle(q);
        }
    }

    /** The first bytes of a streamed answer have arrived; its execution is not cancelled any more. */
    public void streamStarted(double nowMs, QueryId id, int execution) {
        now = nowMs;
        Query q = queries.get(id);
        if (q != null && execution < q.execs.size()) {
            q.streaming = true;
            q.execs.get(execution).node.heard(now);
        }
    }

    /** A timer that was started through {@link Host#startTimer} is due. */
    public void woken(double nowMs, TimerId timer) {
        now = nowMs;
        timers.fire(timer);
    }

    private void route(Query q) {
        boolean aside = site.originModel() >= 0;
        if (aside && (q.asking.write() || q.execsLeft() == 1 || q.firstMissedAt() != null)) {
            toOrigin(q);
            return;
        }
        // Protects caches from retries for a missing key while the origin has no room to serve it.
        if (aside && q.asked.missedAt > now - MISSING_MS && !originFits(q)) {
            giveUp(q);
            return;
        }
        // Prevents an overload of all caches: more in flight would only make every answer late.
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

    /** The first usable cache clockwise, or one of the next two if it is busy (load skip); null if none has room. */
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
            if (nearFirst && seen == CHOICES) { // the local zone has no room: start over with all zones
                step = ring.size() - 1;
            }
        }
        return least;
    }

    private boolean isBusy(Node n) {
        return n.out > Math.max(SKIP_FLOOR, SKIP_MULTIPLE * (outAtCaches / ringScale) * n.scale)
                || n.busyUntil > now && !overloaded();
    }

    /** Relieves a cache that the list reports as overloaded: each proxy moves a share of its keys to the successors. The share rises fast and
     * falls slowly, since the report is late and the same for all proxies, which would otherwise move back and forth together. */
    private void shed(Node n) {
        double over = n.held / Math.max(HELD_FLOOR, SKIP_MULTIPLE * heldUsually) - 1;
        double due = over > 0 ? 1 - (1 - n.shed) / (over + 1) : 0; // load is taken as proportional to the keys it keeps
        n.shed += (due > n.shed ? SHED_UP : SHED_DOWN) * (due - n.shed);
    }

    /** Each proxy sheds a different part of the keys, so that a hot key is split between proxies. */
    private boolean sheds(Node n, Query q) {
        return (Hash.fraction(Hash.mix(q.hash) ^ n.seed) + place) % 1 < n.shed;
    }

    /** Whether a read-through cache may have to fetch the key, as it is not known to hold it. Limited, to protect the origin and cache slots. */
    private boolean mayFetch(Query q, Node n) {
        return site.originModel() < 0 && q.asked.heldBy != n;
    }

    /** Whether the limit leaves room. Below one it is a probability, so that many proxies with little traffic can share a scarce node. */
    private boolean fits(int out, Limit limit, Query q) {
        double importance = q.grade.importance() / highestImportance;
        double room = limit.size * (LIMIT_FOR_ALL + (1 - LIMIT_FOR_ALL) * importance);
        return out < room && (limit.size >= 1 || random.nextDouble() < room);
    }

    /** Additive increase: by one for each full round of good answers, and below one by a share. */
    private void grow(Limit limit, int out) {
        limit.size += out + 1 >= limit.size / 2 ? Math.min(1 / limit.size, limit.size * GROWTH) : 0;
    }

    /** Multiplicative decrease, unless the execution was sent before the last one: it says nothing about the new size. */
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
        // Protects a cold cache: every proxy sends it the same share of its keys.
        return warmth(n) >= 1 || Hash.fraction(q.hash ^ n.seed) < warmth(n) && withinColdBudget(n, q);
    }

    /** Protects a cold cache: no key above the share it can take, and fewer at random while more is sent than answered. */
    private boolean withinColdBudget(Node n, Query q) {
        double answered = fleet.count(now, BUCKET_MS * BUCKETS, Tally.GOOD)
                + fetching.count(now, BUCKET_MS * BUCKETS, Tally.GOOD);
        double sent = fleet.count(now, BUCKET_MS * BUCKETS, Tally.SENT);
        return q.keyShare * ringScale < COLD_KEY * warmth(n) * n.scale
                && random.nextDouble() * sent <= COLD_MULTIPLE * answered + 1;
    }

    /** Share of its usual traffic that a recently started cache gets; 1 for a warm one. */
    private double warmth(Node n) {
        double age = now - n.startedAt;
        return n.startedAt <= 0 || age >= site.warmAfterMs() ? 1
                : Math.min(1, site.fallMultiple() / COLD_BEARS) * (site.coldFrom()
                        + (1 - site.coldFrom()) * Math.max(0, age) / site.warmAfterMs());
    }

    /** Whether a further execution at the node is allowed by the grade's repeat semantics. */
    private boolean mayGoTo(Query q, Node n) {
        Execution first = q.firstThatMayHaveRun();
        return first == null || q.grade.repeat() == Repeat.IDEMPOTENT
                || q.grade.repeat() == Repeat.DEDUPLICATED
                && now < first.sentAt + q.grade.windowMs() - 2 * q.site.tickMs() && switch (q.grade.group()) {
                    case ALL -> true;
                    case ZONE -> n.zone == first.node.zone;
                    case CELL -> n.cell == first.node.cell;
                };
    }

    private void send(Query q, Node n) {
        double left = q.usefulUntil - now;
        double timeout = q.usefulUntil < q.quitAt ? left : 0;
        boolean repeatable = q.grade.repeat() == Repeat.IDEMPOTENT && q.execsLeft() > 1
                && caches.size() > 1 && !q.grade.stream();
        if (repeatable && !n.isOrigin && !q.site.parallelExecutions()) {
            // In case the cache never answers: leaves a successor time to answer within the SLO time.
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

    /** Hedges against one slow or silent node: sends a copy to another while it could still answer in time. */
    private void secondCopy(Query q, Execution first) {
        if (q.answered || first.ended || q.streaming) {
            return;
        }
        first.pinned = true; // an execution stuck at one slow cache says nothing about the fleet
        boolean atOrigin = first.node.isOrigin; // if late while other answers are quick, it was lost in transit
        outAtCaches -= atOrigin ? 0 : 1;
        suspect(first);
        // Not with read-through caches: a copy is one more fetch at the origin, which cannot be cancelled.
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
        // Protects the origin: its in-flight limit reserves the last places for important queries.
        if (q.execsLeft() > 0 && originFits(q)) {
            send(q, origin);
        } else {
            giveUp(q);
        }
    }

    /** An execution has ended after {@code tookMs}; {@code finished}: its query has been answered. */
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
            // The node may go on with the abandoned work: its place stays taken for as long again.
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

    /** Closes idle connections that cost more than they save: many proxies holding rarely used ones would fill the caches' tables. */
    private void closeUnlessUsed(Node n) {
        // A cache serves about one query in the time that a query takes, which gives the value of an open connection.
        double worthMs = hold * HOLD_FIRST * 100 * usualTook * site.handshakePrice();
        double price = Math.max(site.openPrice(), FULL_PRICE * (1 - hold));
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
        boolean repeatable = q.firstThatMayHaveRun() == null || q.grade.repeat() != Repeat.NON_IDEMPOTENT;
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

    /** Updates the node's state, the limits and the statistics with the outcome of an execution. */
    private void judge(Query q, Execution e, Outcome outcome, double tookMs) {
        Node n = e.node;
        double slowShare = n.isOrigin ? SLOW_ORIGIN : SLOW_ANSWER;
        boolean slow = tookMs > slowShare * q.grade.sloMs() + q.asking.workMs();
        boolean late = slow || outcome == Outcome.TIMED_OUT && !q.impatient;
        if (n.isOrigin) {
            boolean queued = tookMs > SLOW_ANSWER * q.grade.sloMs(); // an answer lost in transit does not indicate a queue
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
        // Protects the origin's limit: an answer that is late while the others are quick was lost in transit, not queued.
        boolean quick = n.took < QUICK * q.grade.sloMs();
        double span = quick ? BUCKETS * BUCKET_MS : OVERLOAD_MS;
        boolean queue = late && !(n.isOrigin && n.tally.count(now, span, Tally.GOOD) >= OVERLOAD_LEAST
                && n.tally.badShare(now, span, OVERLOAD_LEAST) < (quick ? LOST_SHARE : OVERLOAD_SHARE));
        if (answered || outcome == Outcome.FULL || outcome == Outcome.ERRED) {
            n.heard(now);
        }
        boolean alive = n.isOrigin && n.heardAt > now - q.grade.sloMs(); // then a failed connect does not mean that the node is down
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
            case ERRED, RESET -> { // one reset concerns its connection only; a dead process fails the next connect
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

    /** Relieves a cache with a queue: its successors take its keys for a while, unless they are overloaded, too. */
    private void passOver(Node n) {
        n.busyUntil = now + busyMs() * (0.5 + random.nextDouble());
    }

    /** How long an observation of a cache stays valid: with little traffic a proxy observes each cache rarely. */
    private double busyMs() {
        return Math.max(BUSY_LEAST_MS, Math.min(BUSY_MOST_MS, BUSY_QUERIES * (now - bornAt) / turn));
    }

    /** Updates the statistics and limits of hits or fetches with one answer of a cache. */
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

    /** Whether recent answers are often late; with little traffic the window is longer and fewer answers suffice. */
    private boolean oftenLate(Tally tally) {
        boolean busy = tally.count(now, OVERLOAD_MS, Tally.GOOD) + tally.count(now, OVERLOAD_MS, Tally.BAD)
                >= OVERLOAD_LEAST;
        return tally.badShare(now, busy ? OVERLOAD_MS : BUCKETS * BUCKET_MS, OVERLOAD_THIN) > OVERLOAD_SHARE;
    }

    /** Counts the weight of caches instead of answers: a few slow caches are no overload, and ejected ones do not count. */
    private boolean overloaded() {
        double slow = 0;
        double heard = 0;
        for (Node n : caches) {
            heard += n.heardAt > now - busyMs() && n.asideUntil <= now ? n.scale : 0;
            slow += n.busyUntil > now && n.asideUntil <= now ? n.scale : 0;
        }
        return slow > OVERLOAD_CACHES * heard;
    }

    /** Counts a failure of a cache that has not answered since, unless the other caches show an overload. */
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
        // A failure shared by all caches, such as a slow origin, must not empty the ring.
        if (n.isOrigin || n.asideUntil == 0 && away > ASIDE_MOST * ringScale) {
            return;
        }
        host.log("aside " + Long.toHexString(n.id.value()) + ": " + why);
        n.trialsLeft = TRIAL_GOOD;
        n.asideUntil = now + ASIDE_MS + ASIDE_RANDOM_MS * random.nextDouble();
    }

    /** What has been learned about the listed nodes, for a router that takes over. */
    public List<Learnt> learnt() {
        return nodes.values().stream().map(Node::learnt).filter(one -> one != null).toList();
    }

    /**
     * Restores what the previous router learned, so that the first seconds after a takeover avoid known bad nodes. Nodes that are not
     * listed, or have restarted since, are left as they are.
     */
    public void recall(double nowMs, List<Learnt> known) {
        double asideMost = nowMs + ASIDE_MS + ASIDE_RANDOM_MS;
        known.stream().filter(k -> nodes.containsKey(k.node()))
                .forEach(k -> nodes.get(k.node()).recall(k, asideMost, nowMs + BUSY_MOST_MS, TRIAL_GOOD));
    }

    /** Number of listed nodes that are not ready or are ejected. */
    public int avoided(double nowMs) {
        return (int) nodes.values().stream().filter(n -> !n.isReady() || n.asideUntil > nowMs).count();
    }

    /** Rejects or aborts the query, unless another execution in flight may still answer it. */
    private void giveUp(Query q) {
        if (q.out > 0) {
            return;
        }
        if (q.grade.repeat() == Repeat.IDEMPOTENT || q.firstThatMayHaveRun() == null) {
            double comeBack = COME_BACK * (1 + random.nextDouble()) * q.grade.sloMs();
            host.reject(q.id, Math.min(q.site.maxRetryAfterMs(), comeBack));
        } else {
            host.abort(q.id);
        }
        settle(q);
    }

    /** The query has been answered: no further execution is started, and those in flight are cancelled where possible. */
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
