package io.cherryspool.wire;

/**
 * Thrown when a received message violates its protocol. The exception's message names the invalid
 * field and the problem.
 */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message names the invalid field and the problem; users receive it in the body of a 400
   *     response
   */
  public MalformedMessageException(String message) {
    super(message);
  }
}
