package dappleseam.list;

import dappleseam.router.Member;
import java.net.InetSocketAddress;
import java.util.Objects;

/** One entry of the list, where this proxy reaches it (null where it does not say), and its zone and machine by name. */
public record Listed(String uid, Member member, InetSocketAddress endpoint, String zone, String machine) {
    // Written out, as that of its member.
    @Override
    public boolean equals(Object other) {
        return other instanceof Listed that && member.equals(that.member) && Objects.equals(endpoint, that.endpoint) && uid.equals(that.uid)
                && zone.equals(that.zone) && machine.equals(that.machine);
    }

    @Override
    public int hashCode() {
        return member.hashCode();
    }
}
