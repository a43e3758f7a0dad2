package dappleseam.lab.fleet;

import dappleseam.fleet.membership.MembershipProtocol;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import java.net.InetSocketAddress;
import java.util.List;

/** What the simulated fleet drives: the membership that is shipped, or a baseline to measure it against. */
public interface MembershipVariant {
    void begin(double nowMs, List<InetSocketAddress> known);

    MembershipProtocol receiver(double nowMs);

    void woken(double nowMs);

    void connectionRefused(double nowMs, InetSocketAddress peer);

    void announceLeave(double nowMs);

    /** What it holds of that member, or null. */
    MemberEntry lookup(MemberName name);

    /** The module as it is shipped. */
    record Shipped(Membership membership) implements MembershipVariant {
        @Override
        public void begin(double nowMs, List<InetSocketAddress> known) {
            membership.begin(nowMs, known);
        }

        @Override
        public MembershipProtocol receiver(double nowMs) {
            return membership.receiver(nowMs);
        }

        @Override
        public void woken(double nowMs) {
            membership.woken(nowMs);
        }

        @Override
        public void connectionRefused(double nowMs, InetSocketAddress peer) {
            membership.connectionRefused(nowMs, peer);
        }

        @Override
        public void announceLeave(double nowMs) {
            membership.announceLeave(nowMs);
        }

        @Override
        public MemberEntry lookup(MemberName name) {
            return membership.lookup(name);
        }
    }
}
