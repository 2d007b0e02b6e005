/**
 * Fair queues, deadlines and adaptive concurrency.
 */
export {};
