package dappleseam.site;

import dappleseam.router.Deployment;
import java.util.List;

/**
 * What a deployment says of itself: what the router reads, and what only a proxy on sockets does. The
 * names of the service grades stand in the order in which the deployment has them.
 */
public record Site(Deployment deployment, List<String> gradeNames, List<String> machines,
                   List<String> zones, int commandsAtOnce, double idleCloseMs,
                   double connectTimeoutMs, int mostHeld) {}
