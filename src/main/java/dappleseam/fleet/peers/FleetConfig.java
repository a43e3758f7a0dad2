package dappleseam.fleet.peers;

import dappleseam.fleet.lease.LeaseConfig;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MembershipConfig;
import dappleseam.fleet.share.FleetFeatures;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * What the operator's fleet file says. {@code fleet}: whose datagrams are read. {@code bind}: where they are received; {@code advertise}: where
 * others send them. {@code seeds}: whom a start asks. {@code record}: where changes of the view are written down, a line each; null for nowhere.
 * {@code leases}: null where there are none; {@code voterFile}: where a voter keeps its promises, null where no disk lasts; {@code listStore}: where the
 * fleet's last known list is kept, a folder or an address that begins with {@code http:}, null for nowhere. {@code choices}: what
 * members tell each other, and decide by it.
 */
public record FleetConfig(String fleet, MemberName name, InetSocketAddress bind, InetSocketAddress advertise, List<InetSocketAddress> seeds,
                       MembershipConfig membershipConfig, Path recordFile, LeaseConfig leases, Path voterFile, String listStore, FleetFeatures features) {}
