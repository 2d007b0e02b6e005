/**
 * What of a request can be the cause of a crash: the parts that its prompt
 * shares with others, and the request as a whole, which callers repeat under
 * other ids. Both are told apart by their keys.
 */

/** No key of a part begins with this character. */
const REQUEST_MARK = "~";

/** Group of all suspects that are parts. */
const PARTS = "parts";

/** Key of a whole request, from its fingerprint `SERVICE/CONTENT`. */
export function requestSuspect(fingerprint: string): string {
  return `${REQUEST_MARK}${fingerprint}`;
}

export function isRequest(suspect: string): boolean {
  return suspect.startsWith(REQUEST_MARK);
}

/** Fingerprint of the request that is the suspect. */
export function fingerprintOfSuspect(suspect: string): string {
  return suspect.slice(REQUEST_MARK.length);
}

/**
 * Suspects of one group are judged by the same crashes and answers: requests by
 * those of their service, as others say nothing about it.
 */
export function groupOf(suspect: string): string {
  if (!isRequest(suspect)) return PARTS;
  const end = suspect.indexOf("/");
  return end < 0 ? suspect : suspect.slice(0, end);
}
