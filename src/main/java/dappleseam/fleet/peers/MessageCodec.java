package dappleseam.fleet.peers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import dappleseam.fleet.lease.VoterMessages;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.Generation;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.MemberEntry;
import dappleseam.fleet.peers.FleetMessage.Kind;
import dappleseam.fleet.peers.InvalidDatagramException.Why;
import dappleseam.fleet.share.Announcement;
import dappleseam.fleet.share.NodeObservation;
import dappleseam.fleet.share.AnnouncedTraffic;
import dappleseam.router.NodeId;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Letters as datagrams: a byte that tells this program, one of the version, CRC-32C of what follows, and one CBOR array (RFC 8949). Not for
 * several threads.
 */
public final class MessageCodec {
    /** Bytes of the longest datagram: it passes every usual link in one piece. */
    public static final int LONGEST = 1400;
    private static final int HEAD = 6;
    private static final byte PROGRAM = (byte) 0xD5;
    private static final byte VERSION = 2;
    private static final int NESTING = 3;
    /** Of a letter without bulletins. */
    private static final int FIELDS = 10;
    private static final int LONGEST_NAME = 48;
    private static final int ADDRESS_BYTES = 6;
    /** Notices in a datagram at most: each takes over thirty bytes. */
    private static final int MOST_NOTICES = 64;
    private static final int BALLOT_FIELDS = 12;
    private static final int BULLETIN_FIELDS = 8;
    private static final int SIGHT_FIELDS = 4;
    /** Bulletins in a datagram at most: each takes over thirty bytes. */
    private static final int MOST_BULLETINS = 48;
    /** A day: longer than any lease. */
    private static final long LONGEST_LEFT_MS = 86_400_000;
    private static final LeaseMessage.Op[] OPS = LeaseMessage.Op.values();
    private static final VoterMessages.Refusal[] REFUSALS = VoterMessages.Refusal.values();
    private static final Kind[] KINDS = Kind.values();
    private static final MemberEntry.State[] STATES = MemberEntry.State.values();

    private final CBORFactory format = CBORFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
            .maxNestingDepth(NESTING).maxStringLength(LONGEST_NAME).maxNumberLength(20).maxDocumentLength(LONGEST).build()).build();
    private final CRC32C sum = new CRC32C();
    private final int fleet;

    /** Of one fleet, by its name. */
    public MessageCodec(String fleet) {
        this.fleet = fleet.hashCode();
    }

    public byte[] encode(FleetMessage letter) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(LONGEST);
        out.writeBytes(new byte[HEAD]);
        try (CBORGenerator cbor = format.createGenerator(out)) {
            cbor.writeStartArray(null, letter.announcements() == null ? FIELDS : FIELDS + 1);
            cbor.writeNumber(fleet);
            cbor.writeNumber(letter.kind().ordinal());
            encode(cbor, letter.sender());
            cbor.writeNumber(letter.number());
            if (letter.target() == null) {
                cbor.writeNull();
            } else {
                cbor.writeString(letter.target().text());
            }
            if (letter.subject() == null) {
                cbor.writeNull();
            } else {
                encode(cbor, letter.subject());
            }
            cbor.writeStartArray(null, letter.updates().size());
            for (MemberEntry notice : letter.updates()) {
                encode(cbor, notice);
            }
            cbor.writeEndArray();
            cbor.writeBoolean(letter.answer());
            if (letter.digests() == null) {
                cbor.writeNull();
            } else {
                ByteBuffer bytes = ByteBuffer.allocate(Integer.BYTES * letter.digests().length);
                bytes.asIntBuffer().put(letter.digests());
                cbor.writeBinary(bytes.array());
            }
            if (letter.leaseMessage() == null) {
                cbor.writeNull();
            } else {
                encode(cbor, letter.leaseMessage());
            }
            if (letter.announcements() != null) { // older programs drop these letters, and understand all others
                cbor.writeStartArray(null, letter.announcements().size());
                for (Announcement bulletin : letter.announcements()) {
                    encode(cbor, bulletin);
                }
                cbor.writeEndArray();
            }
            cbor.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot be written to", e);
        }
        byte[] bytes = out.toByteArray();
        ByteBuffer.wrap(bytes).put(PROGRAM).put(VERSION).putInt(sum(bytes, bytes.length));
        return bytes;
    }

    private static void encode(CBORGenerator cbor, LeaseMessage ballot) throws IOException {
        cbor.writeStartArray(null, BALLOT_FIELDS);
        cbor.writeNumber(ballot.op().ordinal());
        cbor.writeNumber(ballot.set());
        cbor.writeString(ballot.lease().text());
        encode(cbor, ballot.ballot());
        encode(cbor, ballot.other());
        cbor.writeString(ballot.holder() == null ? "" : ballot.holder().text());
        cbor.writeNumber(Math.round(ballot.leftMs()));
        cbor.writeNumber(ballot.number());
        cbor.writeNumber(ballot.known());
        cbor.writeNumber(ballot.reason().ordinal());
        cbor.writeEndArray();
    }

    private static void encode(CBORGenerator cbor, Token token) throws IOException {
        cbor.writeNumber(token.round());
        cbor.writeNumber(token.nonce());
    }

    private static LeaseMessage ballot(JsonParser cbor) throws IOException {
        need(cbor.currentToken() == JsonToken.START_ARRAY);
        LeaseMessage.Op op = OPS[(int) whole(cbor, 0, OPS.length - 1)];
        int set = (int) whole(cbor, Integer.MIN_VALUE, Integer.MAX_VALUE);
        need(cbor.nextToken() == JsonToken.VALUE_STRING);
        LeaseName lease = new LeaseName(cbor.getText());
        Token ballot = token(cbor);
        Token other = token(cbor);
        need(cbor.nextToken() == JsonToken.VALUE_STRING);
        MemberName holder = cbor.getText().isEmpty() ? null : new MemberName(cbor.getText());
        long left = whole(cbor, 0, LONGEST_LEFT_MS);
        long count = whole(cbor, 0, Long.MAX_VALUE);
        long known = whole(cbor, -1, Long.MAX_VALUE);
        VoterMessages.Refusal why = REFUSALS[(int) whole(cbor, 0, REFUSALS.length - 1)];
        need(cbor.nextToken() == JsonToken.END_ARRAY);
        return new LeaseMessage(op, set, lease, ballot, other, holder, left, count, known, why);
    }

    private static void encode(CBORGenerator cbor, Announcement bulletin) throws IOException {
        cbor.writeStartArray(null, BULLETIN_FIELDS + SIGHT_FIELDS * bulletin.observations().size());
        cbor.writeString(bulletin.member().text());
        cbor.writeNumber(bulletin.generation().start());
        cbor.writeNumber(bulletin.generation().nonce());
        cbor.writeNumber(bulletin.number());
        cbor.writeNumber(bulletin.location());
        cbor.writeNumber(bulletin.traffic().previous());
        cbor.writeNumber(bulletin.traffic().current());
        cbor.writeNumber(Math.min(bulletin.traffic().ageMs(), LONGEST_LEFT_MS));
        for (NodeObservation sight : bulletin.observations()) {
            cbor.writeNumber(sight.node().value());
            cbor.writeNumber(sight.startedAtMs());
            cbor.writeBoolean(sight.failing());
            cbor.writeNumber(Math.min(sight.ageMs(), LONGEST_LEFT_MS));
        }
        cbor.writeEndArray();
    }

    /** Its array has been begun. */
    private static Announcement bulletin(JsonParser cbor) throws IOException {
        need(cbor.nextToken() == JsonToken.VALUE_STRING);
        MemberName who = new MemberName(cbor.getText());
        Generation life = new Generation(whole(cbor, 0, Generation.MAX_START), whole(cbor, Long.MIN_VALUE, Long.MAX_VALUE));
        long number = whole(cbor, 0, Long.MAX_VALUE);
        int location = (int) whole(cbor, Announcement.NO_LOCATION, Announcement.MAX_LOCATION);
        AnnouncedTraffic traffic = new AnnouncedTraffic((int) whole(cbor, 0, AnnouncedTraffic.MAX_PER_S), (int) whole(cbor, 0, AnnouncedTraffic.MAX_PER_S), whole(cbor, 0, LONGEST_LEFT_MS));
        List<NodeObservation> sights = new ArrayList<>();
        while (cbor.nextToken() == JsonToken.VALUE_NUMBER_INT) {
            need(sights.size() < Announcement.MAX_OBSERVATIONS);
            NodeId node = new NodeId(cbor.getLongValue());
            long startedAt = whole(cbor, 0, NodeObservation.MAX_START);
            boolean fails = cbor.nextToken() == JsonToken.VALUE_TRUE;
            need(fails || cbor.currentToken() == JsonToken.VALUE_FALSE);
            sights.add(new NodeObservation(node, startedAt, fails, whole(cbor, 0, LONGEST_LEFT_MS)));
        }
        need(cbor.currentToken() == JsonToken.END_ARRAY);
        return new Announcement(who, life, number, location, traffic, sights);
    }

    private static List<Announcement> bulletins(JsonParser cbor) throws IOException {
        List<Announcement> bulletins = new ArrayList<>();
        need(cbor.nextToken() == JsonToken.START_ARRAY);
        while (cbor.nextToken() == JsonToken.START_ARRAY) {
            need(bulletins.size() < MOST_BULLETINS);
            bulletins.add(bulletin(cbor));
        }
        need(cbor.currentToken() == JsonToken.END_ARRAY);
        return bulletins;
    }

    private static Token token(JsonParser cbor) throws IOException {
        return new Token(whole(cbor, 0, Token.MAX_ROUND), whole(cbor, Long.MIN_VALUE, Long.MAX_VALUE));
    }

    private static void encode(CBORGenerator cbor, MemberEntry notice) throws IOException {
        cbor.writeStartArray(null, 7);
        cbor.writeString(notice.name().text());
        byte[] address = ByteBuffer.allocate(ADDRESS_BYTES).put(notice.address().getAddress().getAddress())
                .putShort((short) notice.address().getPort()).array();
        cbor.writeBinary(address);
        cbor.writeNumber(notice.generation().start());
        cbor.writeNumber(notice.generation().nonce());
        cbor.writeNumber(notice.incarnation());
        cbor.writeNumber(notice.state().ordinal());
        cbor.writeNumber(notice.accuser());
        cbor.writeEndArray();
    }

    private int sum(byte[] bytes, int length) {
        sum.reset();
        sum.update(bytes, HEAD, length - HEAD);
        return (int) sum.getValue();
    }

    /** Guards the membership against anything that is not exactly what a proxy sends. */
    public FleetMessage decode(byte[] bytes, int length) throws InvalidDatagramException {
        if (length <= HEAD || length > LONGEST) {
            throw new InvalidDatagramException(Why.SIZE);
        }
        if (bytes[0] != PROGRAM || bytes[1] != VERSION) {
            throw new InvalidDatagramException(Why.VERSION);
        }
        if (ByteBuffer.wrap(bytes, 2, Integer.BYTES).getInt() != sum(bytes, length)) {
            throw new InvalidDatagramException(Why.DAMAGED);
        }
        try (JsonParser cbor = format.createParser(bytes, HEAD, length - HEAD)) {
            need(cbor.nextToken() == JsonToken.START_ARRAY);
            if (whole(cbor, Integer.MIN_VALUE, Integer.MAX_VALUE) != fleet) {
                throw new InvalidDatagramException(Why.FOREIGN);
            }
            Kind kind = KINDS[(int) whole(cbor, 0, KINDS.length - 1)];
            need(cbor.nextToken() == JsonToken.START_ARRAY);
            MemberEntry self = notice(cbor);
            long number = whole(cbor, Long.MIN_VALUE, Long.MAX_VALUE);
            MemberName target = cbor.nextToken() == JsonToken.VALUE_NULL ? null : name(cbor);
            MemberEntry about = cbor.nextToken() == JsonToken.VALUE_NULL ? null : notice(cbor);
            List<MemberEntry> news = new ArrayList<>();
            need(cbor.nextToken() == JsonToken.START_ARRAY);
            while (cbor.nextToken() == JsonToken.START_ARRAY) {
                need(news.size() < MOST_NOTICES);
                news.add(notice(cbor));
            }
            need(cbor.currentToken() == JsonToken.END_ARRAY);
            boolean answer = cbor.nextToken() == JsonToken.VALUE_TRUE;
            need(answer || cbor.currentToken() == JsonToken.VALUE_FALSE);
            int[] sums = cbor.nextToken() == JsonToken.VALUE_NULL ? null : sums(cbor);
            LeaseMessage ballot = cbor.nextToken() == JsonToken.VALUE_NULL ? null : ballot(cbor);
            List<Announcement> bulletins = kind == Kind.BULLETINS ? bulletins(cbor) : null;
            need(cbor.nextToken() == JsonToken.END_ARRAY && cbor.nextToken() == null);
            need((kind == Kind.BALLOT) == (ballot != null) && (kind == Kind.SUMS) == (sums != null) && (kind != Kind.ASK || about != null));
            return new FleetMessage(kind, self, number, target, about, news, answer, sums, ballot, bulletins);
        } catch (InvalidDatagramException e) {
            throw e;
        } catch (IOException | RuntimeException e) { // whatever the parser makes of garbage
            throw new InvalidDatagramException(Why.MALFORMED);
        }
    }

    private static void need(boolean sound) throws InvalidDatagramException {
        if (!sound) {
            throw new InvalidDatagramException(Why.MALFORMED);
        }
    }

    private static long whole(JsonParser cbor, long least, long most) throws IOException {
        need(cbor.nextToken() == JsonToken.VALUE_NUMBER_INT);
        long number = cbor.getLongValue();
        need(number >= least && number <= most);
        return number;
    }

    private static MemberName name(JsonParser cbor) throws IOException {
        need(cbor.currentToken() == JsonToken.VALUE_STRING);
        return new MemberName(cbor.getText());
    }

    private static int[] sums(JsonParser cbor) throws IOException {
        need(cbor.currentToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
        byte[] bytes = cbor.getBinaryValue();
        need(bytes.length == Integer.BYTES * Membership.DIGEST_BUCKETS);
        int[] sums = new int[Membership.DIGEST_BUCKETS];
        ByteBuffer.wrap(bytes).asIntBuffer().get(sums);
        return sums;
    }

    /** Its array has been begun. */
    private static MemberEntry notice(JsonParser cbor) throws IOException {
        need(cbor.currentToken() == JsonToken.START_ARRAY);
        cbor.nextToken();
        MemberName name = name(cbor);
        need(cbor.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
        byte[] address = cbor.getBinaryValue();
        need(address.length == ADDRESS_BYTES);
        ByteBuffer parts = ByteBuffer.wrap(address);
        byte[] host = new byte[ADDRESS_BYTES - Short.BYTES];
        parts.get(host);
        InetSocketAddress at = new InetSocketAddress(InetAddress.getByAddress(host), Short.toUnsignedInt(parts.getShort()));
        Generation life = new Generation(whole(cbor, 0, Generation.MAX_START), whole(cbor, Long.MIN_VALUE, Long.MAX_VALUE));
        int incarnation = (int) whole(cbor, 0, MemberEntry.MAX_INCARNATION);
        MemberEntry.State state = STATES[(int) whole(cbor, 0, STATES.length - 1)];
        int accuser = (int) whole(cbor, Integer.MIN_VALUE, Integer.MAX_VALUE);
        need(cbor.nextToken() == JsonToken.END_ARRAY);
        return new MemberEntry(name, at, life, incarnation, state, accuser);
    }
}
