package dappleseam.proxy;

import dappleseam.list.ListEntry;
import dappleseam.list.NodeList;
import dappleseam.origin.Origin;
import dappleseam.query.Backend;
import dappleseam.query.ConnectionPolicy;
import dappleseam.query.ReuseStats;
import dappleseam.router.Member;
import dappleseam.router.NodeId;
import dappleseam.servers.CacheNode;
import dappleseam.wire.IoLoop;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The nodes as the list tells of them, and where each is dialled. */
final class Nodes {
    private static final Logger LOG = System.getLogger(Nodes.class.getName());
    /** Nodes of one list that have lines of their own in the log: a whole fleet of the usual size at its start. */
    private static final int MOST_LOGGED = 40;

    private final IoLoop loop;
    private int originModel;
    private ConnectionPolicy connections;
    private final Map<NodeId, Peer> peers = new HashMap<>();
    private long version;
    /** Lists heard of so far. */
    private long lists;
    /** Whether something has changed since the list was last published. */
    private boolean hasChanged;
    /** The list as last published, for other threads. */
    private volatile NodeList last = new NodeList(0, true, List.of());
    /** Lines of the log about single nodes of the list that is being learnt. */
    private int logged;

    /** A listed node and where it is dialled. */
    private static final class Peer {
        final ListEntry entry;
        final Backend backend;
        /** The last list that named it. */
        long listedIn;

        Peer(ListEntry entry, Backend backend, long listedIn) {
            this.entry = entry;
            this.backend = backend;
            this.listedIn = listedIn;
        }

        InetSocketAddress endpoint() {
            return entry.endpoint();
        }
    }

    Nodes(IoLoop loop, int originModel, ConnectionPolicy connections) {
        this.loop = loop;
        this.originModel = originModel;
        this.connections = connections;
    }

    /** What is allowed from now on. */
    void limit(int newOriginModel, ConnectionPolicy newConnections) {
        originModel = newOriginModel;
        connections = newConnections;
        peers.values().forEach(peer -> peer.backend.setPolicy(connections));
    }

    ReuseStats reuse() {
        return connections.reuseStats();
    }

    int count() {
        return peers.size();
    }

    /** Null for a node that is not listed. */
    Backend backend(NodeId node) {
        Peer peer = peers.get(node);
        return peer == null ? null : peer.backend;
    }

    /** The whole list as last published; for any thread. */
    NodeList lastList() {
        return last;
    }

    /** The whole list as last told. */
    NodeList wholeList() {
        return new NodeList(version, true, peers.values().stream().map(peer -> peer.entry).toList());
    }

    /** Shows other threads the list as it is now. */
    void publish() {
        if (hasChanged) {
            hasChanged = false;
            last = wholeList();
        }
    }

    /** The caches in use, and when each started. */
    Map<NodeId, Double> readyCaches() {
        Map<NodeId, Double> caches = new HashMap<>();
        peers.forEach((node, peer) -> {
            Member member = peer.entry.member();
            if (member.state() == Member.State.READY && member.model() != originModel) {
                caches.put(node, member.startedAtMs());
            }
        });
        return caches;
    }

    void learn(NodeList list) {
        version = list.version();
        hasChanged = true;
        logged = 0;
        lists++;
        for (ListEntry entry : list.entries()) {
            Member m = entry.member();
            Peer peer = peers.get(m.node());
            if (m.state() == Member.State.GONE) {
                forget(m.node());
            } else if (entry.endpoint() != null && (peer == null || !peer.entry.equals(entry))) {
                know(entry, peer);
            } else if (peer != null) {
                peer.listedIn = lists;
            }
        }
        if (list.full()) {
            peers.entrySet().stream().filter(e -> e.getValue().listedIn != lists).map(Map.Entry::getKey).toList().forEach(this::forget);
        }
        if (logged > MOST_LOGGED) {
            LOG.log(Level.INFO, "{0} more nodes have changed, {1} are listed", logged - MOST_LOGGED, peers.size());
        }
    }

    /** Says it of the first few of a list; all of a large fleet's would take more time than the list itself. */
    private boolean mayLog() {
        return ++logged <= MOST_LOGGED;
    }

    /** A node is new, or something of it has changed. */
    private void know(ListEntry entry, Peer before) {
        Member m = entry.member();
        if (mayLog()) {
            LOG.log(Level.INFO, "node {0} is {1} at {2}: {3}", entry.uid(), name(m.node()), entry.endpoint(), m.state());
        }
        boolean stays = before != null && before.endpoint().equals(entry.endpoint());
        if (before != null && !stays) {
            before.backend.retire();
        }
        Backend backend = stays ? before.backend : backend(m, entry.endpoint());
        peers.put(m.node(), new Peer(entry, backend, lists));
        if (m.state() == Member.State.DRAINING) {
            backend.failWaiting();
        }
    }

    /** As the router names it in its lines. */
    private static String name(NodeId node) {
        return Long.toHexString(node.value());
    }

    private Backend backend(Member m, InetSocketAddress endpoint) {
        return m.model() == originModel ? new Origin(loop, endpoint, connections) : new CacheNode(loop, endpoint, connections);
    }

    private void forget(NodeId node) {
        Peer peer = peers.remove(node);
        if (peer != null) {
            if (mayLog()) {
                LOG.log(Level.INFO, "node {0} has left the list", name(node));
            }
            peer.backend.retire();
        }
    }
}
