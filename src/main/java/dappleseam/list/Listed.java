package dappleseam.list;

import dappleseam.router.Member;
import java.net.InetSocketAddress;

/** One entry of the list, where this proxy reaches it (null where it does not say), and its zone and machine by name. */
public record Listed(String uid, Member member, InetSocketAddress endpoint, String zone, String machine) {}
