package dappleseam.fleet.peers;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.membership.MembershipStatus;
import dappleseam.router.NodeId;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Changes of a view, one JSON object a line, each with the machine's monotonic clock in ms. Ends at its bound, or where it cannot be written. */
final class ViewRecord {
    private static final Logger LOG = System.getLogger(ViewRecord.class.getName());
    private static final long MOST_BYTES = 64L << 20;

    private JsonGenerator json;
    private OutputStream out;
    private long left = MOST_BYTES;

    ViewRecord(Path file) {
        if (file != null) {
            try {
                out = Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
                json = new JsonFactory().createGenerator(out);
                json.setRootValueSeparator(null);
            } catch (IOException e) {
                LOG.log(Level.WARNING, "fleet: no record of views: {0}", e.toString());
            }
        }
    }

    private interface Fields {
        void write(JsonGenerator json) throws IOException;
    }

    private void line(double nowMs, Fields fields) {
        if (json == null) {
            return;
        }
        try {
            json.writeStartObject();
            json.writeNumberField("ms", nowMs);
            fields.write(json);
            json.writeEndObject();
            json.writeRaw('\n');
            left -= json.getOutputBuffered();
            json.flush();
            if (left <= 0) {
                close();
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "fleet: the record of views ends here: {0}", e.toString());
            close();
        }
    }

    void began(double nowMs, MemberEntry self) {
        line(nowMs, to -> {
            to.writeStringField("began", self.name().text());
            to.writeNumberField("nonce", self.generation().nonce());
        });
    }

    void saw(double nowMs, MemberEntry before, MemberEntry now) {
        if (before != null && before.state() == now.state() && before.generation().equals(now.generation())) {
            return; // an incarnation only
        }
        line(nowMs, to -> {
            to.writeStringField("saw", now.name().text());
            to.writeNumberField("nonce", now.generation().nonce());
            to.writeNumberField("incarnation", now.incarnation());
            to.writeStringField("state", now.state().name());
        });
    }

    void stands(double nowMs, MembershipStatus standing, int counted) {
        line(nowMs, to -> {
            to.writeStringField("stands", standing.kind().name());
            to.writeNumberField("counted", counted);
            to.writeNumberField("missing", standing.missing().size());
        });
    }

    /** The process was not run for so many ms, up to now. */
    void stoodStill(double nowMs, double ms) {
        line(nowMs, to -> to.writeNumberField("stood_still", ms));
    }

    void counts(double nowMs, int counted) {
        line(nowMs, to -> to.writeNumberField("counted", counted));
    }

    void takes(double nowMs, double share) {
        line(nowMs, to -> to.writeNumberField("share", share));
    }

    /** {@code FAILS}, {@code CLEARED}: what is said of a cache by own sight from now on; {@code CONVICTED}: what others' words have come to. */
    void says(double nowMs, NodeId cache, String verdict) {
        line(nowMs, to -> {
            to.writeStringField("cache", Long.toHexString(cache.value()));
            to.writeStringField("verdict", verdict);
        });
    }

    void twin(double nowMs, MemberEntry twin) {
        line(nowMs, to -> to.writeNumberField("twin", twin.generation().nonce()));
    }

    void held(double nowMs, LeaseName lease, Token token, double untilMs) {
        line(nowMs, to -> {
            to.writeStringField("held", lease.text());
            to.writeNumberField("round", token.round());
            to.writeNumberField("until", untilMs);
        });
    }

    void lost(double nowMs, LeaseName lease, Token token) {
        line(nowMs, to -> {
            to.writeStringField("lost", lease.text());
            to.writeNumberField("round", token.round());
        });
    }

    void close() {
        try {
            if (json != null) {
                json.close();
                out.close();
            }
        } catch (IOException e) {
            LOG.log(Level.DEBUG, "fleet: {0}", e.toString());
        }
        json = null;
    }
}
