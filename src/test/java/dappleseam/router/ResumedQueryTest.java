package dappleseam.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A query whose large value breaks off is open again, under the limits of any retry. */
class ResumedQueryTest {
    private static final QueryId QUERY = new QueryId(1);

    /** A query whose first execution has begun a large value. */
    private static TestProxy passingOn(RouterSettings settings, int caches) {
        TestProxy p = new TestProxy(settings).withCaches(caches);
        p.ask(1000, 1, 42);
        begin(p, 0);
        return p;
    }

    private static void begin(TestProxy p, int execution) {
        p.router.valueBegun(QUERY);
        p.ended(1100, 1, execution, Outcome.COMPLETED, 100);
    }

    @Test
    void anotherCacheGivesTheRest() {
        TestProxy p = passingOn(TestProxy.readThrough(TestProxy.READ), 3);
        p.router.valueBroke(1200, QUERY, 0);
        assertThat(p.calls).containsExactly("execute 1", "execute 1");
        assertThat(new HashSet<>(p.sentTo)).hasSize(2);
    }

    /** Its last execution goes to the origin, as that of any read; then it is over. */
    @Test
    void executionsAreLimitedAsForAnyQuery() {
        TestProxy p = passingOn(TestProxy.cacheAside(TestProxy.READ), 5);
        for (int i = 0; i < 2; i++) {
            p.router.valueBroke(1200, QUERY, i);
            begin(p, i + 1);
        }
        p.router.valueBroke(1300, QUERY, 2);
        assertThat(p.calls).containsExactly("execute 1", "execute 1", "execute 1", "reject 1");
        assertThat(p.lastNode()).isEqualTo(TestProxy.ORIGIN);
    }

    /** Many values that break off together must not multiply the load: each continuation is paid from the budget of retries. */
    @Test
    void continuationsAreBoundedByTheRetryBudget() {
        TestProxy p = new TestProxy(TestProxy.readThrough(TestProxy.READ)).withCaches(20);
        int sent = 0;
        for (int i = 1; i <= 60; i++) {
            p.ask(1000, i, i);
            p.router.valueBegun(new QueryId(i));
            p.ended(1001, i, 0, Outcome.COMPLETED, 1);
            sent = p.sentTo.size();
        }
        for (int i = 1; i <= 60; i++) {
            p.router.valueBroke(1100, new QueryId(i), 0);
        }
        assertThat(p.sentTo.size() - sent).isLessThanOrEqualTo(20);
    }

    @ParameterizedTest
    @EnumSource(value = Member.State.class, names = {"DRAINING", "GONE"})
    void nothingGoesToNodesThatLeave(Member.State state) {
        TestProxy p = passingOn(TestProxy.cacheAside(TestProxy.READ), 2);
        NodeId other = new NodeId(3 - p.lastNode().value());
        p.router.listChanged(1150, List.of(TestProxy.member(other.value(), state, 0)));
        p.router.valueBroke(1200, QUERY, 0);
        assertThat(p.lastNode()).isEqualTo(TestProxy.ORIGIN);
        assertThat(p.sentTo).doesNotContain(other);
    }

    @Test
    void aValueThatTheClientHasIsNotContinued() {
        TestProxy p = passingOn(TestProxy.readThrough(TestProxy.READ), 3);
        p.router.valueEnded(QUERY);
        p.router.valueBroke(1200, QUERY, 0);
        assertThat(p.calls).containsExactly("execute 1");
    }

    @Test
    void theContinuationIsCancelledWhenTheClientLeaves() {
        TestProxy p = passingOn(TestProxy.readThrough(TestProxy.READ), 3);
        p.router.valueBroke(1200, QUERY, 0);
        p.router.clientLeft(1250, QUERY);
        assertThat(p.calls).containsExactly("execute 1", "execute 1", "cancel 1/1");
    }
}
