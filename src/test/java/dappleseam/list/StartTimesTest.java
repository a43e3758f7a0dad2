package dappleseam.list;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.router.Member;
import dappleseam.router.NodeId;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class StartTimesTest {
    private static final double NOW = 1e9;
    private static final double WALL = 2e12;
    private static final double HOUR = 3_600_000;

    private static NodeList list(double... bootMs) {
        return new NodeList(1, true, LongStream.range(0, bootMs.length).mapToObj(i -> new ListEntry("s-" + i,
                new Member(new NodeId(i + 1), Member.State.READY, 0, 0, 0, 1, bootMs[(int) i]), null, "a", "m")).toList());
    }

    private static List<Double> ages(List<Member> members, double nowMs) {
        return members.stream().map(m -> m.startedAtMs() == 0 ? Double.POSITIVE_INFINITY : nowMs - m.startedAtMs()).toList();
    }

    @Test
    void whatComesLaterStartsThenAndStaysSo() {
        StartTimes times = new StartTimes();
        times.adjustFirstList(list(), NOW, WALL);
        for (double boot : new double[] {WALL - HOUR, WALL, WALL + HOUR}) {
            assertThat(ages(times.adjustUpdate(list(boot, 0), NOW), NOW)).containsExactly(0.0, Double.POSITIVE_INFINITY);
            assertThat(ages(times.adjustUpdate(list(boot), NOW + 5000), NOW + 5000)).containsExactly(5000.0);
        }
    }

    /** Whatever the proxy's clock says: by the list alone each is at least so old. */
    @Test
    void inTheFirstListANodeIsAsOldAsTheNewestShowsIt() {
        for (double step : new double[] {0, HOUR, 7000}) {
            assertThat(ages(new StartTimes().adjustFirstList(list(WALL - 60_000, WALL - 2000, 0), NOW, WALL + step), NOW))
                    .containsExactly(58_000.0, 0.0, Double.POSITIVE_INFINITY);
        }
        assertThat(ages(new StartTimes().adjustFirstList(list(WALL - 60_000, WALL - 2000), NOW, WALL - HOUR), NOW)).containsExactly(58_000.0, 0.0);
    }

    /** All clocks went back an hour, then the second one started: the others' times show it older than it is. */
    @Test
    void aNodeThatStartedAfterAStepBackIsNoOlderThanTheClockShows() {
        assertThat(ages(new StartTimes().adjustFirstList(list(WALL, WALL - HOUR - 1000), NOW, WALL - HOUR), NOW).get(1)).isEqualTo(1000.0);
    }

    @Test
    void theNameOfAProcessIsWhatTheListSays() {
        StartTimes times = new StartTimes();
        times.adjustFirstList(list(WALL - 60_000, WALL), NOW, WALL);
        assertThat(times.bootMs(new NodeId(1))).isEqualTo(WALL - 60_000);
        assertThat(times.startedAtMs(new NodeId(1), WALL - 60_000)).isEqualTo(NOW - 60_000);
        assertThat(times.startedAtMs(new NodeId(1), WALL)).isNaN();
        assertThat(times.startedAtMs(new NodeId(9), 0)).isZero();
    }
}
