/**
 * Clocks. Code that waits or compares deadlines takes a `Clock`, so that tests
 * do not have to wait in real time.
 */
export * from "./clock.ts";
export * from "./manual_clock.ts";
export * from "./system_clock.ts";
export * from "./suspend_aware_clock.ts";
