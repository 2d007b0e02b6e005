/**
 * Enables `roarr`. It reads this variable once, when it is loaded, and drops
 * every message if it is not set. Import this module before `roarr`.
 */
process.env["ROARR_LOG"] = "true";
