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

/** What operators read of a snapshot: figures in Prometheus' text format, and the view as JSON. */
public final class FleetStatusWriter {
    private static final double MS_PER_S = 1000;

    private FleetStatusWriter() {}

    /** {@code shot} is null while another process has the address. */
    public static String metrics(Snapshot shot) {
        StringBuilder text = new StringBuilder();
        line(text, "fleet_joined", "gauge", shot == null ? 0 : 1);
        if (shot == null) {
            return text.toString();
        }
        text.append("# TYPE app_fleet_members gauge\n");
        for (MemberEntry.State state : MemberEntry.State.values()) {
            text.append("app_fleet_members{state=\"").append(lower(state)).append("\"} ").append(shot.in(state)).append('\n');
        }
        text.append("# TYPE app_fleet_standing gauge\n");
        for (MembershipStatus.Kind kind : MembershipStatus.Kind.values()) {
            text.append("app_fleet_standing{kind=\"").append(lower(kind)).append("\"} ")
                    .append(kind == shot.standing().kind() ? 1 : 0).append('\n');
        }
        line(text, "fleet_counted", "gauge", shot.counted());
        if (!Double.isNaN(shot.share())) {
            text.append("# TYPE app_fleet_share gauge\napp_fleet_share ").append(shot.share()).append('\n');
        }
        if (!Double.isNaN(shot.place())) {
            text.append("# TYPE app_fleet_place gauge\napp_fleet_place ").append(shot.place()).append('\n');
        }
        line(text, "fleet_own_health", "gauge", shot.health());
        line(text, "fleet_twin", "gauge", shot.twin() == null ? 0 : 1);
        line(text, "fleet_datagrams_sent_total", "counter", shot.sent());
        line(text, "fleet_datagrams_received_total", "counter", shot.received());
        text.append("# TYPE app_fleet_datagrams_dropped_total counter\n");
        for (InvalidDatagramException.Why why : InvalidDatagramException.Why.values()) {
            drop(text, lower(why), shot.dropped().getOrDefault(why, 0L));
        }
        drop(text, "flood", shot.flooded());
        line(text, "fleet_members_turned_away_total", "counter", shot.turnedAway());
        if (shot.votes() != null) {
            line(text, "fleet_voter_speaks", "gauge", shot.votes() ? 1 : 0);
        }
        text.append("# TYPE app_fleet_lease_held gauge\n");
        shot.leases().forEach(l -> text.append("app_fleet_lease_held{lease=\"").append(l.lease()).append("\"} 1\n"));
        if (shot.said() != null) {
            text.append("# TYPE app_fleet_words gauge\n");
            for (VerdictKind word : new VerdictKind[] {VerdictKind.HINT, VerdictKind.FAILS}) {
                text.append("app_fleet_words{kind=\"").append(lower(word)).append("\"} ").append(shot.said().stream().filter(s -> s.kind() == word).count()).append('\n');
            }
        }
        line(text, "fleet_busy_ms_total", "counter", Math.round(shot.busyMs()));
        return text.toString();
    }

    private static void drop(StringBuilder text, String why, long count) {
        text.append("app_fleet_datagrams_dropped_total{why=\"").append(why).append("\"} ").append(count).append('\n');
    }

    private static String lower(Enum<?> word) {
        return word.name().toLowerCase(Locale.ROOT);
    }

    private static void line(StringBuilder text, String name, String type, long value) {
        text.append("# TYPE app_").append(name).append(' ').append(type).append("\napp_").append(name).append(' ').append(value).append('\n');
    }

    /** One object; times are s ago. */
    public static String json(Snapshot shot, double nowMs) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            json.writeBooleanField("joined", shot != null);
            if (shot != null) {
                json.writeStringField("name", shot.view().get(0).name().text());
                json.writeStringField("standing", lower(shot.standing().kind()));
                json.writeNumberField("standing_for_s", Math.round((nowMs - shot.standing().sinceMs()) / MS_PER_S));
                json.writeArrayFieldStart("missing");
                for (MemberName name : shot.standing().missing()) {
                    json.writeString(name.text());
                }
                json.writeEndArray();
                json.writeNumberField("counted", shot.counted());
                if (!Double.isNaN(shot.share())) {
                    json.writeNumberField("share_percent", Math.round(1e4 * shot.share()) / 1e2);
                }
                json.writeNumberField("own_health", shot.health());
                if (shot.twin() != null) {
                    json.writeStringField("twin_at", text(shot.twin().address()));
                }
                if (shot.votes() != null) {
                    json.writeBooleanField("voter_speaks", shot.votes());
                }
                json.writeArrayFieldStart("leases");
                for (Snapshot.HeldLease lease : shot.leases()) {
                    json.writeStartObject();
                    json.writeStringField("lease", lease.lease().text());
                    json.writeStringField("token", lease.token().text());
                    json.writeNumberField("held_for_s", Math.round((nowMs - lease.sinceMs()) / MS_PER_S));
                    json.writeEndObject();
                }
                json.writeEndArray();
                if (shot.said() != null) {
                    json.writeArrayFieldStart("words");
                    for (PeerVerdict said : shot.said()) {
                        json.writeStartObject();
                        json.writeStringField("node", Long.toHexString(said.node().value()));
                        json.writeStringField("word", lower(said.kind()));
                        json.writeNumberField("fails", said.failingVotes());
                        json.writeNumberField("works", said.workingVotes());
                        json.writeNumberField("turn", said.retryRank());
                        json.writeEndObject();
                    }
                    json.writeEndArray();
                }
                json.writeArrayFieldStart("members");
                for (MemberEntry notice : shot.view()) {
                    json.writeStartObject();
                    json.writeStringField("name", notice.name().text());
                    json.writeStringField("state", lower(notice.state()));
                    json.writeStringField("address", text(notice.address()));
                    json.writeNumberField("start", notice.generation().start());
                    json.writeNumberField("incarnation", notice.incarnation());
                    json.writeEndObject();
                }
                json.writeEndArray();
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot be written to", e);
        }
        return text.append('\n').toString();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }
}
