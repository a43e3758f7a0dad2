package dappleseam.fleet.membership;

import java.net.InetSocketAddress;

/**
 * What is said of a member. Notices of one name are ordered by life, incarnation and state, and each view keeps the greatest, so that
 * views which heard the same agree, in whatever order it came. {@code incarnation}: 0 to {@link #MAX_INCARNATION}; only the process itself
 * raises it. {@code accuser}: who suspects it, as a hash; 0 otherwise. Sources: SWIM (Das, Gupta, Motivala 2002).
 */
public record MemberEntry(MemberName name, InetSocketAddress address, Generation generation, int incarnation, State state, int accuser)
        implements Comparable<MemberEntry> {
    /** Last incarnation of a life; a process that has to go beyond begins another. */
    public static final int MAX_INCARNATION = 1 << 30;
    /** Bytes that a notice takes beside its name, at most: address 7 and 3, life 9 and 9, incarnation 5, state 1, accuser 5, frame 3. */
    private static final int FRAME_BYTES = 42;
    private static final int CHECK_PRIME = 0x9E3779B1;

    /** In the order in which one overrides the other within an incarnation. */
    public enum State {
        ALIVE,
        /** Gave no answer; failed unless it refutes that in time. */
        SUSPECT,
        /** Silent: dead, or cut off. Still counted. */
        FAILED,
        /** Proved to have ended: its host, another process at its address, or an operator said so. */
        ENDED,
        /** Said itself that it goes. */
        LEFT;

        /** Alive as far as anyone could prove. */
        public boolean isLive() {
            return this == ALIVE || this == SUSPECT;
        }

        /** May take part of what is divided. */
        public boolean isCounted() {
            return this == ALIVE || this == SUSPECT || this == FAILED;
        }
    }

    public MemberEntry {
        if (incarnation < 0 || incarnation > MAX_INCARNATION) {
            throw new IllegalArgumentException("no incarnation");
        }
        if (address.getPort() == 0 || address.isUnresolved() || address.getAddress().getAddress().length != 4) {
            throw new IllegalArgumentException("no address of a member");
        }
    }

    public MemberEntry withState(State now, int by) {
        return new MemberEntry(name, address, generation, incarnation, now, by);
    }

    @Override
    public int compareTo(MemberEntry other) {
        int byLife = generation.compareTo(other.generation);
        if (byLife != 0) {
            return byLife;
        }
        int byIncarnation = Integer.compare(incarnation, other.incarnation);
        return byIncarnation != 0 ? byIncarnation : state.compareTo(other.state);
    }

    /** At most so many bytes in a datagram. */
    public int maxEncodedBytes() {
        return FRAME_BYTES + name.text().length();
    }

    /** Of what has to be equal in views that agree: suspicion comes and goes, and what has ended is forgotten. */
    int sum() {
        if (!state.isCounted()) {
            return 0;
        }
        int sum = name.hashCode();
        sum = mix(sum, Long.hashCode(generation.start()));
        sum = mix(sum, Long.hashCode(generation.nonce()));
        sum = mix(sum, incarnation);
        return mix(sum, state == State.FAILED ? 1 : 0);
    }

    private static int mix(int sum, int more) {
        int mixed = (sum ^ more) * CHECK_PRIME;
        return mixed ^ (mixed >>> 15);
    }
}
