package dappleseam.list;

import dappleseam.router.Member;
import java.net.InetSocketAddress;
import java.util.Objects;

/** One entry of the list, where this proxy reaches it (null where it does not say), and its zone and machine by name. */
public record ListEntry(String uid, Member member, InetSocketAddress endpoint, String zone, String modelName) {
    // Written out, as that of its member.
    @Override
    public boolean equals(Object other) {
        return other instanceof ListEntry that && member.equals(that.member) && Objects.equals(endpoint, that.endpoint) && uid.equals(that.uid)
                && zone.equals(that.zone) && modelName.equals(that.modelName);
    }

    @Override
    public int hashCode() {
        return member.hashCode();
    }
}
