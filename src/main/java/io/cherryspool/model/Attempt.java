package io.cherryspool.model;

/**
 * A task's committed assignment. Until its end is proved, the task belongs to this machine, session
 * and attempt, whatever else is seen.
 */
public record Attempt(int task, String machine, long session, int number, long token) {}
