package dappleseam.proxy;

import dappleseam.list.Listed;
import dappleseam.list.NodeList;
import dappleseam.origin.Origin;
import dappleseam.query.Backend;
import dappleseam.query.Connections;
import dappleseam.query.Reuse;
import dappleseam.router.Member;
import dappleseam.router.NodeId;
import dappleseam.servers.CacheNode;
import dappleseam.wire.Loop;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The nodes on the service list, each with the backend that connects to it. */
final class Nodes {
    private static final Logger LOG = System.getLogger(Nodes.class.getName());
    /** Maximum number of nodes logged individually per list: enough for a fleet of ordinary size at its start. */
    private static final int MOST_LOGGED = 40;

    private final Loop loop;
    private int originModel;
    private Connections connections;
    private final Map<NodeId, Peer> peers = new HashMap<>();
    private long version;
    /** Number of lists received so far. */
    private long lists;
    /** Whether the list has changed since it was last published. */
    private boolean hasChanged;
    /** The list as last published; read by other threads. */
    private volatile NodeList last = new NodeList(0, true, List.of());
    /** Number of changes logged for the list that is being applied. */
    private int logged;

    /** A listed node and its backend. */
    private static final class Peer {
        final Listed entry;
        final Backend backend;
        /** Number of the last list that contained it. */
        long listedIn;

        Peer(Listed entry, Backend backend, long listedIn) {
            this.entry = entry;
            this.backend = backend;
            this.listedIn = listedIn;
        }

        InetSocketAddress endpoint() {
            return entry.endpoint();
        }
    }

    Nodes(Loop loop, int originModel, Connections connections) {
        this.loop = loop;
        this.originModel = originModel;
        this.connections = connections;
    }

    /** Applies new settings to all backends. */
    void limit(int newOriginModel, Connections newConnections) {
        originModel = newOriginModel;
        connections = newConnections;
        peers.values().forEach(peer -> peer.backend.limit(connections));
    }

    Reuse reuse() {
        return connections.reuse();
    }

    int count() {
        return peers.size();
    }

    /** The node's backend; null if it is not listed. */
    Backend backend(NodeId node) {
        Peer peer = peers.get(node);
        return peer == null ? null : peer.backend;
    }

    /** The full list as last published; thread-safe. */
    NodeList lastList() {
        return last;
    }

    /** The full list as it is now. */
    NodeList wholeList() {
        return new NodeList(version, true, peers.values().stream().map(peer -> peer.entry).toList());
    }

    /** Makes the current list visible to other threads. */
    void publish() {
        if (hasChanged) {
            hasChanged = false;
            last = wholeList();
        }
    }

    /** The ready caches with their start times in ms. */
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

    /** Applies a full list or changes to the current one. */
    void learn(NodeList list) {
        version = list.version();
        hasChanged = true;
        logged = 0;
        lists++;
        for (Listed entry : list.entries()) {
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
        if (list.whole()) {
            peers.entrySet().stream().filter(e -> e.getValue().listedIn != lists).map(Map.Entry::getKey).toList().forEach(this::forget);
        }
        if (logged > MOST_LOGGED) {
            LOG.log(Level.INFO, "{0} more nodes have changed, {1} are listed", logged - MOST_LOGGED, peers.size());
        }
    }

    /** Whether to log another change: logging all of a large fleet would take longer than applying its list. */
    private boolean mayLog() {
        return ++logged <= MOST_LOGGED;
    }

    /** Adds a node, or replaces one whose entry has changed. */
    private void know(Listed entry, Peer before) {
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
            backend.endWaiting();
        }
    }

    /** The node's name, as in the router's log lines. */
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
