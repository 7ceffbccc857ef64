package io.cherryspool.http;

/**
 * An HTTP request.
 *
 * @param target the path including the query
 * @param body the content, which must not be modified; empty for a request without a body
 */
public record Request(String method, String target, byte[] body) {
  private static final byte[] NO_BODY = new byte[0];

  /** Returns a GET request without a body. */
  public static Request get(String target) {
    return new Request("GET", target, NO_BODY);
  }

  /** Returns a POST request with a JSON body, which may be empty. */
  public static Request post(String target, byte[] body) {
    return new Request("POST", target, body);
  }

  /** Returns a DELETE request without a body. */
  public static Request delete(String target) {
    return new Request("DELETE", target, NO_BODY);
  }

  /** Returns the target without the query. */
  public String path() {
    int queryStart = target.indexOf('?');
    return queryStart < 0 ? target : target.substring(0, queryStart);
  }
}
