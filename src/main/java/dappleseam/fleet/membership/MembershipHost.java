package dappleseam.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;

/**
 * The environment of a {@link Membership}: sending, timers and notifications. Every call takes effect at the time of the event being
 * handled. Sending is best effort.
 */
public interface MembershipHost extends MembershipProtocol {
    /** Sends a ping over a connected socket; if the port is closed, {@link Membership#connectionRefused} is called. */
    void pingConnected(InetSocketAddress address, MemberEntry self, long sequence, MemberName target, List<MemberEntry> updates);

    /** Schedules a call of {@link Membership#woken} and replaces the one scheduled before. */
    void wakeAt(double ms);

    /** The view's entry of a member changed; {@code before} is null for a new member. */
    void memberChanged(MemberEntry before, MemberEntry after);

    void statusChanged(MembershipStatus status);

    /** This process did not run for the last {@code ms}; missing answers from that time are no evidence against other members. */
    default void stalled(double ms) {
        log(String.format(Locale.ROOT, "fleet: this process was stalled for %.0f ms", ms));
    }

    void log(String text);
}
