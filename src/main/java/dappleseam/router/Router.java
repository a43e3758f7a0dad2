package dappleseam.router;

import dappleseam.router.Query.Execution;
import dappleseam.router.RecentKeys.KeyStats;
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
 * Makes all routing decisions of one proxy. The caller reports each event through one method, with the clock in ms; the router acts
 * through its {@link Host} before the method returns. Not thread-safe; routers share no state. {@link RouterSettings} holds what the
 * deployment allows; docs/design.md gives the reasons behind the decisions.
 */
public final class Router {
    /** Caches considered for a key: its owner and, as in docs/design.md, two successors. */
    private static final int CANDIDATES = 3;
    /** Load skip: a cache is busy above this multiple of the proxy's own mean number in flight per weight; from docs/design.md. */
    private static final double LOAD_SKIP_FACTOR = 2;
    /** Load skip: queries in flight up to which a cache is never busy; differences below it are chance, not load. */
    private static final int LOAD_SKIP_MIN_IN_FLIGHT = 2;
    /** Listed queries held per core up to which a cache is never overloaded: so short a queue drains quickly. */
    private static final double HELD_PER_CORE_FLOOR = 1.5;
    /** Fraction of the distance to its target by which a cache's shed share rises, or falls, with each list update. */
    private static final double SHED_INCREASE = 0.3;
    private static final double SHED_DECREASE = 0.15;
    /** Penalty in points for a cross-zone query from which each zone keeps copies of its own. */
    private static final double LOCAL_COPIES_MIN_PENALTY = 0.05;
    /** Steps by which the share of keys copied to each zone falls with a slow read at the origin, and grows with a quick one. */
    private static final double LOCAL_COPIES_DECREASE = 0.1;
    private static final double LOCAL_COPIES_INCREASE = 0.01;
    /** Share of the remaining SLO time that one execution may take while a successor could still answer. */
    private static final double EXECUTION_TIMEOUT_SHARE = 0.5;
    /** Share of the SLO time after which a second copy is sent: later than a usual answer, early enough for another one. */
    private static final double HEDGE_DELAY_SHARE = 0.6;
    /** Retry budget, in executions: earned by each query, and the maximum saved. It bounds what failures may add to an overload. */
    private static final double RETRY_BUDGET_RATIO = 0.2;
    private static final double RETRY_BUDGET_MAX = 20;
    /** Share of the SLO time below which there is no time left for another execution. */
    private static final double MIN_TIME_LEFT_SHARE = 0.05;
    /** Consecutive executions that fail without an answer before a cache is ejected; a single one may be chance. */
    private static final int EJECTION_FAILURES = 2;
    /** Share of errors among the answers from which a cache is ejected, and the fewest answers that count. */
    private static final double EJECTION_ERROR_SHARE = 0.3;
    private static final int EJECTION_MIN_ANSWERS = 3;
    /** Fixed and random part of the ejection time, in ms: a few timeouts long, and spread over the proxies. */
    private static final double EJECTION_MS = 1500;
    private static final double EJECTION_JITTER_MS = 1000;
    /** Largest share of the ring's weight that may be ejected; beyond it the cause is shared, and ejection does not help. */
    private static final double MAX_EJECTED_SHARE = 0.4;
    /** Consecutive answers, in executions, that end the trial after an ejection. */
    private static final int TRIAL_SUCCESSES = 3;
    /**
     * In-flight limits, in executions: initial size over all proxies, its minimum at one proxy, the minimum of a limit, and the minimum
     * for the origin and for fetches, which many proxies share. {@link #LIMIT_BACKOFF} is the factor of a decrease.
     */
    private static final double LIMIT_INITIAL = 64;
    private static final double LIMIT_INITIAL_MIN = 4;
    private static final double LIMIT_MIN = 0.5;
    private static final double SCARCE_LIMIT_MIN = 0.05;
    /** Share by which a limit below one grows with each good answer; a fifth of late answers keeps it level. */
    private static final double SMALL_LIMIT_GROWTH = 0.2;
    /** Share kept of the idle connections worth their penalty; factor of it after a failed connect; what a good answer adds. */
    private static final double KEEP_IDLE_SHARE = 0.5;
    private static final double KEEP_IDLE_BACKOFF = 0.5;
    private static final double KEEP_IDLE_GROWTH = 0.02;
    /** Penalty in points for an open connection while every connect fails, where the deployment sets none: it keeps others out. */
    private static final double FULL_TABLE_PENALTY = 0.08;
    private static final double LIMIT_BACKOFF = 0.7;
    /** Share of the SLO time after which an answer of a cache, and one of the scarcer origin, indicates a queue. */
    private static final double SLOW_ANSWER_SHARE = 0.4;
    private static final double SLOW_ORIGIN_SHARE = 1;
    /** Share of slow or missing answers, and share of the caches' weight that is slow, above which there is an overload. */
    private static final double OVERLOAD_SHARE = 0.2;
    private static final double OVERLOAD_CACHE_SHARE = 0.4;
    /** Share of the SLO time up to which recent answers are quick, and the share of late ones then explained by loss in transit. */
    private static final double QUICK_SHARE = 0.2;
    private static final double LOST_SHARE = 0.5;
    /** Overload: fewest answers counted, the same at a proxy with little traffic, and the window in ms. */
    private static final int OVERLOAD_MIN_ANSWERS = 10;
    private static final int OVERLOAD_MIN_ANSWERS_LOW_TRAFFIC = 4;
    private static final double OVERLOAD_WINDOW_MS = 750;
    /** Time in ms for which a key counts as missing after a miss: a few tries of one client. */
    private static final double RECENT_MISS_MS = 1000;
    /** Most keys remembered: well over what one proxy queries while a cache keeps them. */
    private static final int MAX_RECENT_KEYS = 1 << 14;
    /** A hot key is spread over this multiple of the weight its share of the queries fills, which leaves room for other keys. */
    private static final double HOT_KEY_SPREAD = 1.5;
    /** A late or full cache is avoided for the time of this many queries of the proxy, within bounds in ms. */
    private static final double BUSY_QUERIES = 20;
    private static final double BUSY_MIN_MS = 2500;
    private static final double BUSY_MAX_MS = 8000;
    /** Most caches that one hot key is spread over; each further one has to fetch and keep a copy. */
    private static final int HOT_KEY_MAX_CACHES = 8;
    /** Limit for all caches together, in executions per cache: initial and minimum over all proxies, and the share for fetches. */
    private static final double FLEET_LIMIT_INITIAL = 12;
    private static final double FLEET_LIMIT_MIN = 3;
    private static final double FETCH_LIMIT_SHARE = 0.5;
    /** Share of a limit open to queries of no importance; the rest opens in proportion to importance. */
    private static final double LIMIT_SHARE_FOR_ALL = 0.6;
    /** Shortest retry-after of a rejection, as a share of the SLO time; up to doubled at random. */
    private static final double RETRY_AFTER_SHARE = 0.2;
    /** Cold cache: factor on its share for one key; executions sent over those answered; fall multiple that earns its full share. */
    private static final double COLD_KEY_FACTOR = 2;
    private static final double COLD_SENT_FACTOR = 1.2;
    private static final double COLD_FULL_SHARE_MULTIPLE = 3;
    /** Measurement buckets: length in ms and number. Four seconds hold a few queries even of a proxy with little traffic. */
    private static final double BUCKET_MS = 250;
    private static final int BUCKETS = 16;
    /** Back-off of calls to the list service in ms: initial, maximum, growth. The initial one fits after a silent watch and a timed-out call;
     * two calls with the longest fit into the 6 s within which a change has to be known. */
    private static final double LIST_RETRY_INITIAL_MS = 400;
    private static final double LIST_RETRY_MAX_MS = 2000;
    private static final double LIST_RETRY_GROWTH = 2.5;
    /** Time in ms over which the first calls of many proxies to the list service are spread. */
    private static final double LIST_FIRST_CALL_SPREAD_MS = 1500;
    /** Recent queries over which shares and answer times are averaged: ten to twenty s of a proxy with little traffic. */
    private static final double AVERAGING_QUERIES = 64;
    /** Difference between two remaining times, in ms, that network delays alone may cause. */
    private static final double DEADLINE_TOLERANCE_MS = 10;
    /** Time reserved for the answer to reach the client, in ms, on top of two ticks. */
    private static final double LAST_HOP_MS = 2;

    private static final Comparator<Node> BY_ID = Comparator.comparingLong(n -> n.id.value());

    private RouterSettings settings;
    private final RandomGenerator random;
    private final Host host;
    private double highestImportance;
    private final Map<NodeId, Node> nodes = new LinkedHashMap<>();
    private final Map<QueryId, Query> queries = new LinkedHashMap<>();
    private final Timers timers;
    private final OutcomeCounts cacheOutcomes = new OutcomeCounts(BUCKETS, BUCKET_MS);
    private final Limit fleetLimit = new Limit(LIMIT_INITIAL, LIMIT_MIN);
    private final OutcomeCounts fetchOutcomes = new OutcomeCounts(BUCKETS, BUCKET_MS);
    private final Limit fetchLimit = new Limit(LIMIT_INITIAL, SCARCE_LIMIT_MIN);
    private int fetchesInFlight;
    private final RecentKeys recentKeys = new RecentKeys(MAX_RECENT_KEYS);
    private double now;
    /** Caches in use, sorted by id, so that floating-point sums over them are equal at every proxy. */
    private final List<Node> caches = new ArrayList<>();
    private final Ring ring = new Ring();
    /** Nodes changed since the ring was last updated; it is updated once per query, however many list changes come in between. */
    private final Set<Node> changedNodes = new LinkedHashSet<>();
    private double totalWeight;
    /** Share of the keys of which each zone keeps its own copy; bounded by what the origin can serve, as the misses double. */
    private double locallyCopiedShare = 1;
    private double localWeight; // of the caches in the proxy's own zone
    private Node origin;
    private int inFlightAtCaches;
    private double medianHeldPerCore;
    private double[] longestWaitMs = {}; // longest remaining time seen in a query, by grade
    private int walkNumber;
    private double retryBudget = RETRY_BUDGET_MAX;
    private boolean isListFollowed;
    private int listCallNumber;
    private double listRetryMs = LIST_RETRY_INITIAL_MS;
    private long queryCount; // queries taken so far
    private final double createdAt;
    private double typicalAnswerMs = 100; // mean over the timely answers of caches
    /** Estimated share of the idle connections worth their penalty that caches have room for; falls with failed connects. */
    private double keepIdleFactor = 1;
    /** Position of this proxy among all, from 0 to 1; proxies at different positions use different caches for a hot key. */
    private double position;

    /** A router without nodes; {@code random} is the source of all its random choices. */
    public Router(RouterSettings settings, RandomGenerator random, Host host, double nowMs) {
        this.settings = settings;
        this.random = random;
        this.host = host;
        timers = new Timers(host);
        now = nowMs;
        createdAt = nowMs;
        position = random.nextDouble();
        settingsChanged(nowMs, settings);
    }

    /** Applies new settings to later queries; open queries keep those they were accepted under. */
    public void settingsChanged(double nowMs, RouterSettings newSettings) {
        now = nowMs;
        settings = newSettings;
        longestWaitMs = new double[settings.grades().size()];
        highestImportance = settings.grades().stream().mapToDouble(ServiceGrade::importance).max().orElse(1);
        if (settings.askEveryMs() > 0 && !isListFollowed) {
            callListAfter(random.nextDouble() * LIST_FIRST_CALL_SPREAD_MS);
        }
    }

    /** Applies a new share of the fleet ({@code proxyCount} is its reciprocal), scaling learned limits, and a new position unless NaN. */
    public void fleetShareChanged(double proxyCount, double newPosition) {
        position = Double.isNaN(newPosition) ? position : newPosition;
        double factor = settings.proxyCount() / proxyCount;
        settings = settings.withProxyCount(proxyCount);
        nodes.values().forEach(n -> n.limit.size *= factor);
        List.of(fleetLimit, fetchLimit).forEach(limit -> limit.size *= factor);
        fleetLimit.minimum = Math.max(1, FLEET_LIMIT_MIN / proxyCount * caches.size());
    }

    /**
     * Replaces the whole list. {@code isRemembered}: the list was kept from an earlier run, so the list service has yet to be called.
     */
    public void listReplaced(double nowMs, List<Member> members, boolean isRemembered) {
        boolean wasFollowed = isListFollowed;
        nodes.values().forEach(n -> n.state = Member.State.GONE);
        changedNodes.addAll(nodes.values());
        listChanged(nowMs, members);
        nodes.values().removeIf(n -> n.state == Member.State.GONE);
        isListFollowed = wasFollowed || !isRemembered;
    }

    /** Applies an update of the list: only the given members have changed. */
    public void listChanged(double nowMs, List<Member> members) {
        now = nowMs;
        isListFollowed = true;
        listRetryMs = LIST_RETRY_INITIAL_MS;
        members.forEach(this::updateNode);
        if (settings.dynamicWeights()) {
            medianHeldPerCore = caches.stream().mapToDouble(n -> n.heldPerCore).sorted().skip(caches.size() / 2).findFirst().orElse(0);
        }
    }

    /** A call to the list service has failed. */
    public void listFailed(double nowMs) {
        now = nowMs;
        isListFollowed = false;
        // Protects the list service, which does not grow with the fleet: each failure lengthens the delay.
        callListAfter((0.2 + 0.8 * random.nextDouble()) * listRetryMs);
        listRetryMs = Math.min(LIST_RETRY_GROWTH * listRetryMs, Math.min(LIST_RETRY_MAX_MS, settings.askEveryMs() / 2));
    }

    private void callListAfter(double delayMs) {
        int callNumber = ++listCallNumber;
        timers.schedule(delayMs, () -> {
            if (callNumber == listCallNumber && !isListFollowed) {
                host.followList();
                callListAfter(settings.askEveryMs() * (0.56 + 0.24 * random.nextDouble())); // in case this call is not answered
            }
        });
    }

    private void updateNode(Member m) {
        boolean isOrigin = m.model() == settings.originModel();
        double initialLimit = Math.max(LIMIT_INITIAL_MIN, LIMIT_INITIAL / settings.proxyCount());
        Node n = nodes.computeIfAbsent(m.node(), id -> new Node(id, isOrigin, new OutcomeCounts(BUCKETS, BUCKET_MS),
                new Limit(initialLimit, isOrigin ? SCARCE_LIMIT_MIN : LIMIT_MIN), new DecayingShare(AVERAGING_QUERIES)));
        if (n.updateFrom(m, settings.staticWeights() && m.weight() > 0 ? m.weight() : 1, settings.dynamicWeights())) {
            changedNodes.add(n);
        }
        if (n.state == Member.State.GONE) {
            nodes.remove(n.id); // ids are never reused, so the map would grow without bound
        }
        updateShedShare(n);
    }

    /** Brings the ring up to date. It depends on the list only, so that proxies with one list agree and no other key moves. */
    private void updateRing() {
        boolean isFirst = caches.isEmpty();
        List<Node> leaving = changedNodes.stream().filter(n -> !n.isReady()).toList();
        ring.remove(leaving);
        caches.removeIf(n -> !n.isReady());
        List<Node> inUse = changedNodes.stream().filter(n -> n.isReady() && !n.isOrigin).toList();
        inUse.stream().filter(n -> n.ringSlot < 0).forEach(caches::add);
        caches.sort(BY_ID);
        ring.setLargestWeight(caches.stream().mapToDouble(n -> n.weight).max().orElse(1));
        inUse.forEach(ring::put);
        ring.mergeAppended();
        changedNodes.clear();
        origin = nodes.values().stream().filter(n -> n.isOrigin && n.isReady()).findFirst().orElse(null);
        totalWeight = caches.stream().mapToDouble(n -> n.weight).sum();
        localWeight = caches.stream().filter(n -> n.zone == settings.zone()).mapToDouble(n -> n.weight).sum();
        if (isFirst) {
            fleetLimit.size = Math.max(LIMIT_INITIAL_MIN, FLEET_LIMIT_INITIAL / settings.proxyCount() * caches.size());
            fetchLimit.size = FETCH_LIMIT_SHARE * fleetLimit.size;
        }
        fleetLimit.minimum = Math.max(1, FLEET_LIMIT_MIN / settings.proxyCount() * caches.size());
    }

    /** Updates the ring ahead of the first query: for a large fleet that takes a tenth of a second. */
    public void prepare() {
        if (!changedNodes.isEmpty()) {
            updateRing();
        }
    }

    /** Takes a new query; it is executed, rejected or aborted through the host. */
    public void query(double nowMs, QueryId id, QueryRequest request) {
        now = nowMs;
        prepare();
        Query q = new Query(id, settings, settings.grades().get(request.grade()), request);
        Key key = request.key();
        q.hash = Hash.mix(key.equals(Key.NONE) ? id.value() : key.value());
        q.deadline = now + request.remainingMs();
        double slowMs = SLOW_ANSWER_SHARE * q.grade.sloMs() + request.estimatedWorkMs();
        q.hasShortDeadline = Math.min(request.remainingMs(), q.grade.sloMs()) < slowMs;
        // Where an answer past the SLO time earns nothing, the query is given up then, which frees its node.
        boolean servedPastSlo = q.grade.tardyShare() > 0 || q.grade.semantics() == Semantics.NON_IDEMPOTENT;
        double elapsedMs = elapsedBefore(q.grade, request);
        double sloLeft = q.grade.sloMs() - 2 * settings.tickMs() - LAST_HOP_MS - elapsedMs;
        q.usefulUntil = servedPastSlo ? q.deadline : Math.min(q.deadline, now + sloLeft);
        queries.put(id, q);
        retryBudget = Math.min(RETRY_BUDGET_MAX, retryBudget + RETRY_BUDGET_RATIO);
        queryCount++;
        q.keyStats = recentKeys.computeIfAbsent(key, k -> new KeyStats(new DecayingShare(AVERAGING_QUERIES)));
        // Protects a hot key's owner: the key is spread over the weight it would fill, and each proxy's position selects a part of it.
        q.keyShare = key.equals(Key.NONE) ? 0 : q.keyStats.share.at(queryCount);
        q.localFirst = settings.crossZonePenalty() >= LOCAL_COPIES_MIN_PENALTY && Hash.fraction(Hash.mix(~q.hash)) < locallyCopiedShare;
        q.weightToSkip = HOT_KEY_SPREAD * q.keyShare * (q.localFirst ? localWeight : totalWeight) * position;
        q.keyStats.share.add(queryCount);
        if (!caches.isEmpty()) {
            closeIfRarelyUsed(caches.get((int) (queryCount % caches.size())));
        }
        // Protects caches from work whose answer would come too late for the client.
        if (elapsedMs > 0 && q.usefulUntil - now < MIN_TIME_LEFT_SHARE * q.grade.sloMs()) {
            rejectOrAbort(q);
        } else {
            route(q);
        }
    }

    /** Minimum time in ms since the first try of a retrying client: the remaining time of its last try is cut by its overall deadline. */
    private double elapsedBefore(ServiceGrade grade, QueryRequest request) {
        longestWaitMs[request.grade()] = Math.max(longestWaitMs[request.grade()], request.remainingMs());
        boolean isLast = request.isRetry() && request.remainingMs() < longestWaitMs[request.grade()] - DEADLINE_TOLERANCE_MS;
        return isLast ? Math.max(0, grade.timeoutMs() - request.remainingMs()) : 0;
    }

    /** The client has disconnected or stopped waiting. */
    public void clientLeft(double nowMs, QueryId id) {
        now = nowMs;
        Query q = queries.get(id);
        if (q != null && !q.answered) {
            finish(q);
        }
    }

    /** The first bytes of a streamed answer have arrived; its execution is not cancelled any more. */
    public void streamStarted(double nowMs, QueryId id, int execution) {
        now = nowMs;
        Query q = queries.get(id);
        if (q != null && execution < q.executions.size()) {
            q.streaming = true;
            q.executions.get(execution).node.recordAnswer(now);
        }
    }

    /** The large value that answers the query is being passed on; it is kept until {@link #valueEnded} or {@link #valueBroke}. */
    public void valueBegun(QueryId id) {
        Query q = queries.get(id);
        if (q != null) {
            q.isValueArriving = true;
        }
    }

    /** The client has the whole value, or never will. */
    public void valueEnded(QueryId id) {
        Query q = queries.get(id);
        if (q != null) {
            q.isValueArriving = false;
            removeIfDone(q);
        }
    }

    /**
     * The value broke off, and the client waits for the rest: the query is open again, until its deadline. Another node may execute it, under the limits that
     * hold for any retry.
     */
    public void valueBroke(double nowMs, QueryId id, int execution) {
        now = nowMs;
        Query q = queries.get(id);
        if (q == null || !q.isValueArriving) {
            return;
        }
        q.isValueArriving = false;
        q.answered = false;
        q.usefulUntil = q.deadline;
        recordOutcome(q, q.executions.get(execution), Outcome.RESET, 0);
        continueAfter(q, Outcome.RESET);
    }

    /** A timer that was started through {@link Host#startTimer} is due. */
    public void timerFired(double nowMs, TimerId timer) {
        now = nowMs;
        timers.fire(timer);
    }

    private void route(Query q) {
        boolean isCacheAside = settings.originModel() >= 0;
        if (isCacheAside && (q.request.write() || q.executionsLeft() == 1 || q.firstMissedAt() != null)) {
            sendToOrigin(q);
            return;
        }
        // Protects caches from retries for a missing key while the origin has no room to serve it.
        if (isCacheAside && q.keyStats.missedAt > now - RECENT_MISS_MS && !originHasRoom(q)) {
            rejectOrAbort(q);
            return;
        }
        // Prevents an overload of all caches: more in flight would only make every answer late.
        boolean fleetHasRoom = hasRoom(inFlightAtCaches, fleetLimit, q);
        Node n = fleetHasRoom ? chooseCache(q) : null;
        if (n != null && !(mayFetch(q, n) && !hasRoom(fetchesInFlight, fetchLimit, q))) {
            send(q, n);
        } else if (isCacheAside && fleetHasRoom && !q.metFullCache) {
            sendToOrigin(q);
        } else {
            rejectOrAbort(q);
        }
    }

    /** The first usable cache clockwise, or one of the next two if it is busy (load skip); null if none has room. */
    private Node chooseCache(Query q) {
        Node leastLoaded = null;
        int candidates = 0;
        int skipped = 0;
        double weightLeftToSkip = q.weightToSkip;
        q.metFullCache = false;
        walkNumber++;
        ring.seek(q.hash);
        boolean localOnly = q.localFirst;
        int step = localOnly ? 0 : ring.size();
        for (; step < 2 * ring.size() && (localOnly || candidates < CANDIDATES); step++) {
            if (step == ring.size()) {
                candidates = 0;
                localOnly = false;
                ring.seek(q.hash);
            }
            Node n = ring.nextToken();
            if (n.lastWalk == walkNumber || localOnly && n.zone != settings.zone()) {
                continue;
            }
            n.lastWalk = walkNumber;
            if (!isUsable(n, q)) {
                continue;
            }
            weightLeftToSkip -= n.weight;
            if (weightLeftToSkip >= 0 && ++skipped < Math.min(HOT_KEY_MAX_CACHES, caches.size() - 1)) {
                continue;
            }
            candidates++;
            boolean full = !hasRoom(n.inFlight, n.limit, q);
            q.metFullCache |= full;
            if (!full && !(settings.dynamicWeights() ? isShed(n, q) : isBusy(n))) {
                return n;
            }
            if (!full && (leastLoaded == null || n.inFlight / n.weight < leastLoaded.inFlight / leastLoaded.weight)) {
                leastLoaded = n;
            }
            if (localOnly && candidates == CANDIDATES) { // the local zone has no room: start over with all zones
                step = ring.size() - 1;
            }
        }
        return leastLoaded;
    }

    private boolean isBusy(Node n) {
        return n.inFlight > Math.max(LOAD_SKIP_MIN_IN_FLIGHT, LOAD_SKIP_FACTOR * (inFlightAtCaches / totalWeight) * n.weight)
                || n.busyUntil > now && !areCachesOverloaded();
    }

    /** Relieves a cache that the list reports as overloaded: each proxy moves a share of its keys to the successors. The share rises fast and
     * falls slowly, since the report is late and the same for all proxies, which would otherwise move back and forth together. */
    private void updateShedShare(Node n) {
        double excess = n.heldPerCore / Math.max(HELD_PER_CORE_FLOOR, LOAD_SKIP_FACTOR * medianHeldPerCore) - 1;
        double targetShare = excess > 0 ? 1 - (1 - n.shedShare) / (excess + 1) : 0; // load is taken as proportional to the keys it keeps
        n.shedShare += (targetShare > n.shedShare ? SHED_INCREASE : SHED_DECREASE) * (targetShare - n.shedShare);
    }

    /** Each proxy sheds a different part of the keys, so that a hot key is split between proxies. */
    private boolean isShed(Node n, Query q) {
        return (Hash.fraction(Hash.mix(q.hash) ^ n.seed) + position) % 1 < n.shedShare;
    }

    /** Whether a read-through cache may have to fetch the key, as it is not known to hold it. Limited, to protect the origin and cache slots. */
    private boolean mayFetch(Query q, Node n) {
        return settings.originModel() < 0 && q.keyStats.heldBy != n;
    }

    /** Whether the limit leaves room. Below one it is a probability, so that many proxies with little traffic can share a scarce node. */
    private boolean hasRoom(int inFlight, Limit limit, Query q) {
        double importance = q.grade.importance() / highestImportance;
        double room = limit.size * (LIMIT_SHARE_FOR_ALL + (1 - LIMIT_SHARE_FOR_ALL) * importance);
        return inFlight < room && (limit.size >= 1 || random.nextDouble() < room);
    }

    /** Additive increase: by one for each full round of good answers, and below one by a share. */
    private void grow(Limit limit, int inFlight) {
        limit.size += inFlight + 1 >= limit.size / 2 ? Math.min(1 / limit.size, limit.size * SMALL_LIMIT_GROWTH) : 0;
    }

    /** Multiplicative decrease, unless the execution was sent before the last one: it says nothing about the new size. */
    private void cut(Limit limit, double sentAt) {
        if (sentAt >= limit.lastCut) {
            limit.lastCut = now;
            limit.size = Math.max(limit.minimum, limit.size * LIMIT_BACKOFF);
        }
    }

    private boolean isUsable(Node n, Query q) {
        if (!n.isReady() || q.wasTriedAt(n) || !mayRunAt(q, n)
                || n.ejectedUntil > now || n.ejectedUntil > 0 && n.inFlight > 0) {
            return false;
        }
        // Protects a cold cache: every proxy sends it the same share of its keys.
        return warmth(n) >= 1 || Hash.fraction(q.hash ^ n.seed) < warmth(n) && withinColdBudget(n, q);
    }

    /** Protects a cold cache: no key above the share it can take, and fewer at random while more is sent than answered. */
    private boolean withinColdBudget(Node n, Query q) {
        double answered = cacheOutcomes.count(now, BUCKET_MS * BUCKETS, OutcomeCounts.GOOD)
                + fetchOutcomes.count(now, BUCKET_MS * BUCKETS, OutcomeCounts.GOOD);
        double sent = cacheOutcomes.count(now, BUCKET_MS * BUCKETS, OutcomeCounts.SENT);
        return q.keyShare * totalWeight < COLD_KEY_FACTOR * warmth(n) * n.weight
                && random.nextDouble() * sent <= COLD_SENT_FACTOR * answered + 1;
    }

    /** Share of its usual traffic that a recently started cache gets; 1 for a warm one. */
    private double warmth(Node n) {
        double age = now - n.startedAt;
        return n.startedAt <= 0 || age >= settings.warmAfterMs() ? 1
                : Math.min(1, settings.fallMultiple() / COLD_FULL_SHARE_MULTIPLE) * (settings.coldFrom()
                        + (1 - settings.coldFrom()) * Math.max(0, age) / settings.warmAfterMs());
    }

    /**
     * Whether a further execution at the node is allowed by the grade's repeat semantics. Where nodes do not all share their deduplication, a process
     * that started after the first execution knows nothing of it.
     */
    private boolean mayRunAt(Query q, Node n) {
        Execution first = q.firstThatMayHaveRun();
        return first == null || q.grade.semantics() == Semantics.IDEMPOTENT
                || q.grade.semantics() == Semantics.DEDUPLICATED
                && now < first.sentAt + q.grade.dedupWindowMs() - 2 * q.settings.tickMs() && switch (q.grade.dedupScope()) {
                    case ALL -> true;
                    case ZONE -> n.zone == first.node.zone && n.startedAt <= first.sentAt;
                    case CELL -> n.cell == first.node.cell && n.startedAt <= first.sentAt;
                };
    }

    private void send(Query q, Node n) {
        double left = q.usefulUntil - now;
        double timeout = q.usefulUntil < q.deadline ? left : 0;
        boolean repeatable = q.grade.semantics() == Semantics.IDEMPOTENT && q.executionsLeft() > 1
                && caches.size() > 1 && !q.grade.stream();
        if (repeatable && !n.isOrigin && !q.settings.parallelExecutions()) {
            // In case the cache never answers: leaves a successor time to answer within the SLO time.
            timeout = Math.min(left, Math.max(EXECUTION_TIMEOUT_SHARE * left, MIN_TIME_LEFT_SHARE * q.grade.sloMs()));
        }
        Execution e = new Execution(n, now, mayFetch(q, n));
        fetchesInFlight += e.mayFetch ? 1 : 0;
        q.executions.add(e);
        q.inFlight++;
        n.inFlight++;
        n.outcomes.add(now, OutcomeCounts.SENT);
        n.queryShare.add(queryCount);
        n.mayBeConnected = true;
        inFlightAtCaches += n.isOrigin ? 0 : 1;
        if (!n.isOrigin) {
            cacheOutcomes.add(now, OutcomeCounts.SENT);
        }
        host.execute(q.id, n.id, timeout);
        if (repeatable && q.settings.parallelExecutions() && (n.isOrigin || q.executions.size() == 1)) {
            timers.schedule(HEDGE_DELAY_SHARE * q.grade.sloMs(), () -> hedge(q, e));
        }
    }

    /** Hedges against one slow or silent node: sends a copy to another while it could still answer in time. */
    private void hedge(Query q, Execution first) {
        if (q.answered || first.ended || q.streaming) {
            return;
        }
        first.isStuck = true; // an execution stuck at one slow cache says nothing about the fleet
        boolean atOrigin = first.node.isOrigin; // if late while other answers are quick, it was lost in transit
        inFlightAtCaches -= atOrigin ? 0 : 1;
        recordIfSilent(first);
        // Not with read-through caches: a copy is one more fetch at the origin, which cannot be cancelled.
        boolean mayHedge = settings.originModel() >= 0 && q.inFlight == 1 && retryBudget >= 1 && (!atOrigin
                || first.node.meanAnswerMs < QUICK_SHARE * q.grade.sloMs()) && q.executionsLeft() >= (atOrigin ? 1 : 2);
        Node n = mayHedge ? originHasRoom(q) ? origin : atOrigin ? null : chooseCache(q) : null;
        if (n != null) {
            retryBudget--;
            send(q, n);
        }
    }

    private boolean originHasRoom(Query q) {
        return origin != null && origin.isReady() && mayRunAt(q, origin)
                && hasRoom(origin.inFlight, origin.limit, q);
    }

    private void sendToOrigin(Query q) {
        // Protects the origin: its in-flight limit reserves the last places for important queries.
        if (q.executionsLeft() > 0 && originHasRoom(q)) {
            send(q, origin);
        } else {
            rejectOrAbort(q);
        }
    }

    /** An execution has ended after {@code tookMs}; {@code finished}: its query has been answered. */
    public void executionEnded(double nowMs, QueryId id, int execution, Outcome outcome, double tookMs,
                               boolean finished) {
        now = nowMs;
        Query q = queries.get(id);
        if (q == null || execution >= q.executions.size() || q.executions.get(execution).ended) {
            return;
        }
        Execution e = q.executions.get(execution);
        e.end(outcome);
        q.inFlight--;
        if (outcome == Outcome.TIMED_OUT || outcome == Outcome.CANCELLED) {
            // The node may go on with the abandoned work: its place stays taken for as long again.
            timers.schedule(Math.min(tookMs, q.grade.sloMs()), () -> release(e));
        } else {
            release(e);
        }
        q.keyStats.update(outcome, e.node, now);
        recordOutcome(q, e, outcome, tookMs);
        if (finished && !q.answered) {
            finish(q);
        } else if (!q.answered) {
            continueAfter(q, outcome);
        } else {
            removeIfDone(q);
        }
    }

    private void removeIfDone(Query q) {
        if (q.answered && q.inFlight == 0 && !q.isValueArriving) {
            queries.remove(q.id);
        }
    }

    /** Closes idle connections that cost more than they save: many proxies holding rarely used ones would fill the caches' tables. */
    private void closeIfRarelyUsed(Node n) {
        // A cache serves about one query in the time that a query takes, which gives the value of an open connection.
        double worthMs = keepIdleFactor * KEEP_IDLE_SHARE * 100 * typicalAnswerMs * settings.handshakePenalty();
        double penalty = Math.max(settings.connectionPenalty(), FULL_TABLE_PENALTY * (1 - keepIdleFactor));
        if (n.mayBeConnected && n.inFlight == 0 && n.queryShare.at(queryCount) * queryCount * worthMs < (now - createdAt) * penalty) {
            n.mayBeConnected = false;
            host.closeIdle(n.id);
        }
    }

    private void release(Execution e) {
        e.node.inFlight--;
        closeIfRarelyUsed(e.node);
        inFlightAtCaches -= e.node.isOrigin || e.isStuck ? 0 : 1;
        fetchesInFlight -= e.mayFetch ? 1 : 0;
    }

    private void continueAfter(Query q, Outcome outcome) {
        if (outcome == Outcome.MISS && !q.isAtOrigin()) {
            sendToOrigin(q);
            return;
        }
        boolean repeatable = q.firstThatMayHaveRun() == null || q.grade.semantics() != Semantics.NON_IDEMPOTENT;
        boolean timeLeft = q.usefulUntil - now > MIN_TIME_LEFT_SHARE * q.grade.sloMs();
        if (q.inFlight > 0 || !repeatable || !timeLeft || q.executionsLeft() == 0 || retryBudget < 1
                || outcome == Outcome.UNSENT) {
            rejectOrAbort(q);
            return;
        }
        retryBudget--;
        if (outcome == Outcome.FULL && originHasRoom(q)) {
            send(q, origin);
        } else {
            route(q);
        }
    }

    /** Updates the node's state, the limits and the statistics with the outcome of an execution. */
    private void recordOutcome(Query q, Execution e, Outcome outcome, double tookMs) {
        Node n = e.node;
        double slowShare = n.isOrigin ? SLOW_ORIGIN_SHARE : SLOW_ANSWER_SHARE;
        boolean slow = tookMs > slowShare * q.grade.sloMs() + q.request.estimatedWorkMs();
        boolean late = slow || outcome == Outcome.TIMED_OUT && !q.hasShortDeadline;
        if (n.isOrigin) {
            boolean isQueued = tookMs > SLOW_ANSWER_SHARE * q.grade.sloMs(); // an answer lost in transit does not indicate a queue
            boolean isInformative = outcome == Outcome.COMPLETED && !q.request.write();
            double step = !isInformative ? 0 : isQueued ? -LOCAL_COPIES_DECREASE : LOCAL_COPIES_INCREASE;
            locallyCopiedShare = Math.max(0, Math.min(1, locallyCopiedShare + step));
            n.outcomes.add(now, late ? OutcomeCounts.BAD : OutcomeCounts.GOOD);
        } else if (outcome == Outcome.TIMED_OUT && late) {
            adjustLimits(e, true);
            recordIfSilent(e);
        }
        boolean answered = outcome == Outcome.COMPLETED || outcome == Outcome.MISS;
        n.meanAnswerMs += answered ? (tookMs - n.meanAnswerMs) / AVERAGING_QUERIES : 0;
        // Protects the origin's limit: an answer that is late while the others are quick was lost in transit, not queued.
        boolean quick = n.meanAnswerMs < QUICK_SHARE * q.grade.sloMs();
        double span = quick ? BUCKETS * BUCKET_MS : OVERLOAD_WINDOW_MS;
        boolean indicatesQueue = late && !(n.isOrigin && n.outcomes.count(now, span, OutcomeCounts.GOOD) >= OVERLOAD_MIN_ANSWERS
                && n.outcomes.badShare(now, span, OVERLOAD_MIN_ANSWERS) < (quick ? LOST_SHARE : OVERLOAD_SHARE));
        if (answered || outcome == Outcome.FULL || outcome == Outcome.ERRED) {
            n.recordAnswer(now);
        }
        boolean alive = n.isOrigin && n.lastAnswerAt > now - q.grade.sloMs(); // then a failed connect does not mean that the node is down
        if (indicatesQueue || outcome == Outcome.FULL || outcome == Outcome.CONNECT_FAILED && !alive) {
            cut(n.limit, e.sentAt);
        } else if (answered) {
            grow(n.limit, n.inFlight);
        }
        switch (outcome) {
            case COMPLETED, MISS -> {
                if (!n.isOrigin) {
                    n.outcomes.add(now, OutcomeCounts.GOOD);
                    typicalAnswerMs += slow ? 0 : (tookMs - typicalAnswerMs) / AVERAGING_QUERIES;
                    adjustLimits(e, slow);
                }
                if (n.ejectedUntil > 0 && --n.trialsLeft <= 0) {
                    n.ejectedUntil = 0;
                    n.outcomes.clear();
                }
            }
            case ERRED, RESET -> { // one reset concerns its connection only; a dead process fails the next connect
                n.outcomes.add(now, OutcomeCounts.BAD);
                double share = n.outcomes.badShare(now, BUCKET_MS * BUCKETS, EJECTION_MIN_ANSWERS);
                if (n.ejectedUntil > 0 || share > EJECTION_ERROR_SHARE) {
                    eject(n, outcome.toString());
                }
            }
            case FULL -> markBusy(n);
            case CONNECT_FAILED -> {
                keepIdleFactor *= KEEP_IDLE_BACKOFF;
                recordFailure(n, outcome.toString());
            }
        }
    }

    /** Relieves a cache with a queue: its successors take its keys for a while, unless they are overloaded, too. */
    private void markBusy(Node n) {
        n.busyUntil = now + busyMs() * (0.5 + random.nextDouble());
    }

    /** How long an observation of a cache stays valid: with little traffic a proxy observes each cache rarely. */
    private double busyMs() {
        return Math.max(BUSY_MIN_MS, Math.min(BUSY_MAX_MS, BUSY_QUERIES * (now - createdAt) / queryCount));
    }

    /** Updates the statistics and limits of hits or fetches with one answer of a cache. */
    private void adjustLimits(Execution e, boolean slow) {
        OutcomeCounts outcomes = e.mayFetch ? fetchOutcomes : cacheOutcomes;
        Limit limit = e.mayFetch ? fetchLimit : fleetLimit;
        if (slow && !e.mayFetch) {
            markBusy(e.node);
        } else if (!e.mayFetch) {
            e.node.busyUntil = 0;
        }
        outcomes.add(now, slow ? OutcomeCounts.BAD : OutcomeCounts.GOOD);
        if (!slow) {
            grow(fleetLimit, inFlightAtCaches);
            grow(fetchLimit, fetchesInFlight);
            keepIdleFactor = Math.min(1, keepIdleFactor + KEEP_IDLE_GROWTH);
        } else if (e.mayFetch ? isOftenLate(outcomes) : areCachesOverloaded()) {
            cut(limit, e.sentAt);
        }
    }

    /** Whether recent answers are often late; with little traffic the window is longer and fewer answers suffice. */
    private boolean isOftenLate(OutcomeCounts outcomes) {
        boolean busy = outcomes.count(now, OVERLOAD_WINDOW_MS, OutcomeCounts.GOOD) + outcomes.count(now, OVERLOAD_WINDOW_MS, OutcomeCounts.BAD)
                >= OVERLOAD_MIN_ANSWERS;
        return outcomes.badShare(now, busy ? OVERLOAD_WINDOW_MS : BUCKETS * BUCKET_MS, OVERLOAD_MIN_ANSWERS_LOW_TRAFFIC) > OVERLOAD_SHARE;
    }

    /** Counts the weight of caches instead of answers: a few slow caches are no overload, and ejected ones do not count. */
    private boolean areCachesOverloaded() {
        double slowWeight = 0;
        double heardWeight = 0;
        for (Node n : caches) {
            heardWeight += n.lastAnswerAt > now - busyMs() && n.ejectedUntil <= now ? n.weight : 0;
            slowWeight += n.busyUntil > now && n.ejectedUntil <= now ? n.weight : 0;
        }
        return slowWeight > OVERLOAD_CACHE_SHARE * heardWeight;
    }

    /** Counts a failure of a cache that has not answered since, unless the other caches show an overload. */
    private void recordIfSilent(Execution e) {
        if (e.node.lastAnswerAt < e.sentAt && !areCachesOverloaded()) {
            recordFailure(e.node, "silence");
        }
    }

    private void recordFailure(Node n, String reason) {
        if (++n.consecutiveFailures >= EJECTION_FAILURES || n.ejectedUntil > 0) {
            eject(n, reason);
        }
    }

    private void eject(Node n, String reason) {
        double ejectedWeight = caches.stream().filter(c -> c == n || c.ejectedUntil > 0).mapToDouble(c -> c.weight).sum();
        // A failure shared by all caches, such as a slow origin, must not empty the ring.
        if (n.isOrigin || n.ejectedUntil == 0 && ejectedWeight > MAX_EJECTED_SHARE * totalWeight) {
            return;
        }
        host.log("aside " + Long.toHexString(n.id.value()) + ": " + reason);
        n.trialsLeft = TRIAL_SUCCESSES;
        n.ejectedUntil = now + EJECTION_MS + EJECTION_JITTER_MS * random.nextDouble();
    }

    /** What has been learned about the listed nodes, for a router that takes over. */
    public List<NodeHealth> nodeHealth() {
        return nodes.values().stream().map(Node::health).filter(one -> one != null).toList();
    }

    /**
     * Restores what the previous router learned, so that the first seconds after a takeover avoid known bad nodes. Nodes that are not
     * listed, or have restarted since, are left as they are.
     */
    public void restoreNodeHealth(double nowMs, List<NodeHealth> restored) {
        double maxEjectedUntil = nowMs + EJECTION_MS + EJECTION_JITTER_MS;
        restored.stream().filter(k -> nodes.containsKey(k.node()))
                .forEach(k -> nodes.get(k.node()).restoreHealth(k, maxEjectedUntil, nowMs + BUSY_MAX_MS, TRIAL_SUCCESSES));
    }

    /** Number of listed nodes that are not ready or are ejected. */
    public int unavailableCount(double nowMs) {
        return (int) nodes.values().stream().filter(n -> !n.isReady() || n.ejectedUntil > nowMs).count();
    }

    /** Rejects or aborts the query, unless another execution in flight may still answer it. */
    private void rejectOrAbort(Query q) {
        if (q.inFlight > 0) {
            return;
        }
        if (q.grade.semantics() == Semantics.IDEMPOTENT || q.firstThatMayHaveRun() == null) {
            double retryAfterMs = RETRY_AFTER_SHARE * (1 + random.nextDouble()) * q.grade.sloMs();
            host.reject(q.id, Math.min(q.settings.maxRetryAfterMs(), retryAfterMs));
        } else {
            host.abort(q.id);
        }
        finish(q);
    }

    /** The query has been answered: no further execution is started, and those in flight are cancelled where possible. */
    private void finish(Query q) {
        q.answered = true;
        for (int i = 0; i < q.executions.size() && q.settings.mayCancel() && !q.streaming; i++) {
            if (!q.executions.get(i).ended) {
                host.cancel(q.id, i);
            }
        }
        removeIfDone(q);
    }
}
