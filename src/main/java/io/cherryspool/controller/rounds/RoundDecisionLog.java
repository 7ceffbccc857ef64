package io.cherryspool.controller.rounds;

import io.cherryspool.scheduler.ClusterView;
import io.cherryspool.scheduler.EntryDecision;
import io.cherryspool.scheduler.HoldCause;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs at debug level what rounds decide on each job, and why its tasks wait. A job's decisions are
 * logged only if they have changed since the previous round, so that they are not repeated while
 * the job waits.
 *
 * <p>Used on the event loop only.
 */
final class RoundDecisionLog {
  private static final Logger LOG = LoggerFactory.getLogger(RoundDecisionLog.class);

  private Map<String, List<EntryDecision>> lastDecisionsByJob = Map.of();

  /** Whether decisions are logged. */
  boolean isEnabled() {
    return LOG.isDebugEnabled();
  }

  /** Collects the decisions of one round while it is planned. */
  final class RoundRecorder implements EntryDecision.Listener {
    private final Map<String, List<EntryDecision>> decisionsByJob = new HashMap<>();

    @Override
    public void onDecision(EntryDecision decision) {
      decisionsByJob.computeIfAbsent(decision.jobId(), key -> new ArrayList<>(2)).add(decision);
    }

    /**
     * Logs a summary of the round, and the decisions that have changed since the previous round.
     */
    void write(ClusterView view, Map<HoldCause, Integer> heldTasks) {
      int idleMachines = 0;
      for (ClusterView.MachineView machine : view.machines()) {
        idleMachines += machine.runningTasks().isEmpty() ? 1 : 0;
      }
      LOG.debug(
          "round: jobs={} machines={} idle={} usage={} held={}",
          view.jobs().size(),
          view.machines().size(),
          idleMachines,
          new TreeMap<>(view.usageByTeam()),
          heldTasks);
      decisionsByJob.forEach(
          (job, decisions) -> {
            if (!decisions.equals(lastDecisionsByJob.get(job))) {
              decisions.forEach(RoundRecorder::writeDecision);
            }
          });
      lastDecisionsByJob = decisionsByJob;
    }

    private static void writeDecision(EntryDecision decision) {
      LOG.debug(
          "round: job={} promoted={} placed={} over-quota={} unschedulable={} cause={}",
          decision.jobId(),
          decision.isPromoted(),
          decision.placedCount(),
          decision.overQuotaCount(),
          decision.unschedulableCount(),
          decision.unschedulableCause().map(HoldCause::label).orElse("none"));
    }
  }
}
