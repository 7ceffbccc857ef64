package io.cherryspool.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cherryspool.sim.VirtualTime;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Who may write how much, with 60 changes a second for three nodes and 25 for five. */
class BudgetTest {
  private final VirtualTime time = new VirtualTime();

  private void pass(int millis) {
    Duration end = time.now().plusMillis(millis);
    time.schedule(Duration.ofMillis(millis), () -> {});
    time.step(end);
  }

  private Budget budget(int nodes, double writes, boolean leader) {
    Budget budget = new Budget(time, nodes, 200, writes);
    budget.setLeader(leader);
    pass(3000);
    return budget;
  }

  private int perSecond(Budget budget, Budget.Use use) {
    while (budget.takeWrites(Budget.Use.CANCEL, 1)) {}
    int count = 0;
    for (int i = 0; i < 100; i++) {
      pass(100);
      while (budget.takeWrites(use, 1)) {
        count++;
      }
    }
    return count / 10;
  }

  /** With five nodes 2.4 a second were left to each, however little the leader wrote. */
  @Test
  void theLeaderLeavesToTheOthersWhatTheyUse() {
    assertEquals(4, perSecond(budget(5, 25, false), Budget.Use.SUBMIT));
    Budget leader = budget(5, 25, true);
    leader.others(5, 5, 5, 5);
    assertEquals(21, perSecond(leader, Budget.Use.CANCEL));
    leader.others(40, 40, 30, 30);
    assertEquals(9, perSecond(leader, Budget.Use.CANCEL), "what is left, and never less than that");
  }

  @Test
  void whatANodeHasUsedIsToldAndFades() {
    Budget budget = budget(3, 60, false);
    for (int i = 0; i < 50; i++) {
      pass(200);
      assertTrue(budget.takeWrites(Budget.Use.SUBMIT, 1));
    }
    assertEquals(5, budget.lately(), 0.5);
    pass(10000);
    assertEquals(0, budget.lately(), 0.1);
  }

  /** A job that ended with more shards than a round is ever left would never have ended. */
  @Test
  void noSizeAndNoUseWaitsForGood() {
    Budget leader = budget(3, 60, true);
    for (Budget.Use use : Budget.Use.values()) {
      for (int count : new int[] {1, 20, 48}) {
        pass(3000);
        assertTrue(leader.takeWrites(use, count), use + " " + count);
      }
    }
    pass(3000);
    assertFalse(leader.allows(Budget.Use.IDLE, 20, 10), "nor may it take that bit by bit");
    leader.force(40);
    assertFalse(leader.allows(Budget.Use.IDLE, 0, 1), "idle work leaves room for the others");
    pass(400);
    assertTrue(leader.allows(Budget.Use.ROUND, 0, 1));
    assertFalse(leader.allows(Budget.Use.LATER, 0, 1));
  }
}
