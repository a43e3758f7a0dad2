package dappleseam.list;

import java.util.List;

/** The node list at one version: the full list, or only the entries that have changed. */
public record NodeList(long version, boolean full, List<ListEntry> entries) {}
