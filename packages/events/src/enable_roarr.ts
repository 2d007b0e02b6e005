/**
 * Switches `roarr` on. It reads this variable once, when it is loaded, and
 * otherwise drops every message; so this module is imported before it.
 */
process.env["ROARR_LOG"] = "true";
