package dappleseam.fleet.peers;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import dappleseam.fleet.lease.Answers;
import dappleseam.fleet.lease.LeaseName;
import dappleseam.fleet.lease.Token;
import dappleseam.fleet.membership.Life;
import dappleseam.fleet.membership.MemberName;
import dappleseam.fleet.membership.Membership;
import dappleseam.fleet.membership.Notice;
import dappleseam.fleet.peers.Letter.Kind;
import dappleseam.fleet.peers.Unreadable.Why;
import dappleseam.fleet.share.Bulletin;
import dappleseam.fleet.share.Sight;
import dappleseam.fleet.share.Traffic;
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
 * Encodes and decodes datagrams: a magic byte, a version byte, the CRC-32C of the rest, and one CBOR array (RFC 8949). Not thread-safe.
 */
public final class Envelope {
    /** Maximum datagram size in bytes: passes every usual link without fragmentation. */
    public static final int LONGEST = 1400;
    private static final int HEAD = 6;
    private static final byte PROGRAM = (byte) 0xD5;
    private static final byte VERSION = 2;
    private static final int NESTING = 3;
    /** Fields of a message without announcements. */
    private static final int FIELDS = 10;
    private static final int LONGEST_NAME = 48;
    private static final int ADDRESS_BYTES = 6;
    /** Maximum number of membership updates in a datagram: each takes over 30 bytes. */
    private static final int MOST_NOTICES = 64;
    private static final int BALLOT_FIELDS = 12;
    private static final int BULLETIN_FIELDS = 8;
    private static final int SIGHT_FIELDS = 4;
    /** Maximum number of announcements in a datagram: each takes over 30 bytes. */
    private static final int MOST_BULLETINS = 48;
    /** Maximum of remaining lease times and ages: one day, longer than any lease. */
    private static final long LONGEST_LEFT_MS = 86_400_000;
    private static final Ballot.Op[] OPS = Ballot.Op.values();
    private static final Answers.Refusal[] REFUSALS = Answers.Refusal.values();
    private static final Kind[] KINDS = Kind.values();
    private static final Notice.State[] STATES = Notice.State.values();

    private final CBORFactory format = CBORFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
            .maxNestingDepth(NESTING).maxStringLength(LONGEST_NAME).maxNumberLength(20).maxDocumentLength(LONGEST).build()).build();
    private final CRC32C sum = new CRC32C();
    private final int fleet;

    /** A codec for the datagrams of one fleet; those of another fleet are rejected. */
    public Envelope(String fleet) {
        this.fleet = fleet.hashCode();
    }

    public byte[] write(Letter letter) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(LONGEST);
        out.writeBytes(new byte[HEAD]);
        try (CBORGenerator cbor = format.createGenerator(out)) {
            cbor.writeStartArray(null, letter.bulletins() == null ? FIELDS : FIELDS + 1);
            cbor.writeNumber(fleet);
            cbor.writeNumber(letter.kind().ordinal());
            write(cbor, letter.self());
            cbor.writeNumber(letter.number());
            if (letter.target() == null) {
                cbor.writeNull();
            } else {
                cbor.writeString(letter.target().text());
            }
            if (letter.about() == null) {
                cbor.writeNull();
            } else {
                write(cbor, letter.about());
            }
            cbor.writeStartArray(null, letter.news().size());
            for (Notice notice : letter.news()) {
                write(cbor, notice);
            }
            cbor.writeEndArray();
            cbor.writeBoolean(letter.answer());
            if (letter.sums() == null) {
                cbor.writeNull();
            } else {
                ByteBuffer bytes = ByteBuffer.allocate(Integer.BYTES * letter.sums().length);
                bytes.asIntBuffer().put(letter.sums());
                cbor.writeBinary(bytes.array());
            }
            if (letter.ballot() == null) {
                cbor.writeNull();
            } else {
                write(cbor, letter.ballot());
            }
            if (letter.bulletins() != null) { // older versions drop messages with this field, and read all others
                cbor.writeStartArray(null, letter.bulletins().size());
                for (Bulletin bulletin : letter.bulletins()) {
                    write(cbor, bulletin);
                }
                cbor.writeEndArray();
            }
            cbor.writeEndArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        byte[] bytes = out.toByteArray();
        ByteBuffer.wrap(bytes).put(PROGRAM).put(VERSION).putInt(sum(bytes, bytes.length));
        return bytes;
    }

    private static void write(CBORGenerator cbor, Ballot ballot) throws IOException {
        cbor.writeStartArray(null, BALLOT_FIELDS);
        cbor.writeNumber(ballot.op().ordinal());
        cbor.writeNumber(ballot.set());
        cbor.writeString(ballot.lease().text());
        write(cbor, ballot.ballot());
        write(cbor, ballot.other());
        cbor.writeString(ballot.holder() == null ? "" : ballot.holder().text());
        cbor.writeNumber(Math.round(ballot.leftMs()));
        cbor.writeNumber(ballot.count());
        cbor.writeNumber(ballot.known());
        cbor.writeNumber(ballot.why().ordinal());
        cbor.writeEndArray();
    }

    private static void write(CBORGenerator cbor, Token token) throws IOException {
        cbor.writeNumber(token.round());
        cbor.writeNumber(token.nonce());
    }

    private static Ballot ballot(JsonParser cbor) throws IOException {
        need(cbor.currentToken() == JsonToken.START_ARRAY);
        Ballot.Op op = OPS[(int) whole(cbor, 0, OPS.length - 1)];
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
        Answers.Refusal why = REFUSALS[(int) whole(cbor, 0, REFUSALS.length - 1)];
        need(cbor.nextToken() == JsonToken.END_ARRAY);
        return new Ballot(op, set, lease, ballot, other, holder, left, count, known, why);
    }

    private static void write(CBORGenerator cbor, Bulletin bulletin) throws IOException {
        cbor.writeStartArray(null, BULLETIN_FIELDS + SIGHT_FIELDS * bulletin.sights().size());
        cbor.writeString(bulletin.who().text());
        cbor.writeNumber(bulletin.life().start());
        cbor.writeNumber(bulletin.life().nonce());
        cbor.writeNumber(bulletin.number());
        cbor.writeNumber(bulletin.location());
        cbor.writeNumber(bulletin.traffic().before());
        cbor.writeNumber(bulletin.traffic().now());
        cbor.writeNumber(Math.min(bulletin.traffic().ageMs(), LONGEST_LEFT_MS));
        for (Sight sight : bulletin.sights()) {
            cbor.writeNumber(sight.node().value());
            cbor.writeNumber(sight.startedAtMs());
            cbor.writeBoolean(sight.fails());
            cbor.writeNumber(Math.min(sight.ageMs(), LONGEST_LEFT_MS));
        }
        cbor.writeEndArray();
    }

    /** Decodes an announcement whose start of array was consumed. */
    private static Bulletin bulletin(JsonParser cbor) throws IOException {
        need(cbor.nextToken() == JsonToken.VALUE_STRING);
        MemberName who = new MemberName(cbor.getText());
        Life life = new Life(whole(cbor, 0, Life.LATEST), whole(cbor, Long.MIN_VALUE, Long.MAX_VALUE));
        long number = whole(cbor, 0, Long.MAX_VALUE);
        int location = (int) whole(cbor, Bulletin.NOWHERE, Bulletin.LAST_LOCATION);
        Traffic traffic = new Traffic((int) whole(cbor, 0, Traffic.MOST), (int) whole(cbor, 0, Traffic.MOST), whole(cbor, 0, LONGEST_LEFT_MS));
        List<Sight> sights = new ArrayList<>();
        while (cbor.nextToken() == JsonToken.VALUE_NUMBER_INT) {
            need(sights.size() < Bulletin.MOST_SIGHTS);
            NodeId node = new NodeId(cbor.getLongValue());
            long startedAt = whole(cbor, 0, Sight.LATEST);
            boolean fails = cbor.nextToken() == JsonToken.VALUE_TRUE;
            need(fails || cbor.currentToken() == JsonToken.VALUE_FALSE);
            sights.add(new Sight(node, startedAt, fails, whole(cbor, 0, LONGEST_LEFT_MS)));
        }
        need(cbor.currentToken() == JsonToken.END_ARRAY);
        return new Bulletin(who, life, number, location, traffic, sights);
    }

    private static List<Bulletin> bulletins(JsonParser cbor) throws IOException {
        List<Bulletin> bulletins = new ArrayList<>();
        need(cbor.nextToken() == JsonToken.START_ARRAY);
        while (cbor.nextToken() == JsonToken.START_ARRAY) {
            need(bulletins.size() < MOST_BULLETINS);
            bulletins.add(bulletin(cbor));
        }
        need(cbor.currentToken() == JsonToken.END_ARRAY);
        return bulletins;
    }

    private static Token token(JsonParser cbor) throws IOException {
        return new Token(whole(cbor, 0, Token.LAST), whole(cbor, Long.MIN_VALUE, Long.MAX_VALUE));
    }

    private static void write(CBORGenerator cbor, Notice notice) throws IOException {
        cbor.writeStartArray(null, 7);
        cbor.writeString(notice.name().text());
        byte[] address = ByteBuffer.allocate(ADDRESS_BYTES).put(notice.address().getAddress().getAddress())
                .putShort((short) notice.address().getPort()).array();
        cbor.writeBinary(address);
        cbor.writeNumber(notice.life().start());
        cbor.writeNumber(notice.life().nonce());
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

    /** Decodes a datagram; rejects everything that is not exactly what a proxy sends. */
    public Letter read(byte[] bytes, int length) throws Unreadable {
        if (length <= HEAD || length > LONGEST) {
            throw new Unreadable(Why.SIZE);
        }
        if (bytes[0] != PROGRAM || bytes[1] != VERSION) {
            throw new Unreadable(Why.VERSION);
        }
        if (ByteBuffer.wrap(bytes, 2, Integer.BYTES).getInt() != sum(bytes, length)) {
            throw new Unreadable(Why.DAMAGED);
        }
        try (JsonParser cbor = format.createParser(bytes, HEAD, length - HEAD)) {
            need(cbor.nextToken() == JsonToken.START_ARRAY);
            if (whole(cbor, Integer.MIN_VALUE, Integer.MAX_VALUE) != fleet) {
                throw new Unreadable(Why.FOREIGN);
            }
            Kind kind = KINDS[(int) whole(cbor, 0, KINDS.length - 1)];
            need(cbor.nextToken() == JsonToken.START_ARRAY);
            Notice self = notice(cbor);
            long number = whole(cbor, Long.MIN_VALUE, Long.MAX_VALUE);
            MemberName target = cbor.nextToken() == JsonToken.VALUE_NULL ? null : name(cbor);
            Notice about = cbor.nextToken() == JsonToken.VALUE_NULL ? null : notice(cbor);
            List<Notice> news = new ArrayList<>();
            need(cbor.nextToken() == JsonToken.START_ARRAY);
            while (cbor.nextToken() == JsonToken.START_ARRAY) {
                need(news.size() < MOST_NOTICES);
                news.add(notice(cbor));
            }
            need(cbor.currentToken() == JsonToken.END_ARRAY);
            boolean answer = cbor.nextToken() == JsonToken.VALUE_TRUE;
            need(answer || cbor.currentToken() == JsonToken.VALUE_FALSE);
            int[] sums = cbor.nextToken() == JsonToken.VALUE_NULL ? null : sums(cbor);
            Ballot ballot = cbor.nextToken() == JsonToken.VALUE_NULL ? null : ballot(cbor);
            List<Bulletin> bulletins = kind == Kind.BULLETINS ? bulletins(cbor) : null;
            need(cbor.nextToken() == JsonToken.END_ARRAY && cbor.nextToken() == null);
            need((kind == Kind.BALLOT) == (ballot != null) && (kind == Kind.SUMS) == (sums != null) && (kind != Kind.ASK || about != null));
            return new Letter(kind, self, number, target, about, news, answer, sums, ballot, bulletins);
        } catch (Unreadable e) {
            throw e;
        } catch (IOException | RuntimeException e) { // any failure of the parser on malformed input
            throw new Unreadable(Why.MALFORMED);
        }
    }

    private static void need(boolean sound) throws Unreadable {
        if (!sound) {
            throw new Unreadable(Why.MALFORMED);
        }
    }

    /** Decodes an integer within a range, both ends included. */
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
        need(bytes.length == Integer.BYTES * Membership.PARTS);
        int[] sums = new int[Membership.PARTS];
        ByteBuffer.wrap(bytes).asIntBuffer().get(sums);
        return sums;
    }

    /** Decodes a member entry whose start of array was consumed. */
    private static Notice notice(JsonParser cbor) throws IOException {
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
        Life life = new Life(whole(cbor, 0, Life.LATEST), whole(cbor, Long.MIN_VALUE, Long.MAX_VALUE));
        int incarnation = (int) whole(cbor, 0, Notice.LAST);
        Notice.State state = STATES[(int) whole(cbor, 0, STATES.length - 1)];
        int accuser = (int) whole(cbor, Integer.MIN_VALUE, Integer.MAX_VALUE);
        need(cbor.nextToken() == JsonToken.END_ARRAY);
        return new Notice(name, at, life, incarnation, state, accuser);
    }
}
