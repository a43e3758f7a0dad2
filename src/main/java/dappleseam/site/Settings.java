package dappleseam.site;

import dappleseam.router.RouterSettings;
import java.util.List;

/**
 * What a deployment says of itself: what the router reads, and what only a proxy on sockets does. The
 * names of the service grades stand in the order in which the deployment has them.
 */
public record Settings(RouterSettings routerSettings, List<String> gradeNames, List<String> modelNames,
                   List<String> zones, int maxCommandsPerConnection, double idleCloseMs,
                   double connectTimeoutMs, int mostHeld) {}
