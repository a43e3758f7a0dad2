package dappleseam.fleet.membership;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;

/** What the membership can do. Every call takes effect at the time of the event being handled, and may come to nothing. */
public interface MembershipHost extends MembershipProtocol {
    /** A ping by a way that notices a closed port: {@link Membership#connectionRefused} is called then. */
    void pingConnected(InetSocketAddress peer, MemberEntry self, long number, MemberName target, List<MemberEntry> news);

    /** Calls {@link Membership#woken} at that time; an earlier wish for a wake-up is void. */
    void wakeAt(double ms);

    /** This view holds something else of that member now; {@code before} is null for one that was not known. */
    void memberChanged(MemberEntry before, MemberEntry now);

    void statusChanged(MembershipStatus standing);

    /** This process was not run for so many ms, up to now; what it heard and did not hear meanwhile tells nothing. */
    default void stalled(double ms) {
        log(String.format(Locale.ROOT, "fleet: this process stood still for %.0f ms", ms));
    }

    void log(String text);
}
