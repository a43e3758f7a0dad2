package dappleseam.fleet.peers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MembershipStatus;
import dappleseam.fleet.share.PeerVerdict;
import dappleseam.fleet.share.VerdictKind;
import java.io.IOException;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.util.Locale;

/** Writes a {@link FleetSnapshot} for operators: as metrics in the Prometheus text format, and as JSON. */
public final class FleetStatusWriter {
    private static final double MS_PER_S = 1000;

    private FleetStatusWriter() {}

    /** Metrics; {@code snapshot} is null while another process has the address. */
    public static String metrics(FleetSnapshot snapshot) {
        StringBuilder text = new StringBuilder();
        appendMetric(text, "fleet_joined", "gauge", snapshot == null ? 0 : 1);
        if (snapshot == null) {
            return text.toString();
        }
        text.append("# TYPE app_fleet_members gauge\n");
        for (MemberEntry.State state : MemberEntry.State.values()) {
            text.append("app_fleet_members{state=\"").append(lowerCase(state)).append("\"} ").append(snapshot.membersIn(state)).append('\n');
        }
        text.append("# TYPE app_fleet_standing gauge\n");
        for (MembershipStatus.Kind statusKind : MembershipStatus.Kind.values()) {
            text.append("app_fleet_standing{kind=\"").append(lowerCase(statusKind)).append("\"} ")
                    .append(statusKind == snapshot.status().kind() ? 1 : 0).append('\n');
        }
        appendMetric(text, "fleet_counted", "gauge", snapshot.fleetSize());
        if (!Double.isNaN(snapshot.share())) {
            text.append("# TYPE app_fleet_share gauge\napp_fleet_share ").append(snapshot.share()).append('\n');
        }
        if (!Double.isNaN(snapshot.position())) {
            text.append("# TYPE app_fleet_place gauge\napp_fleet_place ").append(snapshot.position()).append('\n');
        }
        appendMetric(text, "fleet_own_health", "gauge", snapshot.healthScore());
        appendMetric(text, "fleet_twin", "gauge", snapshot.duplicate() == null ? 0 : 1);
        appendMetric(text, "fleet_datagrams_sent_total", "counter", snapshot.sent());
        appendMetric(text, "fleet_datagrams_received_total", "counter", snapshot.received());
        text.append("# TYPE app_fleet_datagrams_dropped_total counter\n");
        for (InvalidDatagramException.Reason reason : InvalidDatagramException.Reason.values()) {
            appendDropped(text, lowerCase(reason), snapshot.dropped().getOrDefault(reason, 0L));
        }
        appendDropped(text, "flood", snapshot.rateLimited());
        appendMetric(text, "fleet_members_turned_away_total", "counter", snapshot.droppedForCapacity());
        if (snapshot.voterActive() != null) {
            appendMetric(text, "fleet_voter_speaks", "gauge", snapshot.voterActive() ? 1 : 0);
        }
        text.append("# TYPE app_fleet_lease_held gauge\n");
        snapshot.heldLeases().forEach(l -> text.append("app_fleet_lease_held{lease=\"").append(l.lease()).append("\"} 1\n"));
        if (snapshot.verdicts() != null) {
            text.append("# TYPE app_fleet_words gauge\n");
            for (VerdictKind verdictKind : new VerdictKind[] {VerdictKind.HINT, VerdictKind.FAILS}) {
                text.append("app_fleet_words{kind=\"").append(lowerCase(verdictKind)).append("\"} ").append(snapshot.verdicts().stream().filter(s -> s.kind() == verdictKind).count()).append('\n');
            }
        }
        appendMetric(text, "fleet_busy_ms_total", "counter", Math.round(snapshot.busyMs()));
        return text.toString();
    }

    private static void appendDropped(StringBuilder text, String reason, long count) {
        text.append("app_fleet_datagrams_dropped_total{why=\"").append(reason).append("\"} ").append(count).append('\n');
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static void appendMetric(StringBuilder text, String name, String type, long value) {
        text.append("# TYPE app_").append(name).append(' ').append(type).append("\napp_").append(name).append(' ').append(value).append('\n');
    }

    /** The view as one JSON object, with times in seconds ago. */
    public static String json(FleetSnapshot snapshot, double nowMs) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeBooleanField("joined", snapshot != null);
            if (snapshot != null) {
                json.writeStringField("name", snapshot.view().get(0).name().text());
                json.writeStringField("standing", lowerCase(snapshot.status().kind()));
                json.writeNumberField("standing_for_s", Math.round((nowMs - snapshot.status().sinceMs()) / MS_PER_S));
                json.writeArrayFieldStart("missing");
                for (MemberName name : snapshot.status().missing()) {
                    json.writeString(name.text());
                }
                json.writeEndArray();
                json.writeNumberField("counted", snapshot.fleetSize());
                if (!Double.isNaN(snapshot.share())) {
                    json.writeNumberField("share_percent", Math.round(1e4 * snapshot.share()) / 1e2);
                }
                json.writeNumberField("own_health", snapshot.healthScore());
                if (snapshot.duplicate() != null) {
                    json.writeStringField("twin_at", format(snapshot.duplicate().address()));
                }
                if (snapshot.voterActive() != null) {
                    json.writeBooleanField("voter_speaks", snapshot.voterActive());
                }
                json.writeArrayFieldStart("leases");
                for (FleetSnapshot.HeldLease lease : snapshot.heldLeases()) {
                    json.writeStartObject();
                    json.writeStringField("lease", lease.lease().text());
                    json.writeStringField("token", lease.token().text());
                    json.writeNumberField("held_for_s", Math.round((nowMs - lease.sinceMs()) / MS_PER_S));
                    json.writeEndObject();
                }
                json.writeEndArray();
                if (snapshot.verdicts() != null) {
                    json.writeArrayFieldStart("words");
                    for (PeerVerdict verdict : snapshot.verdicts()) {
                        json.writeStartObject();
                        json.writeStringField("node", Long.toHexString(verdict.node().value()));
                        json.writeStringField("word", lowerCase(verdict.kind()));
                        json.writeNumberField("fails", verdict.failingVotes());
                        json.writeNumberField("works", verdict.workingVotes());
                        json.writeNumberField("turn", verdict.retryRank());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                }
                json.writeArrayFieldStart("members");
                for (MemberEntry member : snapshot.view()) {
                    json.writeStartObject();
                    json.writeStringField("name", member.name().text());
                    json.writeStringField("state", lowerCase(member.state()));
                    json.writeStringField("address", format(member.address()));
                    json.writeNumberField("start", member.generation().start());
                    json.writeNumberField("incarnation", member.incarnation());
                    json.writeEndObject();
                }
                json.writeEndArray();
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return text.append('\n').toString();
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }
}
