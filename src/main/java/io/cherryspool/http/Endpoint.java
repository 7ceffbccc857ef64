package io.cherryspool.http;

/** A TCP address. The host is an IP address, since the machines have no name service. */
public record Endpoint(String host, int port) {

  /**
   * Parses an address of the form {@code host:port}.
   *
   * @throws IllegalArgumentException if the text does not have this form, or the port is out of
   *     range
   */
  public static Endpoint parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not host:port: " + text);
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not host:port: " + text, e);
    }
    if (port < 1 || port > 65_535) {
      throw new IllegalArgumentException("port is not from 1 to 65535: " + text);
    }
    return new Endpoint(text.substring(0, colon), port);
  }

  // Written out because the JVM links generated record methods only at run time, which slows down
  // the start of a node; see "Start-up" in docs/design.md.
  @Override
  public boolean equals(Object object) {
    return object instanceof Endpoint other && port == other.port && host.equals(other.host);
  }

  @Override
  public int hashCode() {
    return 31 * host.hashCode() + port;
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
