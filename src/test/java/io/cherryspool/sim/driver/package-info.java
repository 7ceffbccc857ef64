/**
 * Programs that measure and print Markdown, none of which is a test: processor time and memory of
 * controllers, recoveries, flapping links. Uses {@code sim.loopback} and {@code sim.partition}.
 */
package io.cherryspool.sim.driver;
