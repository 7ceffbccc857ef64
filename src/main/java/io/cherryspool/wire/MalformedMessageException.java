package io.cherryspool.wire;

/** A message that is not what the protocol says; the message names the field. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String message) {
    super(message);
  }
}
