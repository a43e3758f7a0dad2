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
 * Which of so many copies of a hot key each proxy asks, by the shipped places and by baselines written here: by chance, by rendezvous (Thaler, Ravishankar 1998) and by deterministic subsetting
 * (Google's SRE book, chapter 20) with subsets of one. Proxies' traffic is skewed, some have twenty times others'.
 */
public record SubsetMeasurement(int proxies, int locations, int copies, long seed) {
    /** How a proxy finds its copy. */
    public enum Strategy { CHANCE, RENDEZVOUS, DETERMINISTIC,
        /** By the shipped places, all on one line, as before locations were told. */
        ONE_LINE,
        /** The shipped way. */
        PLACES
    }

    /**
     * {@code peak}: the busiest copy's traffic over the mean; {@code near}: the same of the worst location, where each has as many copies of its own; {@code proxiesPeak}: by proxies; {@code moved}: proxies that ask another copy once one proxy has come, or gone, in the mean.
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

    private Map<MemberName, Integer> copies(Strategy way, Map<MemberName, Double> traffic) {
        List<MemberName> numbered = new ArrayList<>(traffic.keySet());
        numbered.sort(Comparator.comparing(MemberName::text));
        Map<MemberName, Integer> found = new HashMap<>();
        for (int i = 0; i < numbered.size(); i++) {
            MemberName name = numbered.get(i);
            found.put(name, switch (way) {
                case CHANCE -> (int) (copies * new SplittableRandom(seed ^ name.hashCode()).nextDouble());
                case RENDEZVOUS -> rendezvous(name);
                case DETERMINISTIC -> deterministic(i);
                case ONE_LINE -> (int) (copies * TrafficPosition.of(name, traffic));
                case PLACES -> (int) (copies * TrafficPosition.of(name, at(location(name), traffic)));
            });
        }
        return found;
    }

    private int location(MemberName name) {
        return Integer.parseInt(name.text().substring(name.text().lastIndexOf('-') + 1)) % locations;
    }

    private Map<MemberName, Double> at(int location, Map<MemberName, Double> traffic) {
        Map<MemberName, Double> there = new HashMap<>(traffic);
        there.keySet().removeIf(name -> location(name) != location);
        return there;
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

    /** Clients in rounds of as many as there are copies; each round deals them in an order of its own. */
    private int deterministic(int client) {
        List<Integer> order = new ArrayList<>();
        for (int copy = 0; copy < copies; copy++) {
            order.add(copy);
        }
        Collections.shuffle(order, new Random(client / copies));
        return order.get(client % copies);
    }

    public Result measure(Strategy way) {
        Map<MemberName, Double> traffic = traffic(proxies);
        Map<MemberName, Integer> before = copies(way, traffic);
        double[] served = new double[copies];
        double[] by = new double[copies];
        double[][] near = new double[locations][copies];
        before.forEach((name, copy) -> {
            served[copy] += traffic.get(name);
            by[copy]++;
            near[location(name)][copy] += traffic.get(name);
        });
        Map<MemberName, Integer> more = copies(way, traffic(proxies + 1));
        Map<MemberName, Double> fewer = new HashMap<>(traffic);
        fewer.remove(before.keySet().stream().min(Comparator.comparing(MemberName::text)).orElseThrow());
        Map<MemberName, Integer> less = copies(way, fewer);
        long moved = before.keySet().stream().filter(name -> !before.get(name).equals(more.get(name))).count()
                + less.keySet().stream().filter(name -> !before.get(name).equals(less.get(name))).count();
        return new Result(peak(served), Arrays.stream(near).mapToDouble(SubsetMeasurement::peak).max().orElse(0), peak(by), moved / 2.0);
    }

    private static double peak(double[] of) {
        return Arrays.stream(of).max().orElse(0) / Arrays.stream(of).average().orElse(1);
    }
}
