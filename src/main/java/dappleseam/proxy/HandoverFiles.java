package dappleseam.proxy;

import com.fasterxml.jackson.databind.JsonNode;
import dappleseam.list.ListFile;
import dappleseam.list.NodeList;
import dappleseam.router.NodeHealth;
import dappleseam.site.ProxyConfig;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/** The files by which a process on an address leaves its state to the next one: the service list, the health of nodes and the ids of recent queries. */
final class HandoverFiles {
    private static final Logger LOG = System.getLogger(HandoverFiles.class.getName());
    /** Pause between two writes of the list, as a multiple of a write's duration, so that a long list that changes often does not use up the processor. */
    private static final double LIST_WRITE_REST_FACTOR = 20;
    /** Time in ms until a failed write of the list is retried. */
    private static final double LIST_WRITE_RETRY_MS = 500;
    /** Interval in ms between writes of the node health; a fraction of the time for which it is valid. */
    private static final double HEALTH_WRITE_INTERVAL_MS = 1000;
    private static final String LIST_SUFFIX = "-list";
    private static final String HEALTH_SUFFIX = "-learnt";
    private static final String FLEET_SUFFIX = "-fleet";
    private static final String IDS_SUFFIX = "-ids";
    private static final String SERVICE_SUFFIX = "-service";

    private final ProxyConfig config;
    private final Path listFile;
    private final Path healthFile;
    /** The list last written; used on the control thread only, as is what follows. */
    private NodeList savedList;
    private double nextListWriteAt;
    private List<NodeHealth> savedHealth = List.of();
    private double healthSavedAt;

    HandoverFiles(ProxyConfig config) {
        this.config = config;
        listFile = file(config.listen(), LIST_SUFFIX);
        healthFile = file(config.listen(), HEALTH_SUFFIX);
    }

    /** The folder for files shared with the next process. */
    static Path folder() {
        String configured = System.getenv("TMPDIR");
        return Path.of(configured == null || configured.isEmpty() ? System.getProperty("java.io.tmpdir") : configured);
    }

    private static Path file(InetSocketAddress listen, String suffix) {
        return folder().resolve(AddressLocks.VERSION).resolve(AddressLocks.name(listen) + suffix);
    }

    /** The file with the addresses of the fleet's members. */
    static Path fleetFile(ProxyConfig config) {
        return file(config.listen(), FLEET_SUFFIX);
    }

    /** The file that tells whether the address is out of service. */
    static ServiceFile serviceFile(ProxyConfig config) {
        return new ServiceFile(file(config.listen(), SERVICE_SUFFIX));
    }

    /** Rule 3 during an upgrade: drains known to the other process hold for this one, too. */
    ProxyConfig withSavedList() {
        try {
            JsonNode list = ListFile.read(listFile);
            long version = config.knownList().path("rev").asLong(-1);
            if (list.path("rev").asLong() >= version) {
                LOG.log(Level.INFO, "list taken over at version {0}, the file had {1}", list.path("rev").asLong(), version);
                return config.withKnownList(list);
            }
        } catch (IOException | RuntimeException e) { // optional
            LOG.log(Level.INFO, "no list taken over: {0}", e.toString());
        }
        return config;
    }

    /** Reads the node health of the previous process, so that nodes known to fail are avoided in the first seconds after a switch. */
    List<NodeHealth> readHealth(double nowMs) {
        try {
            List<NodeHealth> health = NodeHealthFile.read(healthFile, config.settings(), nowMs);
            LOG.log(Level.INFO, "learnt before of {0} nodes", health.size());
            return health;
        } catch (IOException | RuntimeException e) { // optional
            LOG.log(Level.INFO, "nothing learnt is taken over: {0}", e.toString());
            return List.of();
        }
    }

    /** The ids of recent queries, shared with another process on the address. */
    RecentIds openRecentIds() {
        try {
            return RecentIds.shared(file(config.listen(), IDS_SUFFIX));
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "another process on this address would not know the ids taken here: {0}", e.toString());
            return RecentIds.ofProcess();
        }
    }

    /** Writes what has changed for the next process; {@code serving} is null before there is a proxy. On the control thread, at short intervals. */
    void save(Proxy serving) {
        if (serving != null) {
            double now = EventLoop.monotonicMs();
            saveList(serving.publishedList(), now);
            saveHealth(serving.nodeHealth(), now);
        }
    }

    private void saveList(NodeList last, double now) {
        if (last == savedList || now < nextListWriteAt) {
            return;
        }
        try {
            ListFile.write(listFile, last);
            savedList = last;
            nextListWriteAt = now + LIST_WRITE_REST_FACTOR * (EventLoop.monotonicMs() - now);
        } catch (IOException | RuntimeException e) {
            nextListWriteAt = now + LIST_WRITE_RETRY_MS;
            LOG.log(Level.WARNING, "the list is not kept yet for a process that takes over: {0}", e.toString());
        }
    }

    private void saveHealth(List<NodeHealth> last, double now) {
        boolean hasHealth = !(last.isEmpty() && savedHealth.isEmpty());
        if (!hasHealth || now <= healthSavedAt + HEALTH_WRITE_INTERVAL_MS) {
            return;
        }
        healthSavedAt = now;
        try {
            NodeHealthFile.write(healthFile, config.settings(), now, last);
            savedHealth = last;
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.WARNING, "what was learnt is not kept: {0}", e.toString());
        }
    }
}
