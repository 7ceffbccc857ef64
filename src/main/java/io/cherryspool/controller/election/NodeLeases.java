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
 * Requests, renews and revokes this node's leases in the state store. A node has one current lease;
 * a leader that changes its length has a second one, the replacement, until its record has moved
 * there. Both are renewed alike.
 */
final class NodeLeases {
  private static final Logger LOG = LoggerFactory.getLogger(NodeLeases.class);

  /** How many retries of a failed renewal fit into the length of a lease. */
  private static final int RETRIES_PER_LEASE = 16;

  private final EventLoop loop;
  private final StateStoreClient client;
  private final RateLimiter rateLimiter;
  private final Timings timings;
  private final Listener listener;

  /** Null while this node has no lease. */
  private StateStoreLease current;

  /** Null except while the length of a leader's lease changes. */
  private StateStoreLease replacement;

  private boolean isRequestPending;
  private EventLoop.Timer retryTimer;

  /** Receives what happens to the leases, on the event loop. */
  interface Listener {
    /** A node without a lease was granted one. */
    void leaseGranted();

    /** A lease has expired, was replaced by the other one, or was given up. */
    void leasesChanged();

    /**
     * The state store has no lease although its last confirmed renewal still covers this moment.
     */
    void leaseExpiredPrematurely();

    /** A renewal has failed, and the time to send it again has come. */
    void renewalRetryDue();
  }

  NodeLeases(EventLoop loop, StateStoreAccess stateStore, Timings timings, Listener listener) {
    this.loop = loop;
    this.client = stateStore.client();
    this.rateLimiter = stateStore.rateLimiter();
    this.timings = timings;
    this.listener = listener;
  }

  /** The lease by which this node stands for election and leads; empty while it has none. */
  Optional<StateStoreLease> current() {
    return Optional.ofNullable(current);
  }

  /** The lease to which a leader moves its record; empty if it changes nothing. */
  Optional<StateStoreLease> replacement() {
    return Optional.ofNullable(replacement);
  }

  /** Whether this is the current lease, not one that was current earlier. */
  boolean isCurrent(StateStoreLease lease) {
    return lease == current;
  }

  /** Whether the lease with this number is the current one or the replacement. */
  boolean isHeld(long leaseId) {
    return (current != null && current.id() == leaseId) || isReplacement(leaseId);
  }

  /** Whether the lease with this number is the replacement. */
  boolean isReplacement(long leaseId) {
    return replacement != null && replacement.id() == leaseId;
  }

  /** Whether this node has a lease, and the state store certainly still keeps all it has. */
  boolean areValidAt(Duration now) {
    return current != null
        && current.isValidAt(now)
        && (replacement == null || replacement.isValidAt(now));
  }

  /** Whether this node has a lease, and renewals of all it has were sent after this moment. */
  boolean areRenewedSince(Duration start) {
    return current != null
        && current.lastRenewalSentAt().compareTo(start) > 0
        && (replacement == null || replacement.lastRenewalSentAt().compareTo(start) > 0);
  }

  /** Whether a request for a lease has been sent and not answered yet. */
  boolean isRequestPending() {
    return isRequestPending;
  }

  /** Requests a lease for a node that has none, unless such a request is pending. */
  void requestCurrent() {
    if (isRequestPending) {
      return;
    }
    request(
        timings.stateStoreLease(),
        granted -> {
          current = granted;
          listener.leaseGranted();
        });
  }

  /**
   * Requests a lease of this length. Only one request may be pending.
   *
   * @param onGranted receives the lease; is not called if the request fails
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

  /** Renews all leases that have no renewal pending. */
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
                expire(lease);
              } else if (lease == current || lease == replacement) {
                scheduleRetry();
              }
            });
  }

  private void expire(StateStoreLease lease) {
    if (lease == replacement) {
      replacement = null;
      listener.leasesChanged();
    } else if (lease == current) {
      LOG.info("state store lease expired, lease={}", lease.id());
      if (lease.isValidAt(loop.now())) {
        // The state store never expires a lease early, so it must have lost the renewal.
        listener.leaseExpiredPrematurely();
      }
      current = replacement;
      replacement = null;
      listener.leasesChanged();
      if (current == null) {
        requestCurrent();
      }
    }
  }

  /** Retries soon, while this node's share of the state store's requests lasts. */
  private void scheduleRetry() {
    if (retryTimer == null && rateLimiter.mayWrite(RateLimiter.WriteClass.CANCEL, 0, 0)) {
      retryTimer =
          loop.schedule(
              Durations.divide(timings.stateStoreLease(), RETRIES_PER_LEASE),
              () -> {
                retryTimer = null;
                listener.renewalRetryDue();
              });
    }
  }

  /** Cancels the retry of a failed renewal, since all leases are renewed now. */
  void cancelRetry() {
    if (retryTimer != null) {
      retryTimer.cancel();
      retryTimer = null;
    }
  }

  /** Makes the lease the replacement of the current one. */
  void setReplacement(StateStoreLease lease) {
    replacement = lease;
  }

  /** Makes the replacement the current lease, and revokes the one it replaces. */
  void promoteReplacement() {
    StateStoreLease replaced = current;
    current = replacement;
    replacement = null;
    if (replaced != null) {
      revoke(replaced);
    }
  }

  /** Drops the lease if it is the current one: the state store refuses it. */
  void discardCurrent(StateStoreLease refused) {
    if (current == refused) {
      current = null;
    }
  }

  /** Drops the lease if it is the replacement: the state store refuses it. */
  void discardReplacement(StateStoreLease refused) {
    if (replacement == refused) {
      replacement = null;
    }
  }

  /** Gives up all leases, informs the listener, and then revokes them. */
  void relinquish() {
    Optional<StateStoreLease> first = current();
    Optional<StateStoreLease> second = replacement();
    current = null;
    replacement = null;
    listener.leasesChanged();
    first.ifPresent(this::revoke);
    second.ifPresent(this::revoke);
  }

  /** Revokes a lease to which no record is attached any more; a failure leaves it to expire. */
  void revoke(StateStoreLease lease) {
    rateLimiter.forceAcquire(0);
    client.revokeLease(lease.id()).exceptionally(failure -> null);
  }

  /** Ends retries and revokes all leases, without informing the listener. */
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
