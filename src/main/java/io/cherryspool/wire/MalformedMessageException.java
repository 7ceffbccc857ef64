package io.cherryspool.wire;

/** A received message breaks its protocol. The exception's message names the field and says how. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message what is wrong, and in which field; users get it in the body of a 400
   */
  public MalformedMessageException(String message) {
    super(message);
  }
}
