package dappleseam.site;

import dappleseam.router.RouterSettings;
import java.util.List;

/**
 * The settings of a deployment: those that the router reads, and those that only a proxy on sockets needs. {@code gradeNames} is in the
 * order of the grades in {@code routerSettings}; nodes refer to {@code modelNames} and {@code zones} by index.
 */
public record Settings(RouterSettings routerSettings, List<String> gradeNames, List<String> modelNames,
                   List<String> zones, int maxCommandsPerConnection, boolean allowsProbes, double idleCloseMs,
                   double connectTimeoutMs, int mostHeld) {}
