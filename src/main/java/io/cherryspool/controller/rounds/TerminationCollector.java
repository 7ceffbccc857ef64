package io.cherryspool.controller.rounds;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.metrics.Meters;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.release.PendingReleases;
import io.cherryspool.controller.release.TerminationEvidence;
import io.cherryspool.model.Job;
import io.cherryspool.model.LossProof;
import io.cherryspool.store.JobRecord;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects proofs that attempts have ended. A proved end becomes a pending release, which planning
 * considers at once, before it is committed.
 *
 * <p>Used on the event loop only.
 */
final class TerminationCollector {
  private static final Logger LOG = LoggerFactory.getLogger(TerminationCollector.class);

  private final TermState state;
  private final TaskTracking tasks;
  private final JobViewCache jobViews;
  private final Meters meters;
  private final Duration maxSilence;

  /**
   * The machines whose attempts are to be examined, since a message or a change of records may
   * prove that some have ended.
   */
  private final Set<String> machinesToExamine = new LinkedHashSet<>();

  /**
   * Creates a collector with no machines to examine.
   *
   * @param maxSilence the time without a heartbeat after which a machine's attempts are examined
   *     without an event, since the passing of time may prove them lost
   */
  TerminationCollector(TermState state, JobViewCache jobViews, Meters meters, Duration maxSilence) {
    this.state = state;
    this.tasks = state.tasks();
    this.jobViews = jobViews;
    this.meters = meters;
    this.maxSilence = maxSilence;
  }

  /**
   * Has the next round examine the machine's attempts, after its messages or its owned tasks have
   * changed.
   */
  void onMachineChanged(String name) {
    machinesToExamine.add(name);
    MachineState machine = state.fleet().get(name);
    if (machine != null) {
      machine.invalidateView();
    }
  }

  /**
   * Discards the pending releases and has the next round examine the attempts of all machines,
   * after all records were reloaded.
   */
  void onRecordsReloaded() {
    tasks.pendingReleases().clear();
    machinesToExamine.addAll(tasks.ownership().owningMachines());
  }

  /** Whether the next round will examine the machine's attempts even without a further change. */
  boolean isExaminationPending(String machine) {
    return machinesToExamine.contains(machine);
  }

  /**
   * Adds silent machines to those that the next round examines, and returns whether there are any
   * machines to examine.
   */
  boolean addSilentMachines(Duration now) {
    for (String name : tasks.ownership().owningMachines()) {
      MachineState machine = state.fleet().get(name);
      if (machine == null || machine.isDeleted() || machine.contact().isSilent(now, maxSilence)) {
        machinesToExamine.add(name);
      }
    }
    return !machinesToExamine.isEmpty();
  }

  /**
   * Examines the attempts of the machines that are due, and adds a pending release for each proved
   * end.
   */
  void collect(Duration now) {
    boolean needsFencing = false;
    LossReport losses = new LossReport(state);
    List<String> names = List.copyOf(machinesToExamine);
    machinesToExamine.clear();
    for (String name : names) {
      MachineState machine = findMachine(name, now);
      for (Ownership.OwnedTask owned : tasks.ownership().ownedTasksOn(name)) {
        if (tasks.pendingReleases().contains(owned)) {
          continue;
        }
        TerminationEvidence.Assessment assessment = state.evidence().assess(owned, machine, now);
        if (assessment == TerminationEvidence.Assessment.NEEDS_FENCING) {
          needsFencing = true;
          machinesToExamine.add(name);
        } else if (assessment != TerminationEvidence.Assessment.OWNED) {
          addRelease(owned, machine, assessment, now);
          if (assessment == TerminationEvidence.Assessment.LOST) {
            LossProof proof = TerminationEvidence.lossProof(owned, machine);
            meters.lostTasksByProof.increment(proof);
            losses.add(owned, machine, proof);
          }
        }
      }
    }
    losses.log();
    if (needsFencing) {
      state.tokens().advance();
    }
  }

  /**
   * Returns the machine's state, which for a deleted machine is a placeholder; null if the machine
   * is not known.
   */
  private MachineState findMachine(String name, Duration now) {
    MachineState machine = state.fleet().get(name);
    if (machine == null && state.fleet().isDeleted(name)) {
      machine = new MachineState(name, "", "", false, now);
      machine.markDeleted();
    }
    return machine;
  }

  private void addRelease(
      Ownership.OwnedTask owned,
      MachineState machine,
      TerminationEvidence.Assessment assessment,
      Duration now) {
    tasks.pendingReleases().add(new PendingReleases.Release(owned, assessment, now));
    boolean isDone = assessment == TerminationEvidence.Assessment.DONE;
    jobViews.onAttemptEnded(owned.taskId(), isDone, now);
    if (machine != null) {
      machine.invalidateView();
    }
    if (isDone) {
      recordSuccess(owned, machine, now);
    } else {
      recordFailure(owned, machine, assessment, now);
    }
  }

  private void recordSuccess(Ownership.OwnedTask owned, MachineState machine, Duration now) {
    Job job = owned.jobRecord().job();
    tasks.backoff().reset(job.id());
    if (machine != null) {
      machine.history().recordSuccess(job.id());
      Optional<Duration> since = machine.history().runningSince(owned.taskId());
      if (since.isPresent()) {
        state.demand().recordRunTime(job, now.minus(since.get()));
      }
    }
  }

  private void recordFailure(
      Ownership.OwnedTask owned,
      MachineState machine,
      TerminationEvidence.Assessment assessment,
      Duration now) {
    boolean hasFailed = assessment == TerminationEvidence.Assessment.FAILED;
    if (assessment == TerminationEvidence.Assessment.LOST) {
      meters.lostTasks.increment();
    } else if (hasFailed) {
      meters.taskFailures.increment();
    }
    if (!hasFailed && assessment != TerminationEvidence.Assessment.REFUSED) {
      return;
    }
    JobRecord job = owned.jobRecord();
    LOG.info(
        "task {}: task={}, attempt={}, machine={}",
        hasFailed ? "failed" : "was refused",
        owned.taskId(),
        owned.attempt().number(),
        owned.attempt().machine());
    if (machine == null) {
      return;
    }
    machine.history().recordJobFailure(job.job().id(), now);
    if (hasFailed && tasks.backoff().recordFailure(job, jobViews.hasSucceeded(job), machine, now)) {
      machine.history().recordMachineFailure();
    }
  }
}
