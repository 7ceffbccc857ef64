/**
 * Programs that measure controllers and print the figures, most of them as Markdown: processor time
 * and memory, recoveries, flapping links, and violations of rules in randomized runs. They are not
 * tests. Uses {@code sim.loopback} and {@code sim.partition}.
 */
package io.cherryspool.sim.driver;
