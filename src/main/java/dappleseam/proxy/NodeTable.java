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

/** The nodes on the service list, each with the backend that connects to it. */
final class NodeTable {
    private static final Logger LOG = System.getLogger(NodeTable.class.getName());
    /** Maximum number of nodes logged individually per list: enough for a fleet of ordinary size at its start. */
    private static final int MAX_LOGGED_CHANGES = 40;

    private final IoLoop loop;
    private int originModel;
    private ConnectionPolicy policy;
    private final Map<NodeId, ListedNode> nodes = new HashMap<>();
    private long listVersion;
    /** Number of lists received so far. */
    private long listCount;
    /** Whether the list has changed since it was last published. */
    private boolean hasChanged;
    /** The list as last published; read by other threads. */
    private volatile NodeList published = new NodeList(0, true, List.of());
    /** Number of changes logged for the list that is being applied. */
    private int loggedChanges;

    /** A listed node and its backend. */
    private static final class ListedNode {
        final ListEntry entry;
        final Backend backend;
        /** Number of the last list that contained it. */
        long lastListed;

        ListedNode(ListEntry entry, Backend backend, long lastListed) {
            this.entry = entry;
            this.backend = backend;
            this.lastListed = lastListed;
        }

        InetSocketAddress endpoint() {
            return entry.endpoint();
        }
    }

    NodeTable(IoLoop loop, int originModel, ConnectionPolicy policy) {
        this.loop = loop;
        this.originModel = originModel;
        this.policy = policy;
    }

    /** Applies new settings to all backends. */
    void setLimits(int newOriginModel, ConnectionPolicy newPolicy) {
        originModel = newOriginModel;
        policy = newPolicy;
        nodes.values().forEach(listed -> listed.backend.setPolicy(policy));
    }

    ReuseStats reuse() {
        return policy.reuseStats();
    }

    int count() {
        return nodes.size();
    }

    /** The node's backend; null if it is not listed. */
    Backend backend(NodeId node) {
        ListedNode listed = nodes.get(node);
        return listed == null ? null : listed.backend;
    }

    /** The full list as last published; thread-safe. */
    NodeList publishedList() {
        return published;
    }

    /** The full list as it is now. */
    NodeList currentList() {
        return new NodeList(listVersion, true, nodes.values().stream().map(listed -> listed.entry).toList());
    }

    /** Makes the current list visible to other threads. */
    void publish() {
        if (hasChanged) {
            hasChanged = false;
            published = currentList();
        }
    }

    /** The ready caches with their start times in ms. */
    Map<NodeId, Double> readyCaches() {
        Map<NodeId, Double> caches = new HashMap<>();
        nodes.forEach((node, listed) -> {
            Member member = listed.entry.member();
            if (member.state() == Member.State.READY && member.model() != originModel) {
                caches.put(node, member.startedAtMs());
            }
        });
        return caches;
    }

    /** Applies a full list or changes to the current one. */
    void apply(NodeList list) {
        listVersion = list.version();
        hasChanged = true;
        loggedChanges = 0;
        listCount++;
        for (ListEntry entry : list.entries()) {
            Member m = entry.member();
            ListedNode listed = nodes.get(m.node());
            if (m.state() == Member.State.GONE) {
                removeNode(m.node());
            } else if (entry.endpoint() != null && (listed == null || !listed.entry.equals(entry))) {
                putNode(entry, listed);
            } else if (listed != null) {
                listed.lastListed = listCount;
            }
        }
        if (list.full()) {
            nodes.entrySet().stream().filter(e -> e.getValue().lastListed != listCount).map(Map.Entry::getKey).toList().forEach(this::removeNode);
        }
        if (loggedChanges > MAX_LOGGED_CHANGES) {
            LOG.log(Level.INFO, "{0} more nodes have changed, {1} are listed", loggedChanges - MAX_LOGGED_CHANGES, nodes.size());
        }
    }

    /** Whether to log another change: logging all of a large fleet would take longer than applying its list. */
    private boolean shouldLog() {
        return ++loggedChanges <= MAX_LOGGED_CHANGES;
    }

    /** Adds a node, or replaces one whose entry has changed. A new process at the same address gets connections of its own. */
    private void putNode(ListEntry entry, ListedNode previous) {
        Member m = entry.member();
        if (shouldLog()) {
            LOG.log(Level.INFO, "node {0} is {1} at {2}: {3}", entry.uid(), name(m.node()), entry.endpoint(), m.state());
        }
        boolean isSameProcess = previous != null && previous.endpoint().equals(entry.endpoint()) && previous.entry.member().startedAtMs() == m.startedAtMs();
        if (previous != null && !isSameProcess) {
            previous.backend.retire();
        }
        Backend backend = isSameProcess ? previous.backend : backend(m, entry.endpoint());
        nodes.put(m.node(), new ListedNode(entry, backend, listCount));
        if (m.state() == Member.State.DRAINING) {
            backend.failWaiting();
        }
    }

    /** The node's name, as in the router's log lines. */
    private static String name(NodeId node) {
        return Long.toHexString(node.value());
    }

    private Backend backend(Member m, InetSocketAddress endpoint) {
        return m.model() == originModel ? new Origin(loop, endpoint, policy) : new CacheNode(loop, endpoint, policy);
    }

    private void removeNode(NodeId node) {
        ListedNode listed = nodes.remove(node);
        if (listed != null) {
            if (shouldLog()) {
                LOG.log(Level.INFO, "node {0} has left the list", name(node));
            }
            listed.backend.retire();
        }
    }
}
