package io.cherryspool.controller.fleet;

import io.cherryspool.http.Endpoint;
import io.cherryspool.model.WorkerHeartbeat;
import io.cherryspool.reachability.ContactState;
import io.cherryspool.scheduler.ClusterView;
import java.time.Duration;
import java.util.Optional;

/**
 * What a leader knows of one machine, in memory only; a new leader learns it again. Used on the
 * event loop only.
 */
public final class MachineState {
  private final String name;
  private final String type;
  private final String zone;
  private final boolean spot;
  private final Duration firstSeen;
  private final MachineContact contact = new MachineContact();
  private final CommandDelivery commands = new CommandDelivery();
  private final PlacementHistory history = new PlacementHistory();
  private Endpoint endpoint;

  /** What planning sees of the machine, null when something has changed since. */
  private ClusterView.MachineView view;

  private Duration idleSince;
  private boolean markedForDeletion;
  private boolean draining;
  private boolean deleted;

  /** Type and zone may be empty, of a machine that is known by its name only. */
  public MachineState(String name, String type, String zone, boolean spot, Duration now) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.firstSeen = now;
  }

  /** The name that the cloud gave it. */
  public String name() {
    return name;
  }

  /** The name of its machine type, empty if unknown. */
  public String type() {
    return type;
  }

  /** Its zone, empty if unknown. */
  public String zone() {
    return zone;
  }

  /** Whether the cloud may take it back at short notice. */
  public boolean isSpot() {
    return spot;
  }

  /** The contact with its worker. */
  public MachineContact contact() {
    return contact;
  }

  /** The delivery of commands to its worker. */
  public CommandDelivery commands() {
    return commands;
  }

  /** What has run on it. */
  public PlacementHistory history() {
    return history;
  }

  /** Whether its worker has sent a heartbeat in this term. */
  public boolean hasHeartbeat() {
    return contact.hasHeartbeat();
  }

  /** See {@link MachineContact#latestHeartbeat()}. */
  public WorkerHeartbeat latestHeartbeat() {
    return contact.latestHeartbeat();
  }

  /** Whether it is known where its worker takes calls. */
  public boolean hasEndpoint() {
    return endpoint != null;
  }

  /** Where its worker takes calls, null if that is not known. */
  public Endpoint endpoint() {
    return endpoint;
  }

  void setEndpoint(Endpoint known) {
    endpoint = known;
  }

  /** When the newest heartbeat came, or else when the leader learnt of the machine. */
  public Duration lastSeenAt() {
    return contact.hasHeartbeat() ? contact.lastHeartbeatAt() : firstSeen;
  }

  /**
   * How the leader stands with the machine.
   *
   * @param lateSince what last came before this is late
   * @param termStart when the leader's term began, which answered nothing before
   */
  public ContactState contactState(Duration lateSince, Duration termStart) {
    return contact.contactState(firstSeen, lateSince, termStart);
  }

  /** Whether no direct command sent before may still run on the worker. */
  public boolean areCommandsFenced() {
    return contact.hasTokenAbove(commands.highestPendingToken());
  }

  /**
   * What planning last saw of the machine, null when something has changed since. Not an {@link
   * Optional}, since it is read for every machine in every round.
   */
  public ClusterView.MachineView cachedView() {
    return view;
  }

  /** Keeps what planning sees of the machine until something changes. */
  public void cacheView(ClusterView.MachineView seen) {
    view = seen;
  }

  /** Records that something has changed which planning sees. */
  public void invalidateView() {
    view = null;
  }

  /** Records an image that the machine has or will fetch. */
  public void recordImage(String image) {
    view = null;
    history.recordImage(image);
  }

  /** Lets jobs whose tasks last failed here longer ago be placed here again. */
  public void removeExpiredExclusions(Duration now) {
    if (history.removeExpiredExclusions(now)) {
      view = null;
    }
  }

  /** Records whether it has nothing to do; idle time counts from when it began. */
  public void setIdle(boolean idle, Duration now) {
    if (!idle) {
      idleSince = null;
    } else if (idleSince == null) {
      idleSince = now;
    }
  }

  /** For how long it has had nothing to do, empty if it has. */
  public Optional<Duration> idleFor(Duration now) {
    return idleSince == null ? Optional.empty() : Optional.of(now.minus(idleSince));
  }

  /** Whether the leader has decided to delete it. */
  public boolean isMarkedForDeletion() {
    return markedForDeletion;
  }

  /** Records that the leader has decided to delete it. */
  public void markForDeletion() {
    markedForDeletion = true;
  }

  /** Whether it is given only work that fits nowhere else, since the fleet can do without it. */
  public boolean isDraining() {
    return draining;
  }

  /** Decides whether it is given only work that fits nowhere else. */
  public void setDraining(boolean drain) {
    if (draining != drain) {
      draining = drain;
      view = null;
    }
  }

  /** Whether the cloud has confirmed that the machine and everything on it no longer exist. */
  public boolean isDeleted() {
    return deleted;
  }

  /** Records that the cloud has confirmed the deletion. */
  public void markDeleted() {
    deleted = true;
  }
}
