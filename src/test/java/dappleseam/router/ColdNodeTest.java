package dappleseam.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The total that many routers without shared state send to a cold cache; rule 4, its capacity, holds for the sum. */
class ColdNodeTest {
    private static final int CACHES = 12;
    private static final int KEYS = 3000;
    private static final double WARM_AFTER_MS = 6000;
    private static final double STARTS_AT = 5000;
    private static final double ENDS_AT = STARTS_AT + WARM_AFTER_MS;
    private static final NodeId COLD = new NodeId(3);

    private record Event(double at, long number, Runnable action) {}

    /** Many proxies, twelve caches of which one restarts, and an origin, in simulated time. */
    private static final class SimulatedFleet {
        final SplittableRandom random;
        final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
        final List<Router> routers = new ArrayList<>();
        /** Keys that the cold cache holds by now. */
        final Set<Integer> keysAtColdCache = new HashSet<>();
        final List<Integer> keyOf = new ArrayList<>(List.of(0));
        final double[] cumulativeWeights = new double[KEYS];
        final double perSecond;
        final double capacityPerSecond;
        final ArrayDeque<Double> window = new ArrayDeque<>();
        double now;
        long count;
        int queries;
        /** Highest ratio of executions at the cold cache in a window to its capacity. */
        double maxLoad;

        final double multiple;
        final double windowMs;
        final double coldFrom;

        SimulatedFleet(long seed, int proxies, double perSecond, double load, double skew, double multiple, double windowMs, double coldFrom,
              double configuredMultiple) {
            this.multiple = multiple;
            this.windowMs = windowMs;
            this.coldFrom = coldFrom;
            random = new SplittableRandom(seed);
            this.perSecond = perSecond;
            capacityPerSecond = perSecond / CACHES / load;
            double sum = 0;
            for (int i = 0; i < KEYS; i++) {
                sum += 1 / Math.pow(i + 4, skew);
                cumulativeWeights[i] = sum;
            }
            RouterSettings settings = new RouterSettings(List.of(TestProxy.READ), proxies, TestProxy.ORIGIN_MODEL, true, false, 0, 0, 1, 4, true, true, 1000,
                    10_000, coldFrom, WARM_AFTER_MS, configuredMultiple, 0.08, 0.08);
            for (int i = 0; i < proxies; i++) {
                int index = i;
                routers.add(new Router(settings, random.split(), new ProxyHost(index), 0));
                routers.get(i).listReplaced(0, list(0), false);
            }
            // Uneven traffic: some proxies get several times the mean.
            double[] share = random.doubles(proxies).map(x -> 0.3 + 3 * x * x * x).toArray();
            double all = Arrays.stream(share).sum();
            for (int i = 0; i < proxies; i++) {
                scheduleArrival(i, perSecond * share[i] / all);
            }
        }

        static List<Member> list(double startedAt) {
            List<Member> members = new ArrayList<>(List.of(TestProxy.ready(TestProxy.ORIGIN.value())));
            for (int i = 1; i <= CACHES; i++) {
                members.add(TestProxy.member(i, Member.State.READY, i == COLD.value() ? startedAt : 0));
            }
            return members;
        }

        void at(double when, Runnable action) {
            events.add(new Event(when, count++, action));
        }

        void scheduleArrival(int proxy, double rate) {
            double burst = now > STARTS_AT && now < STARTS_AT + 3000 ? 1.5 : 1;
            at(now - Math.log(1 - random.nextDouble()) * 1000 / (rate * burst), () -> {
                double x = random.nextDouble() * cumulativeWeights[KEYS - 1];
                int key = Arrays.binarySearch(cumulativeWeights, x);
                key = key < 0 ? -key - 1 : key;
                keyOf.add(key);
                routers.get(proxy).query(now, new QueryId(++queries), new QueryRequest(0, new Key(Hash.mix(key + 1)), 2000, 0, false, false));
                scheduleArrival(proxy, rate);
            });
        }

        double coldCapacity(double at) {
            double warm = coldFrom + (1 - coldFrom) * Math.min(1, (at - STARTS_AT) / WARM_AFTER_MS);
            double n = multiple * capacityPerSecond * warm * windowMs / 1000;
            return n + 2 * Math.sqrt(n) + 2;
        }

        void simulate() {
            at(STARTS_AT, () -> {
                keysAtColdCache.clear();
                routers.forEach(r -> r.listReplaced(now, list(STARTS_AT), false));
            });
            while (!events.isEmpty() && events.peek().at < ENDS_AT) {
                Event next = events.poll();
                now = next.at;
                next.action.run();
            }
        }

        private final class ProxyHost implements Host {
            final int proxyIndex;
            final Map<QueryId, Integer> executionCounts = new HashMap<>();
            final Map<QueryId, Boolean> finishedQueries = new HashMap<>();

            ProxyHost(int proxyIndex) {
                this.proxyIndex = proxyIndex;
            }

            @Override
            public void execute(QueryId query, NodeId node, double timeoutMs) {
                int number = executionCounts.merge(query, 1, Integer::sum) - 1;
                boolean isCold = node.equals(COLD) && now >= STARTS_AT;
                if (isCold) {
                    window.add(now);
                    while (window.peek() < now - windowMs) {
                        window.poll();
                    }
                    maxLoad = Math.max(maxLoad, window.size() / coldCapacity(now));
                }
                boolean misses = isCold && keysAtColdCache.add(keyOf.get(query.value()));
                double took = node.equals(TestProxy.ORIGIN) ? 80 : 10 + 30 * random.nextDouble();
                at(now + took, () -> {
                    boolean finished = misses ? finishedQueries.getOrDefault(query, false) : true;
                    finishedQueries.put(query, finished);
                    routers.get(proxyIndex).executionEnded(now, query, number, misses ? Outcome.MISS : Outcome.COMPLETED, took, finished);
                });
            }

            @Override
            public void cancel(QueryId query, int execution) {}

            @Override
            public void reject(QueryId query, double retryAfterMs) {
                finishedQueries.put(query, true);
            }

            @Override
            public void abort(QueryId query) {
                finishedQueries.put(query, true);
            }

            @Override
            public void closeIdle(NodeId node) {}

            @Override
            public void followList() {}

            @Override
            public void startTimer(TimerId timer, double delayMs) {
                at(now + delayMs, () -> routers.get(proxyIndex).timerFired(now, timer));
            }

            @Override
            public void log(String text) {}
        }
    }

    /** Twenty to thirty proxies and a burst while a cache returns cold, with the fall multiples and windows of all deployments. */
    @ParameterizedTest
    @CsvSource({"20,600,0.9,1.0,3,1500,0.36", "30,150,0.9,1.0,3,1500,0.36", "30,60,0.9,1.2,3,1500,0.36", "30,600,0.6,1.2,4,1500,0.13",
        "25,300,0.9,1.2,3,1500,0.36", "20,600,0.9,1.0,2,1000,0.3", "30,600,0.9,1.2,2,1000,0.3", "30,150,0.9,1.2,2,1000,0.15", "30,600,0.9,1.2,2,1000,0.15"})
    void allProxiesTogetherStayWithinTheCapacityOfAColdCache(int proxies, double perSecond, double load, double skew, double multiple, double windowMs,
                                                   double coldFrom) {
        assertThat(highestLoad(proxies, perSecond, load, skew, multiple, windowMs, coldFrom, multiple)).isLessThan(1);
    }

    /** Proves that the check can fail: the routers are given a higher fall multiple than the cache has. */
    @Test
    void aColdCacheIsOverloadedIfItsCapacityIsOverstated() {
        assertThat(highestLoad(30, 600, 0.9, 1.2, 2, 1000, 0.3, 3)).isGreaterThan(1);
    }

    private static double highestLoad(int proxies, double perSecond, double load, double skew, double multiple, double windowMs, double coldFrom,
                                double configuredMultiple) {
        double highest = 0;
        for (int seed = 1; seed <= 20; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(seed, proxies, perSecond, load, skew, multiple, windowMs, coldFrom, configuredMultiple);
            fleet.simulate();
            highest = Math.max(highest, fleet.maxLoad);
        }
        return highest;
    }
}
