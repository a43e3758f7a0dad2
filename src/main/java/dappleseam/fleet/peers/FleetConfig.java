package dappleseam.fleet.peers;

import dappleseam.fleet.lease.LeaseConfig;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MembershipConfig;
import dappleseam.fleet.share.FleetFeatures;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of the operator's fleet file. {@code fleet}: name of the fleet; datagrams of any other are rejected. {@code bind}: address to receive on;
 * {@code advertise}: address that other members send to. {@code seeds}: addresses contacted at the start. {@code recordFile}: file for changes of the
 * view, one per line, or null. {@code leases}: null without leases; {@code voterFile}: file for a voter's promises, null without durable storage;
 * {@code listStore}: where the fleet's last known list is stored, a folder or a URL that begins with {@code http:}, or null. {@code features}: what members
 * announce to each other and act on.
 */
public record FleetConfig(String fleet, MemberName name, InetSocketAddress bind, InetSocketAddress advertise, List<InetSocketAddress> seeds,
                       MembershipConfig membershipConfig, Path recordFile, LeaseConfig leases, Path voterFile, String listStore, FleetFeatures features) {}
