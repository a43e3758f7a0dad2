package dappleseam.lab.fleet;

import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.share.TrafficPosition;
import dappleseam.router.Hash;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * Measures which of several copies of a hot key each proxy uses, with the shipped {@link TrafficPosition} and with the baselines implemented here:
 * random choice, rendezvous hashing (Thaler, Ravishankar 1998) and deterministic subsetting (Google's SRE book, chapter 20) with subsets of one.
 * Traffic is skewed: some proxies have twenty times as much as others.
 */
public record SubsetMeasurement(int proxies, int locations, int copies, long seed) {
    /** How a proxy selects its copy. */
    public enum Strategy { CHANCE, RENDEZVOUS, DETERMINISTIC,
        /** The shipped traffic positions computed over all proxies, ignoring locations, as before proxies announced their locations. */
        ONE_LINE,
        /** The shipped strategy: traffic positions within each location. */
        PLACES
    }

    /**
     * {@code peak}: the busiest copy's traffic relative to the mean; {@code locationPeak}: the same at the worst location, where each location has that
     * many copies of its own; {@code proxyCountPeak}: the same by number of proxies instead of traffic; {@code moved}: mean number of proxies that change
     * their copy when one proxy joins or leaves.
     */
    public record Result(double peak, double locationPeak, double proxyCountPeak, double moved) {}

    private Map<MemberName, Double> traffic(int count) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<MemberName, Double> traffic = new HashMap<>();
        for (int i = 0; i < count; i++) {
            traffic.put(new MemberName("proxy-" + seed + '-' + i), 1 / (0.05 + random.nextDouble()));
        }
        return traffic;
    }

    private Map<MemberName, Integer> assign(Strategy strategy, Map<MemberName, Double> traffic) {
        List<MemberName> numbered = new ArrayList<>(traffic.keySet());
        numbered.sort(Comparator.comparing(MemberName::text));
        Map<MemberName, Integer> assigned = new HashMap<>();
        for (int i = 0; i < numbered.size(); i++) {
            MemberName name = numbered.get(i);
            assigned.put(name, switch (strategy) {
                case CHANCE -> (int) (copies * new SplittableRandom(seed ^ name.hashCode()).nextDouble());
                case RENDEZVOUS -> rendezvous(name);
                case DETERMINISTIC -> deterministic(i);
                case ONE_LINE -> (int) (copies * TrafficPosition.of(name, traffic));
                case PLACES -> (int) (copies * TrafficPosition.of(name, trafficAt(location(name), traffic)));
            });
        }
        return assigned;
    }

    private int location(MemberName name) {
        return Integer.parseInt(name.text().substring(name.text().lastIndexOf('-') + 1)) % locations;
    }

    private Map<MemberName, Double> trafficAt(int location, Map<MemberName, Double> traffic) {
        Map<MemberName, Double> local = new HashMap<>(traffic);
        local.keySet().removeIf(name -> location(name) != location);
        return local;
    }

    private int rendezvous(MemberName name) {
        int best = 0;
        for (int copy = 1; copy < copies; copy++) {
            best = weight(name, copy) > weight(name, best) ? copy : best;
        }
        return best;
    }

    private static long weight(MemberName name, int copy) {
        return Hash.mix(Hash.mix(name.hashCode()) + copy);
    }

    /** Divides the clients into rounds of as many clients as there are copies; each round shuffles the copies differently. */
    private int deterministic(int client) {
        List<Integer> order = new ArrayList<>();
        for (int copy = 0; copy < copies; copy++) {
            order.add(copy);
        }
        Collections.shuffle(order, new Random(client / copies));
        return order.get(client % copies);
    }

    public Result measure(Strategy strategy) {
        Map<MemberName, Double> traffic = traffic(proxies);
        Map<MemberName, Integer> before = assign(strategy, traffic);
        double[] served = new double[copies];
        double[] proxyCounts = new double[copies];
        double[][] servedByLocation = new double[locations][copies];
        before.forEach((name, copy) -> {
            served[copy] += traffic.get(name);
            proxyCounts[copy]++;
            servedByLocation[location(name)][copy] += traffic.get(name);
        });
        Map<MemberName, Integer> afterJoin = assign(strategy, traffic(proxies + 1));
        Map<MemberName, Double> remaining = new HashMap<>(traffic);
        remaining.remove(before.keySet().stream().min(Comparator.comparing(MemberName::text)).orElseThrow());
        Map<MemberName, Integer> afterLeave = assign(strategy, remaining);
        long moved = before.keySet().stream().filter(name -> !before.get(name).equals(afterJoin.get(name))).count()
                + afterLeave.keySet().stream().filter(name -> !before.get(name).equals(afterLeave.get(name))).count();
        return new Result(peak(served), Arrays.stream(servedByLocation).mapToDouble(SubsetMeasurement::peak).max().orElse(0), peak(proxyCounts), moved / 2.0);
    }

    private static double peak(double[] values) {
        return Arrays.stream(values).max().orElse(0) / Arrays.stream(values).average().orElse(1);
    }
}
