/**
 * The terms of the scheduler as immutable values: jobs, tasks and attempts, resources, machines,
 * reports and orders, tokens.
 *
 * <p>Depends on nothing but the JDK and its collections library.
 *
 * <p>Threading: any thread may read them.
 */
package io.cherryspool.model;
