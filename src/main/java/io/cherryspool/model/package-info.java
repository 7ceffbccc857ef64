/**
 * The domain model as immutable values: jobs, tasks and attempts, teams and resources, machines,
 * heartbeats and commands, fencing tokens.
 *
 * <p>Depends on nothing but the JDK and its collections library.
 *
 * <p>Threading: any thread may read them.
 */
package io.cherryspool.model;
