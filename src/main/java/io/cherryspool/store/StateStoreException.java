package io.cherryspool.store;

import java.util.concurrent.CompletionException;

/** A request that the state service did not answer with success. */
public final class StateStoreException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What is known of the request's effect. */
  public enum Kind {
    /** It was not carried out, and may be tried again. */
    NOT_EXECUTED,
    /** It was not carried out, since the nodes together are at the service's limits. */
    RATE_LIMITED,
    /** It may have been carried out, or may yet be. */
    OUTCOME_UNKNOWN,
    /** What it names is gone: a lease that ran out, a history too old. */
    GONE,
    /** It can't succeed as it is. */
    INVALID_REQUEST
  }

  private final Kind kind;

  public StateStoreException(Kind kind, String message) {
    super(message);
    this.kind = kind;
  }

  public Kind kind() {
    return kind;
  }

  /** The kind of a failed future's cause; unknown for failures of the transport. */
  public static Kind kindOf(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause instanceof StateStoreException e ? e.kind : Kind.OUTCOME_UNKNOWN;
  }
}
