package io.cherryspool.config;

/** A mistake in the settings, in one line that names the file and the field. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  public ConfigException(String message) {
    super(message);
  }
}
