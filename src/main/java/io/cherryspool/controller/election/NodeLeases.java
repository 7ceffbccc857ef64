package io.cherryspool.controller.election;

import io.cherryspool.controller.timing.Timings;
import io.cherryspool.lifecycle.EventLoop;
import io.cherryspool.model.Durations;
import io.cherryspool.store.RateLimiter;
import io.cherryspool.store.StateStoreClient;
import io.cherryspool.store.StateStoreException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests, renews and revokes this node's leases in the state store. A node has one current lease.
 * A leader that changes the length of its lease has a second one, the replacement, until the
 * leader's record is attached to the replacement. Both leases are renewed at the same times.
 */
final class NodeLeases {
  private static final Logger LOG = LoggerFactory.getLogger(NodeLeases.class);

  /** The number of times that a failed renewal is retried within the length of a lease. */
  private static final int RETRIES_PER_LEASE = 16;

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final Timings timings;
  private final Listener listener;

  /** The current lease; null while this node has none. */
  private StateStoreLease current;

  /** The replacement; null except while a leader changes the length of its lease. */
  private StateStoreLease replacement;

  private boolean isRequestPending;
  private EventLoop.Timer retryTimer;

  /** Receives events of the leases, on the event loop. */
  interface Listener {
    /** Called when a node without a lease was granted one. */
    void onLeaseGranted();

    /** Called when a lease has expired, or when this node has stopped using its leases. */
    void onLeasesChanged();

    /**
     * Called when the state store no longer has the lease, although it should still be valid after
     * its last confirmed renewal.
     */
    void onLeaseExpiredPrematurely();

    /** Called when a failed renewal is to be sent again. */
    void onRenewalRetryDue();
  }

  NodeLeases(EventLoop loop, StateStoreAccess stateStore, Timings timings, Listener listener) {
    this.loop = loop;
    this.client = stateStore.client();
    this.rateLimiter = stateStore.rateLimiter();
    this.timings = timings;
    this.listener = listener;
  }

  /**
   * Returns the lease with which this node runs for election and leads; empty while it has none.
   */
  Optional<StateStoreLease> current() {
    return Optional.ofNullable(current);
  }

  /**
   * Returns the lease that is to replace the current one; empty while no replacement is in
   * progress.
   */
  Optional<StateStoreLease> replacement() {
    return Optional.ofNullable(replacement);
  }

  /** Whether this is the current lease, as opposed to one that was current earlier. */
  boolean isCurrent(StateStoreLease lease) {
    return lease == current;
  }

  /** Whether the lease with this id is the current one or the replacement. */
  boolean isHeld(long leaseId) {
    return (current != null && current.id() == leaseId) || isReplacement(leaseId);
  }

  /** Whether the lease with this id is the replacement. */
  boolean isReplacement(long leaseId) {
    return replacement != null && replacement.id() == leaseId;
  }

  /** Whether this node has a lease, and all its leases are certain to be valid at this time. */
  boolean areValidAt(Duration now) {
    return current != null
        && current.isValidAt(now)
        && (replacement == null || replacement.isValidAt(now));
  }

  /**
   * Whether this node has a lease, and the last confirmed renewal of each of its leases was sent
   * after this time.
   */
  boolean areRenewedSince(Duration start) {
    return current != null
        && current.lastRenewalSentAt().compareTo(start) > 0
        && (replacement == null || replacement.lastRenewalSentAt().compareTo(start) > 0);
  }

  /** Whether a request for a new lease has been sent and not answered yet. */
  boolean isRequestPending() {
    return isRequestPending;
  }

  /** Requests a lease for a node that has none, unless a request is already pending. */
  void requestCurrent() {
    if (isRequestPending) {
      return;
    }
    request(
        timings.stateStoreLease(),
        granted -> {
          current = granted;
          listener.onLeaseGranted();
        });
  }

  /**
   * Requests a lease of this length. Must not be called while another request is pending.
   *
   * @param onGranted receives the lease; not called if the request fails
   */
  void request(Duration length, Consumer<StateStoreLease> onGranted) {
    Duration sentAt = loop.now();
    isRequestPending = true;
    rateLimiter.forceAcquire(0);
    client
        .grantLease(length)
        .whenComplete(
            (id, failure) -> {
              isRequestPending = false;
              if (failure == null) {
                onGranted.accept(new StateStoreLease(id, length, sentAt));
              }
            });
  }

  /** Renews all leases that have no pending renewal. */
  void renew() {
    renew(current);
    if (replacement != null) {
      renew(replacement);
    }
  }

  private void renew(StateStoreLease lease) {
    if (lease.isRenewing()) {
      return;
    }
    Duration sentAt = loop.now();
    lease.beginRenewal();
    rateLimiter.forceAcquire(0);
    client
        .renewLease(lease.id())
        .whenComplete(
            (nothing, failure) -> {
              lease.endRenewal();
              if (failure == null) {
                lease.confirmRenewal(sentAt);
              } else if (StateStoreException.kindOf(failure) == StateStoreException.Kind.GONE) {
                removeExpired(lease);
              } else if (lease == current || lease == replacement) {
                scheduleRetry();
              }
            });
  }

  private void removeExpired(StateStoreLease lease) {
    if (lease == replacement) {
      replacement = null;
      listener.onLeasesChanged();
    } else if (lease == current) {
      LOG.info("state store lease expired, lease={}", lease.id());
      if (lease.isValidAt(loop.now())) {
        // The state store never expires a lease early, so it must have lost the lease or its
        // renewal.
        listener.onLeaseExpiredPrematurely();
      }
      current = replacement;
      replacement = null;
      listener.onLeasesChanged();
      if (current == null) {
        requestCurrent();
      }
    }
  }

  /**
   * Schedules an early retry, unless this node's share of the state store's request rate is used
   * up.
   */
  private void scheduleRetry() {
    if (retryTimer == null && rateLimiter.mayWrite(RateLimiter.WriteClass.CANCEL, 0, 0)) {
      retryTimer =
          loop.schedule(
              Durations.divide(timings.stateStoreLease(), RETRIES_PER_LEASE),
              () -> {
                retryTimer = null;
                listener.onRenewalRetryDue();
              });
    }
  }

  /** Cancels the retry of a failed renewal, because all leases are about to be renewed. */
  void cancelRetry() {
    if (retryTimer != null) {
      retryTimer.cancel();
      retryTimer = null;
    }
  }

  /** Makes this lease the replacement of the current one. */
  void setReplacement(StateStoreLease lease) {
    replacement = lease;
  }

  /** Makes the replacement the current lease, and revokes the lease that it replaces. */
  void promoteReplacement() {
    StateStoreLease replaced = current;
    current = replacement;
    replacement = null;
    if (replaced != null) {
      revoke(replaced);
    }
  }

  /** Drops the lease if it is the current one, because the state store has refused to use it. */
  void discardCurrent(StateStoreLease refused) {
    if (current == refused) {
      current = null;
    }
  }

  /** Drops the lease if it is the replacement, because the state store has refused to use it. */
  void discardReplacement(StateStoreLease refused) {
    if (replacement == refused) {
      replacement = null;
    }
  }

  /** Stops using all leases, notifies the listener, and then revokes the leases. */
  void relinquish() {
    Optional<StateStoreLease> first = current();
    Optional<StateStoreLease> second = replacement();
    current = null;
    replacement = null;
    listener.onLeasesChanged();
    first.ifPresent(this::revoke);
    second.ifPresent(this::revoke);
  }

  /**
   * Revokes a lease that this node no longer uses. If the request fails, the lease expires by
   * itself.
   */
  void revoke(StateStoreLease lease) {
    rateLimiter.forceAcquire(0);
    client.revokeLease(lease.id()).exceptionally(failure -> null);
  }

  /** Cancels retries and revokes all leases, without notifying the listener. */
  void stop() {
    if (retryTimer != null) {
      retryTimer.cancel();
    }
    current().ifPresent(this::revoke);
    replacement().ifPresent(this::revoke);
    current = null;
    replacement = null;
  }
}
