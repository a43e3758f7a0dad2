package dappleseam.list;

import dappleseam.router.Member;
import java.net.InetSocketAddress;

/** One entry of the list, and where this proxy reaches it; null where it does not say. */
public record Listed(String uid, Member member, InetSocketAddress endpoint) {}
