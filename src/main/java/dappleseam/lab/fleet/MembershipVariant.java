package dappleseam.lab.fleet;

import dappleseam.fleet.membership.MembershipProtocol;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import java.net.InetSocketAddress;
import java.util.List;

/** The membership implementation that a simulated fleet runs: the shipped one, or a baseline to compare it with. */
public interface MembershipVariant {
    void begin(double nowMs, List<InetSocketAddress> known);

    MembershipProtocol receiver(double nowMs);

    void woken(double nowMs);

    void connectionRefused(double nowMs, InetSocketAddress peer);

    void announceLeave(double nowMs);

    /** The view's entry for a member, or null. */
    MemberEntry lookup(MemberName name);

    /** The shipped membership module. */
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
