package dappleseam.site;

import dappleseam.router.Deployment;
import java.util.List;

/**
 * The settings of a deployment: those that the router reads, and those that only a proxy on sockets needs. {@code gradeNames} is in the
 * order of the grades in {@code routerSettings}; nodes refer to {@code modelNames} and {@code zones} by index.
 */
public record Site(Deployment deployment, List<String> gradeNames, List<String> machines,
                   List<String> zones, int commandsAtOnce, double idleCloseMs,
                   double connectTimeoutMs, int mostHeld) {}
