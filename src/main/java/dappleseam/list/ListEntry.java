package dappleseam.list;

import dappleseam.router.Member;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * One entry of the node list: its uid, the router's member, the address this proxy connects to (null if none is listed), and the names of its
 * zone and model.
 */
public record ListEntry(String uid, Member member, InetSocketAddress endpoint, String zone, String modelName) {
    // Written out for speed, like Member's.
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
