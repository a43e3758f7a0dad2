package dappleseam.lab.fleet;

import dappleseam.fleet.lease.VoterMessages;
import dappleseam.fleet.lease.Candidate;
import dappleseam.fleet.lease.CandidateHost;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.LeaseConfig;
import dappleseam.fleet.lease.Ranking;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.lease.Voter;
import dappleseam.fleet.membership.MemberName;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Many members that all compete for some leases, in simulated time: how much they send, how the leases spread over them, and for how long a lease
 * has no holder when holders die. The lease modules are the shipped ones. The members' views are correct, except that a dead member counts as live
 * until its death is detected. Times are in ms.
 */
public final class LeaseSimulation extends EventSimulation {
    private static final double SECOND = 1000;
    /** The clocks have already been running for a while. */
    private static final double BEGIN_MS = 1_000_000;
    private static final double DELAY_MS = 2;
    /** Time until a death is detected: what the membership takes with a probe period of 1 s. */
    private static final double DETECTION_MS = 8000;
    private static final int VOTERS = 3;

    private final int members;
    private final double lossRate;
    private final SplittableRandom random;
    private final LeaseConfig config;
    private final List<LeaseName> leases = new ArrayList<>();
    private final Map<MemberName, Node> nodes = new HashMap<>();
    private final List<Node> order = new ArrayList<>();
    private final Map<LeaseName, Node> holders = new HashMap<>();
    private final Map<LeaseName, Double> freeSince = new HashMap<>();
    private List<MemberName> view = new ArrayList<>();
    private final Map<LeaseName, Map<MemberName, Integer>> ranks = new HashMap<>();
    private final List<Double> gaps = new ArrayList<>();
    private long sent;
    private long breaches;

    private final class Node implements CandidateHost, VoterMessages {
        final MemberName name;
        Candidate candidate;
        Voter voter;
        boolean up = true;
        double wakeAt = Double.NaN;

        Node(int number) {
            name = new MemberName("p" + number);
        }

        /** {@code silentMs}: for how long its voter has already been silent. */
        void start(boolean isVoter, double silentMs) {
            long nonce = random.nextLong();
            voter = isVoter ? new Voter(name, nonce, config, this, null, now - silentMs, (long) now) : null;
            candidate = new Candidate(nonce, config, this, random.split());
        }

        private void send(MemberName peer, Consumer<Node> action) {
            boolean self = peer.equals(name);
            sent += self ? 0 : 1;
            if (self || random.nextDouble() >= lossRate) {
                schedule(self ? 0 : DELAY_MS * random.nextDouble(), () -> {
                    Node to = nodes.get(peer);
                    if (to.up) {
                        action.accept(to);
                    }
                });
            }
        }

        private void sendToVoter(MemberName peer, Consumer<Voter> action) {
            send(peer, to -> action.accept(to.voter));
        }

        @Override
        public void prepare(MemberName peer, int configFingerprint, LeaseName lease, Token ballot) {
            sendToVoter(peer, v -> v.prepare(now, name, configFingerprint, lease, ballot));
        }

        @Override
        public void ask(MemberName peer, int configFingerprint, LeaseName lease) {
            sendToVoter(peer, v -> v.ask(now, name, configFingerprint, lease));
        }

        @Override
        public void propose(MemberName peer, int configFingerprint, LeaseName lease, Token ballot, long proposalNumber) {
            sendToVoter(peer, v -> v.propose(now, name, configFingerprint, lease, ballot, proposalNumber));
        }

        @Override
        public void release(MemberName peer, int configFingerprint, LeaseName lease, Token ballot) {
            sendToVoter(peer, v -> v.release(now, name, configFingerprint, lease, ballot));
        }

        @Override
        public void promised(MemberName peer, LeaseName lease, Token ballot, Token held, MemberName holder, double remainingMs) {
            send(peer, to -> to.candidate.promised(now, name, lease, ballot, held, remainingMs));
        }

        @Override
        public void status(MemberName peer, LeaseName lease, Token highest, Token held, MemberName holder, double remainingMs) {
            send(peer, to -> to.candidate.status(now, name, lease, highest, held, remainingMs));
        }

        @Override
        public void accepted(MemberName peer, LeaseName lease, Token ballot, long proposalNumber) {
            send(peer, to -> to.candidate.accepted(now, name, lease, ballot, proposalNumber));
        }

        @Override
        public void refused(MemberName peer, LeaseName lease, Token ballot, Refusal reason, Token highest) {
            send(peer, to -> to.candidate.refused(now, name, lease, ballot, reason, highest));
        }

        @Override
        public void registerStart(MemberName peer, int configFingerprint, long startNumber, long nonce) {
            throw new IllegalStateException("no disk here");
        }

        @Override
        public void startRegistered(MemberName peer, long startNumber, long nonce, long previousStart) {
            throw new IllegalStateException("no disk here");
        }

        @Override
        public void wakeAt(double ms) {
            wakeAt = ms;
            schedule(Math.max(0, ms - now), () -> {
                if (up && wakeAt == ms) {
                    wakeAt = Double.NaN;
                    candidate.woken(now);
                }
            });
        }

        @Override
        public void granted(LeaseName lease, Token token, double untilMs) {
            Node before = holders.put(lease, this);
            if (before != this) {
                breaches += before != null && before.up && before.candidate.validToken(now, lease, 0) != null ? 1 : 0;
                gaps.add(now - freeSince.getOrDefault(lease, now));
            }
        }

        @Override
        public void lost(LeaseName lease, Token token, String reason) {
            if (holders.remove(lease, this)) {
                freeSince.put(lease, now);
            }
        }

        @Override
        public int rank(LeaseName lease) {
            return ranks.computeIfAbsent(lease, l -> {
                Map<MemberName, Integer> positions = new HashMap<>();
                Ranking.order(l, view).forEach(member -> positions.put(member, positions.size()));
                return positions;
            }).getOrDefault(name, -1);
        }

        @Override
        public void log(String text) {
            // log lines are not needed here
        }
    }

    /** All members compete for each lease; the first three are the voters. {@code lossRate}: share of messages that do not arrive. */
    public LeaseSimulation(int members, int leaseCount, double lossRate, long seed) {
        super(BEGIN_MS);
        this.members = members;
        this.lossRate = lossRate;
        random = new SplittableRandom(seed);
        List<MemberName> voters = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            Node node = new Node(i);
            nodes.put(node.name, node);
            order.add(node);
            view.add(node.name);
            if (i < VOTERS) {
                voters.add(node.name);
            }
        }
        config = new LeaseConfig(voters, 1, LeaseConfig.DEFAULT_LEASE_MS, LeaseConfig.DEFAULT_DRIFT);
        for (int i = 0; i < leaseCount; i++) {
            leases.add(new LeaseName("lease-" + i));
        }
        order.forEach(node -> node.start(voters.contains(node.name), config.leaseMs()));
        order.forEach(node -> leases.forEach(lease -> node.candidate.acquire(now, lease)));
    }

    private void setPresent(MemberName name, boolean present) {
        view = new ArrayList<>(view);
        view.remove(name);
        if (present) {
            view.add(name);
        }
        ranks.clear();
    }

    private void kill(Node node) {
        node.up = false;
        List.copyOf(holders.keySet()).forEach(lease -> {
            if (holders.get(lease) == node) {
                holders.remove(lease);
                freeSince.put(lease, now);
            }
        });
        schedule(DETECTION_MS, () -> setPresent(node.name, false));
    }

    /**
     * Kills that many holders one after another, each of which restarts without state. Reports in one line the messages sent per lease while it is held
     * and after deaths, and the times without a holder.
     */
    public String measureDeaths(int deaths) {
        runFor(6 * config.leaseMs());
        long before = sent;
        runFor(60 * SECOND);
        double steadyRate = (sent - before) / 60.0 / leases.size();
        gaps.clear();
        double peakRate = 0;
        for (int i = 0; i < deaths; i++) {
            LeaseName lease = leases.get(i % leases.size());
            Node holder = holders.get(lease);
            if (holder == null) {
                runFor(config.leaseMs());
                continue;
            }
            kill(holder);
            for (int s = 0; s < 3 * config.leaseMs() / SECOND; s++) {
                long from = sent;
                runFor(SECOND);
                peakRate = Math.max(peakRate, (double) (sent - from) / leases.size());
            }
            holder.up = true;
            holder.start(holder.voter != null, 0);
            leases.forEach(l -> holder.candidate.acquire(now, l));
            setPresent(holder.name, true);
            runFor(config.leaseMs());
        }
        return String.format(Locale.ROOT, "%4d candidates, %d leases of %.0f s, loss %.0f%%: %.2f datagrams per lease and second while held, %.2f in the worst second after a death; "
                + "without a holder %.1f s median, %.1f s p99 (%d deaths); %d times two holders at once", members, leases.size(), config.leaseMs() / SECOND, 100 * lossRate, steadyRate, peakRate,
                Quantiles.quantile(gaps, 0.5) / SECOND, Quantiles.quantile(gaps, 0.99) / SECOND, gaps.size(), breaches);
    }

    /** Reports in one line how the leases are distributed over the members, and how many change their holder when one member dies and when it comes back. */
    public String measureSpread() {
        runFor(6 * config.leaseMs());
        int[] counts = order.stream().mapToInt(node -> (int) holders.values().stream().filter(h -> h == node).count()).toArray();
        Map<LeaseName, Node> first = new HashMap<>(holders);
        Node victim = order.get(members - 1);
        int victimLeases = counts[members - 1];
        kill(victim);
        runFor(6 * config.leaseMs());
        long moved = leases.stream().filter(l -> holders.get(l) != first.get(l)).count();
        Map<LeaseName, Node> second = new HashMap<>(holders);
        victim.up = true;
        victim.start(false, 0);
        setPresent(victim.name, true);
        leases.forEach(l -> victim.candidate.acquire(now, l));
        runFor(6 * config.leaseMs());
        long back = leases.stream().filter(l -> holders.get(l) != second.get(l)).count();
        Set<LeaseName> unheld = new HashSet<>(leases);
        unheld.removeAll(holders.keySet());
        return String.format(Locale.ROOT, "%d leases over %d members: %d to %d each, mean %.1f; one with %d of them dies: %d change their holder; it comes back: %d change their holder; %d without a holder",
                leases.size(), members, Arrays.stream(counts).min().orElse(0), Arrays.stream(counts).max().orElse(0), (double) leases.size() / members, victimLeases, moved, back, unheld.size());
    }

    /** How often two members held one lease at once. */
    public long breaches() {
        return breaches;
    }
}
