package io.cherryspool.controller.leader;

import io.cherryspool.controller.fleet.MachineState;
import io.cherryspool.controller.ownership.Ownership;
import io.cherryspool.controller.rounds.SchedulingLoop;
import io.cherryspool.controller.rounds.TermState;
import io.cherryspool.model.WorkerCommand;
import io.cherryspool.store.JobRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards changes of task ownership to the parts of the term that depend on them.
 *
 * <p>Used on the event loop only.
 */
final class OwnershipChangeHandler implements Ownership.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(OwnershipChangeHandler.class);

  private final TermState state;
  private final SchedulingLoop rounds;
  private final CommandDispatcher dispatcher;

  OwnershipChangeHandler(TermState state, SchedulingLoop rounds, CommandDispatcher dispatcher) {
    this.state = state;
    this.rounds = rounds;
    this.dispatcher = dispatcher;
  }

  @Override
  public void onMachineChanged(String machine) {
    rounds.onMachineChanged(machine);
    dispatcher.onMachineChanged(machine);
  }

  @Override
  public void onJobChanged(JobRecord jobRecord) {
    rounds.onJobChanged(jobRecord);
    state.demand().onJobAccepted(jobRecord);
  }

  @Override
  public void onJobEnded(JobRecord jobRecord) {
    LOG.info("job ended: job={}, outcome={}", jobRecord.job().id(), jobRecord.outcome());
  }

  @Override
  public void onAttemptReleased(Ownership.OwnedTask owned) {
    state.tasks().pendingReleases().remove(owned);
    state.tasks().stopRequests().remove(owned);
    MachineState machine = state.fleet().get(owned.attempt().machine());
    if (machine != null) {
      machine
          .commandDelivery()
          .removeStart(WorkerCommand.start(owned.taskId(), owned.attempt().number()));
    }
  }

  @Override
  public void onRecordsReloaded() {
    dispatcher.onRecordsReloaded();
    state.demand().onRecordsReloaded();
    rounds.onRecordsReloaded();
  }
}
