package io.cherryspool.controller.fleet;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.reachability.ContactState;
import io.cherryspool.scheduler.ClusterView;
import java.time.Duration;
import java.util.Optional;

/**
 * What a leader knows about one machine. It is kept in memory only; a new leader builds it up
 * again. Used on the event loop only.
 */
public final class MachineState {
  private final String name;
  private final String type;
  private final String zone;
  private final boolean isSpot;
  private final Duration firstSeen;
  private final MachineContact contact = new MachineContact();
  private final CommandDelivery commandDelivery = new CommandDelivery();
  private final PlacementHistory history = new PlacementHistory();
  private Endpoint endpoint;

  /** The cached planning view of the machine, null if it must be built again. */
  private ClusterView.MachineView view;

  private Duration idleSince;
  private boolean isMarkedForDeletion;
  private boolean isDraining;
  private boolean isDeleted;

  /** Creates the state of a machine. Type and zone are empty if only the name is known. */
  public MachineState(String name, String type, String zone, boolean isSpot, Duration now) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.isSpot = isSpot;
    this.firstSeen = now;
  }

  /** Returns the name that the cloud assigned to the machine. */
  public String name() {
    return name;
  }

  /** Returns the name of the machine's type, empty if unknown. */
  public String type() {
    return type;
  }

  /** Returns the machine's zone, empty if unknown. */
  public String zone() {
    return zone;
  }

  /** Whether the machine is a spot instance, which the cloud may take back at short notice. */
  public boolean isSpot() {
    return isSpot;
  }

  /** Returns the contact with the machine's worker. */
  public MachineContact contact() {
    return contact;
  }

  /** Returns the state of the delivery of commands to the machine's worker. */
  public CommandDelivery commandDelivery() {
    return commandDelivery;
  }

  /** Returns the history of tasks and images on the machine. */
  public PlacementHistory history() {
    return history;
  }

  /** Whether the machine's worker has sent a heartbeat in this term. */
  public boolean hasHeartbeat() {
    return contact.hasHeartbeat();
  }

  /**
   * Returns the newest heartbeat of the machine's worker, see {@link
   * MachineContact#latestHeartbeat()}.
   */
  public WorkerHeartbeat latestHeartbeat() {
    return contact.latestHeartbeat();
  }

  /** Whether the address at which the machine's worker accepts calls is known. */
  public boolean hasEndpoint() {
    return endpoint != null;
  }

  /** Returns the address at which the machine's worker accepts calls, null if unknown. */
  public Endpoint endpoint() {
    return endpoint;
  }

  void setEndpoint(Endpoint newEndpoint) {
    endpoint = newEndpoint;
  }

  /**
   * Returns when the newest heartbeat was received; without one, when the leader first knew of the
   * machine.
   */
  public Duration lastSeenAt() {
    return contact.hasHeartbeat() ? contact.lastHeartbeatAt() : firstSeen;
  }

  /**
   * Returns the state of the contact with the machine.
   *
   * @param lateCutoff a last heartbeat or last reply before this time counts as late
   * @param termStart when the leader's term began, used as the time of the last reply if there was
   *     none
   */
  public ContactState contactState(Duration lateCutoff, Duration termStart) {
    return contact.contactState(firstSeen, lateCutoff, termStart);
  }

  /** Whether the worker can no longer execute any direct call sent earlier. */
  public boolean areCommandsFenced() {
    return contact.hasTokenAbove(commandDelivery.highestPendingToken());
  }

  /**
   * Returns the cached planning view of the machine, null if the machine has changed since it was
   * built. It is not an {@link Optional}, since it is read for every machine in every round.
   */
  public ClusterView.MachineView cachedView() {
    return view;
  }

  /** Caches the planning view of the machine until the machine changes. */
  public void cacheView(ClusterView.MachineView newView) {
    view = newView;
  }

  /** Discards the cached planning view, since the machine has changed. */
  public void invalidateView() {
    view = null;
  }

  /** Records a container image that the machine has cached or will fetch. */
  public void recordImage(String image) {
    view = null;
    history.recordImage(image);
  }

  /** Removes the expired exclusions of jobs from this machine, see {@link PlacementHistory}. */
  public void removeExpiredExclusions(Duration now) {
    if (history.removeExpiredExclusions(now)) {
      view = null;
    }
  }

  /**
   * Records whether the machine is idle. Its idle time begins when it is first recorded as idle.
   */
  public void setIdle(boolean isIdle, Duration now) {
    if (!isIdle) {
      idleSince = null;
    } else if (idleSince == null) {
      idleSince = now;
    }
  }

  /** Returns for how long the machine has been idle, empty if it is not idle. */
  public Optional<Duration> idleFor(Duration now) {
    return idleSince == null ? Optional.empty() : Optional.of(now.minus(idleSince));
  }

  /** Whether the leader has decided to delete the machine. */
  public boolean isMarkedForDeletion() {
    return isMarkedForDeletion;
  }

  /** Records that the leader has decided to delete the machine. */
  public void markForDeletion() {
    isMarkedForDeletion = true;
  }

  /**
   * Whether the machine should become idle, so that it can be deleted, since the fleet does not
   * need it. Placement does not use this yet.
   */
  public boolean isDraining() {
    return isDraining;
  }

  /** Sets whether the machine should become idle, see {@link #isDraining}. */
  public void setDraining(boolean shouldDrain) {
    if (isDraining != shouldDrain) {
      isDraining = shouldDrain;
      view = null;
    }
  }

  /** Whether the cloud has confirmed that the machine and everything on it no longer exist. */
  public boolean isDeleted() {
    return isDeleted;
  }

  /** Records that the cloud has confirmed the machine's deletion. */
  public void markDeleted() {
    isDeleted = true;
  }
}
