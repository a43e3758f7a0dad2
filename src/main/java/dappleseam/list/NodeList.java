package dappleseam.list;

import java.util.List;

/** The list, or what has changed of it, at one version. */
public record NodeList(long version, boolean full, List<ListEntry> entries) {}
