package dappleseam.fleet.membership;

import java.net.InetSocketAddress;

/**
 * The state of one member, as held in a view and carried by gossip (SWIM: Das, Gupta, Motivala 2002). Entries of one name are ordered
 * by generation, incarnation and state, and each view keeps the greatest, so that views converge whatever order the entries arrive in.
 * {@code incarnation}: 0 to {@link #MAX_INCARNATION}, raised only by the process itself; {@code accuser}: a hash of the member that
 * suspects it, 0 if there is none.
 */
public record MemberEntry(MemberName name, InetSocketAddress address, Generation generation, int incarnation, State state, int accuser)
        implements Comparable<MemberEntry> {
    /** Last incarnation of a generation; a process that would exceed it starts a new generation. */
    public static final int MAX_INCARNATION = 1 << 30;
    /** Maximum encoded bytes apart from the name: address 7 and 3, generation 9 and 9, incarnation 5, state 1, accuser 5, frame 3. */
    private static final int OVERHEAD_BYTES = 42;
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    /** In order of precedence: within an incarnation a later state overrides an earlier one. */
    public enum State {
        ALIVE,
        /** Did not answer a probe; becomes {@link #FAILED} unless it refutes the suspicion in time. */
        SUSPECT,
        /** Unreachable: either dead or partitioned away, so it still counts towards the fleet size. */
        FAILED,
        /** Known to have ended: its host refused connections, another process has its address, or an operator confirmed it. */
        ENDED,
        /** Announced its own departure. */
        LEFT;

        /** Whether the member is presumed to be running. */
        public boolean isLive() {
            return this == ALIVE || this == SUSPECT;
        }

        /** Whether the member counts towards the fleet size, since it may still be using its share of the limits. */
        public boolean isCounted() {
            return this == ALIVE || this == SUSPECT || this == FAILED;
        }
    }

    public MemberEntry {
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new IllegalArgumentException("incarnation out of range");
        }
        if (address.getPort() == 0 || address.isUnresolved() || address.getAddress().getAddress().length != 4) {
            throw new IllegalArgumentException("not a resolved IPv4 address with a port");
        }
    }

    public MemberEntry withState(State newState, int newAccuser) {
        return new MemberEntry(name, address, generation, incarnation, newState, newAccuser);
    }

    @Override
    public int compareTo(MemberEntry other) {
        int byGeneration = generation.compareTo(other.generation);
        if (byGeneration != 0) {
            return byGeneration;
        }
        int byIncarnation = Integer.compare(incarnation, other.incarnation);
        return byIncarnation != 0 ? byIncarnation : state.compareTo(other.state);
    }

    /** Upper bound of this entry's encoded size in a datagram. */
    public int maxEncodedBytes() {
        return OVERHEAD_BYTES + name.text().length();
    }

    /**
     * Hash of what has to be equal in views that agree. Suspicion is left out because it is transient, and members that ended or left
     * because they are forgotten at different times.
     */
    int digest() {
        if (!state.isCounted()) {
            return 0;
        }
        int digest = name.hashCode();
        digest = mix(digest, Long.hashCode(generation.start()));
        digest = mix(digest, Long.hashCode(generation.nonce()));
        digest = mix(digest, incarnation);
        return mix(digest, state == State.FAILED ? 1 : 0);
    }

    private static int mix(int digest, int value) {
        int mixed = (digest ^ value) * HASH_MULTIPLIER;
        return mixed ^ (mixed >>> 15);
    }
}
