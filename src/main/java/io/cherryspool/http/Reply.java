package io.cherryspool.http;

/**
 * One HTTP response; {@code retryAfterS} of 0 leaves the header out. After one that is {@code last}
 * the connection is closed, so that the peer comes back by another.
 */
public record Reply(
    int status, byte[] body, int retryAfterSeconds, String contentType, boolean closesConnection) {
  public static final String JSON = "application/json";

  public static Reply json(int status, byte[] body) {
    return new Reply(status, body, 0, JSON, false);
  }

  public static Reply withRetryAfter(int status, byte[] body, int retryAfterS) {
    return new Reply(status, body, retryAfterS, JSON, false);
  }

  public Reply closingConnection() {
    return new Reply(status, body, retryAfterSeconds, contentType, true);
  }
}
