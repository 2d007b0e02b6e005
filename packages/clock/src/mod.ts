/**
 * Time as the rest of the system sees it. Code that waits or compares
 * deadlines takes a `Clock`, so that tests need not wait for real time.
 */
export * from "./clock.ts";
export * from "./manual_clock.ts";
export * from "./system_clock.ts";
export * from "./suspend_aware_clock.ts";
