package io.cherryspool.http;

/** One HTTP request; {@code target} is the path with its query. */
public record Request(String method, String target, byte[] body) {
  private static final byte[] EMPTY = new byte[0];

  public static Request get(String target) {
    return new Request("GET", target, EMPTY);
  }

  public static Request post(String target, byte[] body) {
    return new Request("POST", target, body);
  }

  public static Request delete(String target) {
    return new Request("DELETE", target, EMPTY);
  }

  /** The target without its query. */
  public String path() {
    int mark = target.indexOf('?');
    return mark < 0 ? target : target.substring(0, mark);
  }
}
