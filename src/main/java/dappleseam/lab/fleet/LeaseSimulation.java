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
 * Many members that would all take some leases, in simulated time: what they send, how leases spread, and how long nobody holds one when holders die. The modules
 * are the shipped ones; views are right but for the dead, who are held for present a while. Times in ms.
 */
public final class LeaseSimulation extends EventSimulation {
    private static final double SECOND = 1000;
    /** Clocks have run for a while. */
    private static final double BEGIN_MS = 1_000_000;
    private static final double DELAY_MS = 2;
    /** Time for which the dead are held for present: what the membership takes at a period of 1 s. */
    private static final double UNKNOWN_MS = 8000;
    private static final int VOTERS = 3;

    private final int members;
    private final double loss;
    private final SplittableRandom random;
    private final LeaseConfig terms;
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

        /** {@code silentMs}: for how long its voter is silent already. */
        void start(boolean votes, double silentMs) {
            long nonce = random.nextLong();
            voter = votes ? new Voter(name, nonce, terms, this, null, now - silentMs, (long) now) : null;
            candidate = new Candidate(nonce, terms, this, random.split());
        }

        private void send(MemberName peer, Consumer<Node> what) {
            boolean self = peer.equals(name);
            sent += self ? 0 : 1;
            if (self || random.nextDouble() >= loss) {
                schedule(self ? 0 : DELAY_MS * random.nextDouble(), () -> {
                    Node to = nodes.get(peer);
                    if (to.up) {
                        what.accept(to);
                    }
                });
            }
        }

        private void ofVoter(MemberName peer, Consumer<Voter> what) {
            send(peer, to -> what.accept(to.voter));
        }

        @Override
        public void prepare(MemberName peer, int set, LeaseName lease, Token ballot) {
            ofVoter(peer, v -> v.prepare(now, name, set, lease, ballot));
        }

        @Override
        public void ask(MemberName peer, int set, LeaseName lease) {
            ofVoter(peer, v -> v.ask(now, name, set, lease));
        }

        @Override
        public void propose(MemberName peer, int set, LeaseName lease, Token ballot, long turn) {
            ofVoter(peer, v -> v.propose(now, name, set, lease, ballot, turn));
        }

        @Override
        public void release(MemberName peer, int set, LeaseName lease, Token ballot) {
            ofVoter(peer, v -> v.release(now, name, set, lease, ballot));
        }

        @Override
        public void promised(MemberName peer, LeaseName lease, Token ballot, Token held, MemberName holder, double leftMs) {
            send(peer, to -> to.candidate.promised(now, name, lease, ballot, held, leftMs));
        }

        @Override
        public void status(MemberName peer, LeaseName lease, Token highest, Token held, MemberName holder, double leftMs) {
            send(peer, to -> to.candidate.status(now, name, lease, highest, held, leftMs));
        }

        @Override
        public void accepted(MemberName peer, LeaseName lease, Token ballot, long turn) {
            send(peer, to -> to.candidate.accepted(now, name, lease, ballot, turn));
        }

        @Override
        public void refused(MemberName peer, LeaseName lease, Token ballot, Refusal why, Token highest) {
            send(peer, to -> to.candidate.refused(now, name, lease, ballot, why, highest));
        }

        @Override
        public void registerStart(MemberName peer, int set, long start, long nonce) {
            throw new IllegalStateException("no disk here");
        }

        @Override
        public void startRegistered(MemberName peer, long start, long nonce, long known) {
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
        public void lost(LeaseName lease, Token token, String why) {
            if (holders.remove(lease, this)) {
                freeSince.put(lease, now);
            }
        }

        @Override
        public int rank(LeaseName lease) {
            return ranks.computeIfAbsent(lease, l -> {
                Map<MemberName, Integer> of = new HashMap<>();
                Ranking.order(l, view).forEach(member -> of.put(member, of.size()));
                return of;
            }).getOrDefault(name, -1);
        }

        @Override
        public void log(String text) {
            // nobody reads it
        }
    }

    /** {@code members}: all want each of so many leases; the first three vote. {@code loss}: share of messages that do not arrive. */
    public LeaseSimulation(int members, int leaseCount, double loss, long seed) {
        super(BEGIN_MS);
        this.members = members;
        this.loss = loss;
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
        terms = new LeaseConfig(voters, 1, LeaseConfig.DEFAULT_LEASE_MS, LeaseConfig.DEFAULT_DRIFT);
        for (int i = 0; i < leaseCount; i++) {
            leases.add(new LeaseName("lease-" + i));
        }
        order.forEach(node -> node.start(voters.contains(node.name), terms.leaseMs()));
        order.forEach(node -> leases.forEach(lease -> node.candidate.acquire(now, lease)));
    }

    private void sees(MemberName name, boolean present) {
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
        schedule(UNKNOWN_MS, () -> sees(node.name, false));
    }

    /** Holders die one after the other, so many times, and come back from nothing: what is sent for a lease while it is held and while it is not; one line. */
    public String measureDeaths(int deaths) {
        runFor(6 * terms.leaseMs());
        long before = sent;
        runFor(60 * SECOND);
        double quiet = (sent - before) / 60.0 / leases.size();
        gaps.clear();
        double most = 0;
        for (int i = 0; i < deaths; i++) {
            LeaseName lease = leases.get(i % leases.size());
            Node holder = holders.get(lease);
            if (holder == null) {
                runFor(terms.leaseMs());
                continue;
            }
            kill(holder);
            for (int s = 0; s < 3 * terms.leaseMs() / SECOND; s++) {
                long from = sent;
                runFor(SECOND);
                most = Math.max(most, (double) (sent - from) / leases.size());
            }
            holder.up = true;
            holder.start(holder.voter != null, 0);
            leases.forEach(l -> holder.candidate.acquire(now, l));
            sees(holder.name, true);
            runFor(terms.leaseMs());
        }
        return String.format(Locale.ROOT, "%4d candidates, %d leases of %.0f s, loss %.0f%%: %.2f datagrams a lease and second while held, %.2f in the worst second after a death; "
                + "without a holder %.1f s median, %.1f s 99 of 100 (%d deaths); %d times two at once", members, leases.size(), terms.leaseMs() / SECOND, 100 * loss, quiet, most,
                Ranked.at(gaps, 0.5) / SECOND, Ranked.at(gaps, 0.99) / SECOND, gaps.size(), breaches);
    }

    /** How leases lie over members, and how many change hands as one that holds some dies, and comes back; one line. */
    public String measureSpread() {
        runFor(6 * terms.leaseMs());
        int[] counts = order.stream().mapToInt(node -> (int) holders.values().stream().filter(h -> h == node).count()).toArray();
        Map<LeaseName, Node> first = new HashMap<>(holders);
        Node dies = order.get(members - 1);
        int its = counts[members - 1];
        kill(dies);
        runFor(6 * terms.leaseMs());
        long moved = leases.stream().filter(l -> holders.get(l) != first.get(l)).count();
        Map<LeaseName, Node> second = new HashMap<>(holders);
        dies.up = true;
        dies.start(false, 0);
        sees(dies.name, true);
        leases.forEach(l -> dies.candidate.acquire(now, l));
        runFor(6 * terms.leaseMs());
        long back = leases.stream().filter(l -> holders.get(l) != second.get(l)).count();
        Set<LeaseName> none = new HashSet<>(leases);
        none.removeAll(holders.keySet());
        return String.format(Locale.ROOT, "%d leases over %d members: %d to %d each, mean %.1f; one with %d of them dies: %d move; it comes back: %d move; %d without a holder",
                leases.size(), members, Arrays.stream(counts).min().orElse(0), Arrays.stream(counts).max().orElse(0), (double) leases.size() / members, its, moved, back, none.size());
    }

    /** Times that two held one lease at once. */
    public long breaches() {
        return breaches;
    }
}
