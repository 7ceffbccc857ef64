package io.cherryspool.http;

/**
 * An HTTP response.
 *
 * @param body the content, which must not be modified
 * @param retryAfterSeconds the value of the Retry-After header; 0 omits the header
 * @param closesConnection whether the server closes the connection after the response, so that the
 *     client opens a new one for its next request
 */
public record Reply(
    int status, byte[] body, int retryAfterSeconds, String contentType, boolean closesConnection) {
  /** The content type of JSON. */
  public static final String JSON = "application/json";

  /** Returns a response with a JSON body. */
  public static Reply json(int status, byte[] body) {
    return new Reply(status, body, 0, JSON, false);
  }

  /** Returns a response with a JSON body that tells the client when to retry the request. */
  public static Reply withRetryAfter(int status, byte[] body, int retryAfterSeconds) {
    return new Reply(status, body, retryAfterSeconds, JSON, false);
  }

  /** Returns a copy of this response after which the server closes the connection. */
  public Reply withConnectionClose() {
    return new Reply(status, body, retryAfterSeconds, contentType, true);
  }
}
