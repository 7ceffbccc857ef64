/**
 * The domain model, which consists of immutable values: jobs, tasks and attempts, teams and
 * resources, machines, heartbeats and commands, fencing tokens.
 *
 * <p>Depends only on the JDK and a library of primitive collections.
 *
 * <p>Threading: values may be read by any thread.
 */
package io.cherryspool.model;
