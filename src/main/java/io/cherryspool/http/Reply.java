package io.cherryspool.http;

/**
 * One HTTP response.
 *
 * @param body the content, which is not to be changed
 * @param retryAfterSeconds the value of the Retry-After header; 0 leaves it out
 * @param closesConnection whether the server closes the connection after it, so that the client's
 *     next request comes by a new one
 */
public record Reply(
    int status, byte[] body, int retryAfterSeconds, String contentType, boolean closesConnection) {
  /** The content type of JSON. */
  public static final String JSON = "application/json";

  /** A response with a JSON body. */
  public static Reply json(int status, byte[] body) {
    return new Reply(status, body, 0, JSON, false);
  }

  /** A response with a JSON body that says when to send the request again. */
  public static Reply withRetryAfter(int status, byte[] body, int retryAfterSeconds) {
    return new Reply(status, body, retryAfterSeconds, JSON, false);
  }

  /** The same response, after which the server closes the connection. */
  public Reply withConnectionClose() {
    return new Reply(status, body, retryAfterSeconds, contentType, true);
  }
}
