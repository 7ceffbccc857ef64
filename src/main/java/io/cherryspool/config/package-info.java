/**
 * The settings: those that the platform hands over as JSON, and those that operators may set beyond
 * them as XML. Both are checked as a whole before a node starts; a mistake is a {@link
 * io.cherryspool.config.ConfigException} that names the file and the setting.
 *
 * <p>May depend on {@code http}, for addresses, and {@code model}.
 *
 * <p>Threading: files are read blocking, so only before the event loop runs. The settings
 * themselves are immutable and may be read by any thread.
 */
package io.cherryspool.config;
