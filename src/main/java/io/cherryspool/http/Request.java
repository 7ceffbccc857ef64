package io.cherryspool.http;

/**
 * One HTTP request.
 *
 * @param target the path with its query
 * @param body the content; empty for none, and not to be changed
 */
public record Request(String method, String target, byte[] body) {
  private static final byte[] NO_BODY = new byte[0];

  /** A GET without a body. */
  public static Request get(String target) {
    return new Request("GET", target, NO_BODY);
  }

  /** A POST with a JSON body, which may be empty. */
  public static Request post(String target, byte[] body) {
    return new Request("POST", target, body);
  }

  /** A DELETE without a body. */
  public static Request delete(String target) {
    return new Request("DELETE", target, NO_BODY);
  }

  /** The target without its query. */
  public String path() {
    int queryStart = target.indexOf('?');
    return queryStart < 0 ? target : target.substring(0, queryStart);
  }
}
