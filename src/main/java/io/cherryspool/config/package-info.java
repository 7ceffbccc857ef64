/**
 * The settings: those that the platform provides as JSON, and those that operators may add as XML.
 * Both files are validated completely before a node starts. An error in them causes a {@link
 * io.cherryspool.config.ConfigException} that names the file and the setting.
 *
 * <p>May depend on {@code http}, for addresses, and {@code model}.
 *
 * <p>Threading: reading files blocks, and is therefore done before the event loop runs. The
 * settings are immutable and may be read by any thread.
 */
package io.cherryspool.config;
