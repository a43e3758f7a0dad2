package dappleseam.fleet.lease;

import dappleseam.fleet.lease.VoterMessages.Refusal;
import dappleseam.fleet.lease.VoterStorage.VoterState;
import dappleseam.fleet.lease.VoterStorage.Vote;
import dappleseam.fleet.membership.MemberName;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * One voter's side of all leases: promises, acceptances, and abstention after a start (PaxosLease, Trencseni, Gazso, Reinhardt 2012; docs/fleet-design.md
 * lists the differences). Does no I/O but through its {@link VoterStorage}; times are ms of a monotonic clock. Not thread-safe.
 */
public final class Voter {
    /** Maximum number of leases: each takes about 200 bytes, in memory and in the file. */
    public static final int MAX_LEASES = 2000;

    private final MemberName name;
    private final LeaseConfig config;
    private final VoterMessages out;
    private final VoterStorage storage;
    private final Map<LeaseName, LeaseState> leases = new LinkedHashMap<>();
    /** Last registered start of each other voter. */
    private final Map<MemberName, KnownStart> knownStarts = new HashMap<>();
    /** Other voters that have registered this start. */
    private final Set<MemberName> registeredBy = new HashSet<>();
    /** Of these, the ones that remember an earlier start of this voter, and none as late as this one. */
    private final Set<MemberName> confirmedBy = new HashSet<>();
    private final long nonce;
    /** The promise for a lease without any state. */
    private final Token floor;
    /** Until then the voter abstains after a start, unless its storage can be trusted. */
    private double silentUntil;
    /** The longest lease time under which this voter may have accepted a holder that is still bound to it, while it abstains. */
    private double bindingLeaseMs;
    private long startNumber;
    private boolean trustsStorage;
    private boolean isClosed;

    /** Another voter's last start, the nonce of that process, and the start that was known before it; -1 if none was. */
    private record KnownStart(long number, long nonce, long previous) {}

    /** Promise and acceptance for one lease. */
    private static final class LeaseState {
        Token promised;
        Token accepted = Token.NONE;
        MemberName holder;
        double heldUntil = Double.NEGATIVE_INFINITY;

        LeaseState(Token promised) {
            this.promised = promised;
        }

        /** Whether the accepted holder's lease is still running. */
        boolean isHeldAt(double nowMs) {
            return heldUntil > nowMs;
        }
    }

    /**
     * Starts the voter. {@code nonce}: the process's. {@code storage}: null if there is no durable storage. {@code wallMs}: wall clock time, the lowest
     * round of new ballots: rounds grow even across starts without any state, as long as fewer ballots are created than ms pass and the clock is not set back.
     */
    public Voter(MemberName name, long nonce, LeaseConfig config, VoterMessages out, VoterStorage storage, double nowMs, long wallMs) {
        floor = new Token(Math.max(0, Math.min(wallMs, Token.MAX_ROUND)), Long.MIN_VALUE);
        this.name = name;
        this.nonce = nonce;
        this.config = config;
        this.out = out;
        this.storage = storage;
        bindingLeaseMs = Math.max(config.leaseMs(), config.previousLeaseMs());
        if (storage != null) {
            recover(nowMs);
        }
        silentUntil = nowMs + bindingLeaseMs;
        woken();
    }

    /** Called periodically: sends the start number to the voters that have not registered it yet. */
    public void woken() {
        if (storage != null) {
            config.voters().stream().filter(v -> !v.equals(name) && !registeredBy.contains(v)).forEach(v -> out.registerStart(v, config.fingerprint(), startNumber, nonce));
        }
    }

    /** Another process uses this one's name: abstains for one lease time, so that two processes that know of each other do not both answer as one voter. */
    public void duplicateSeen(double nowMs) {
        trustsStorage = false;
        silentUntil = Math.max(silentUntil, nowMs + config.leaseMs());
    }

    /**
     * Reads the stored promises. A file that is truncated or another voter's is ignored, and the voter starts as if it had no storage. One of another
     * configuration tells only for how long its promises bind: then the voter need not take the longest time that may have been configured. Rounds are taken
     * from any valid file of this configuration; answering at once also requires a cleanly closed one, because a copy made earlier lacks the last promises.
     */
    private void recover(double nowMs) {
        try {
            VoterState stored = storage.read();
            boolean isOfThisConfig = stored.configFingerprint() == config.fingerprint();
            if (stored.voter().equals(name)) {
                double storedLeaseMs = Double.isNaN(stored.bindingLeaseMs()) && isOfThisConfig ? config.leaseMs() : stored.bindingLeaseMs();
                bindingLeaseMs = Double.isNaN(storedLeaseMs) ? bindingLeaseMs : Math.max(config.leaseMs(), storedLeaseMs);
            }
            if (stored.voter().equals(name) && isOfThisConfig) {
                startNumber = stored.startNumber() + 1;
                stored.votes().forEach((lease, vote) -> {
                    LeaseState leaseState = new LeaseState(vote.promised().isBelow(floor) ? floor : vote.promised());
                    leaseState.accepted = vote.accepted();
                    leaseState.holder = vote.holder();
                    leaseState.heldUntil = nowMs + config.leaseMs(); // the monotonic clock does not carry over a restart
                    leases.put(lease, leaseState);
                });
                trustsStorage = stored.cleanlyClosed() && bindingLeaseMs <= config.leaseMs();
            }
        } catch (IOException e) {
            trustsStorage = false;
        }
        try {
            persist(false);
        } catch (IOException e) {
            trustsStorage = false; // nothing is promised before a write succeeds
        }
    }

    private void persist(boolean cleanlyClosed) throws IOException {
        if (storage != null) {
            Map<LeaseName, Vote> all = new LinkedHashMap<>();
            leases.forEach((lease, leaseState) -> all.put(lease, new Vote(leaseState.promised, leaseState.accepted, leaseState.holder)));
            storage.write(new VoterState(name, config.fingerprint(), startNumber, cleanlyClosed, bindingLeaseMs, all));
        }
    }

    /** Clean shutdown: nothing is answered after it, and the next start may answer at once. */
    public void close(double nowMs) throws IOException {
        if (isActive(nowMs)) {
            persist(true);
        }
        isClosed = true;
    }

    /**
     * Whether the voter answers yet. Without storage: once every promise from before its start has expired. With storage, its start has to be registered
     * by a majority, itself included, and in addition either that time is over, or the file was cleanly closed and enough other voters remember no later
     * start that at least one of them is in every majority. This detects a file restored from an earlier clean shutdown.
     */
    public boolean isActive(double nowMs) {
        boolean silenceOver = nowMs >= silentUntil;
        bindingLeaseMs = silenceOver ? config.leaseMs() : bindingLeaseMs;
        if (isClosed || storage == null) {
            return silenceOver && !isClosed;
        }
        boolean isRegistered = registeredBy.size() + 1 >= config.majority();
        return isRegistered && (silenceOver || trustsStorage && confirmedBy.size() > config.voters().size() - config.majority());
    }

    /** Sends a refusal and returns true if the voter cannot handle a request now. */
    private boolean refuseIfUnable(double nowMs, MemberName from, int configFingerprint, LeaseName lease, Token ballot) {
        Refusal reason = !config.voters().contains(name) ? Refusal.NO_VOTER : configFingerprint != config.fingerprint() ? Refusal.OTHER_SET
                : !isActive(nowMs) ? Refusal.ABSTAINS : leases.size() >= MAX_LEASES && !leases.containsKey(lease) ? Refusal.TOO_MANY : null;
        if (reason != null) {
            out.refused(from, lease, ballot, reason, highestPromise(lease));
        }
        return reason != null;
    }

    private Token highestPromise(LeaseName lease) {
        LeaseState leaseState = leases.get(lease);
        return leaseState == null ? floor : leaseState.promised;
    }

    /** A candidate asks for a promise. */
    public void prepare(double nowMs, MemberName from, int configFingerprint, LeaseName lease, Token ballot) {
        if (refuseIfUnable(nowMs, from, configFingerprint, lease, ballot)) {
            return;
        }
        LeaseState leaseState = leases.computeIfAbsent(lease, l -> new LeaseState(floor));
        if (ballot.isBelow(leaseState.promised)) {
            out.refused(from, lease, ballot, Refusal.LOWER, leaseState.promised);
            return;
        }
        Token previous = leaseState.promised;
        leaseState.promised = ballot;
        if (ballot.equals(previous) || persisted(from, lease, ballot)) {
            boolean isHeld = leaseState.isHeldAt(nowMs);
            out.promised(from, lease, ballot, isHeld ? leaseState.accepted : Token.NONE, isHeld ? leaseState.holder : null, isHeld ? leaseState.heldUntil - nowMs : 0);
        } else {
            leaseState.promised = previous;
        }
    }

    /** A candidate asks for the current holder. */
    public void ask(double nowMs, MemberName from, int configFingerprint, LeaseName lease) {
        if (!refuseIfUnable(nowMs, from, configFingerprint, lease, Token.NONE)) {
            LeaseState leaseState = leases.get(lease);
            boolean isHeld = leaseState != null && leaseState.isHeldAt(nowMs);
            out.status(from, lease, highestPromise(lease), isHeld ? leaseState.accepted : Token.NONE, isHeld ? leaseState.holder : null, isHeld ? leaseState.heldUntil - nowMs : 0);
        }
    }

    /** A candidate asks to be accepted as the holder, or renews. */
    public void propose(double nowMs, MemberName from, int configFingerprint, LeaseName lease, Token ballot, long proposalNumber) {
        if (refuseIfUnable(nowMs, from, configFingerprint, lease, ballot)) {
            return;
        }
        LeaseState leaseState = leases.computeIfAbsent(lease, l -> new LeaseState(floor));
        if (ballot.isBelow(leaseState.promised)) {
            out.refused(from, lease, ballot, Refusal.LOWER, leaseState.promised);
            return;
        }
        LeaseState previous = new LeaseState(leaseState.promised);
        previous.accepted = leaseState.accepted;
        previous.holder = leaseState.holder;
        leaseState.promised = ballot;
        leaseState.accepted = ballot;
        leaseState.holder = from;
        if (ballot.equals(previous.accepted) || persisted(from, lease, ballot)) {
            leaseState.heldUntil = nowMs + config.leaseMs();
            out.accepted(from, lease, ballot, proposalNumber);
        } else {
            leaseState.promised = previous.promised;
            leaseState.accepted = previous.accepted;
            leaseState.holder = previous.holder;
        }
    }

    /** The holder gives up its lease. */
    public void release(double nowMs, MemberName from, int configFingerprint, LeaseName lease, Token ballot) {
        LeaseState leaseState = leases.get(lease);
        if (configFingerprint == config.fingerprint() && leaseState != null && leaseState.accepted.equals(ballot) && from.equals(leaseState.holder)) {
            leaseState.heldUntil = nowMs;
        }
    }

    /** Persists the votes; a vote that cannot be persisted is refused, so that no promise is lost by a restart. */
    private boolean persisted(MemberName from, LeaseName lease, Token ballot) {
        try {
            persist(false);
            return true;
        } catch (IOException e) {
            out.refused(from, lease, ballot, Refusal.NOT_WRITTEN, highestPromise(lease));
            return false;
        }
    }

    /** Another voter registers its start, and asks which one was known before. */
    public void registerStart(MemberName from, int configFingerprint, long itsStart, long itsNonce) {
        if (configFingerprint == config.fingerprint() && config.voters().contains(from)) {
            KnownStart known = knownStarts.get(from);
            if (known == null || known.nonce != itsNonce && itsStart >= known.number) {
                knownStarts.put(from, new KnownStart(itsStart, itsNonce, known == null ? -1 : known.number));
            } else if (known.nonce != itsNonce) {
                out.startRegistered(from, itsStart, itsNonce, known.number); // an old copy of its file: it is told of the later start, and not registered
                return;
            }
            out.startRegistered(from, itsStart, itsNonce, knownStarts.get(from).previous);
        }
    }

    /** Another voter has registered this start, or knows of a later one. */
    public void startRegistered(MemberName from, long itsStart, long itsNonce, long previousStart) {
        if (itsStart != startNumber || itsNonce != nonce || !config.voters().contains(from) || from.equals(name)) {
            return;
        }
        if (previousStart >= startNumber) { // the file is an old copy, or another process runs as this voter
            trustsStorage = false;
            startNumber = previousStart + 1;
            registeredBy.clear();
            try {
                persist(false);
            } catch (IOException e) {
                return; // woken() sends it again, and the next vote persists it
            }
            woken();
        } else {
            registeredBy.add(from);
            if (previousStart >= 0) {
                confirmedBy.add(from);
            }
        }
    }

    /** Number of leases with a state. */
    public int leaseCount() {
        return leases.size();
    }

    /** Everything that determines future behaviour, with times relative to now. Lets a model checker compare states. */
    public String state(double nowMs) {
        StringBuilder text = new StringBuilder().append(startNumber).append(trustsStorage).append(isClosed).append(registeredBy).append(confirmedBy).append(knownStarts)
                .append(Math.round(Math.max(-1, silentUntil - nowMs))).append('/').append(Math.round(bindingLeaseMs));
        leases.forEach((lease, leaseState) -> text.append(lease).append(leaseState.promised).append(leaseState.accepted).append(leaseState.holder)
                .append(Math.round(Math.max(-1, leaseState.heldUntil - nowMs))));
        return text.toString();
    }
}
