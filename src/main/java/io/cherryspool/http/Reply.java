package io.cherryspool.http;

/** One HTTP response; {@code retryAfterS} of 0 leaves the header out. */
public record Reply(int status, byte[] body, int retryAfterS, String contentType) {
  public static final String JSON = "application/json";

  public static Reply json(int status, byte[] body) {
    return new Reply(status, body, 0, JSON);
  }

  public static Reply retry(int status, byte[] body, int retryAfterS) {
    return new Reply(status, body, retryAfterS, JSON);
  }
}
