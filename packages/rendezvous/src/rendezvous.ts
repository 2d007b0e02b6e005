/**
 * Weighted rendezvous hashing. All processes with the same set of members rank
 * them in the same order for a key. When a member joins or leaves, the first
 * member changes only for keys whose first member it becomes or was.
 */
import { hash } from "node:crypto";

export interface RendezvousMember {
  /** Unique name; the only input of the member's hash. */
  readonly name: string;
  /** Relative share of the keys assigned to the member; above 0. */
  readonly weight: number;
}

/** The two 32-bit halves of a 64-bit hash. */
interface HashHalves {
  readonly high: number;
  readonly low: number;
}

interface ScoredMember<Member> {
  readonly member: Member;
  readonly score: number;
}

const TWO_POWER_32 = 2 ** 32;
const TWO_POWER_53 = 2 ** 53;

/** The 21 bits of the high half that fit in a double with the low half. */
const HIGH_MASK = 0x1fffff;

// SHA-256 takes about a microsecond, so each member object is hashed only once.
const memberHashes = new WeakMap<RendezvousMember, HashHalves>();

/** Returns the members in descending preference for the key. */
export function rankByRendezvous<Member extends RendezvousMember>(
  key: string,
  members: readonly Member[],
): readonly Member[] {
  const keyHash = hashText(key);
  return members
    .map((member) => ({ member, score: scoreOf(keyHash, member) }))
    .sort(compareScored)
    .map((scored) => scored.member);
}

/** The key's first member in the ranking, found without sorting. */
export function findRendezvousHome<Member extends RendezvousMember>(
  key: string,
  members: readonly Member[],
): Member | undefined {
  const keyHash = hashText(key);
  let best: ScoredMember<Member> | undefined;
  for (const member of members) {
    const scored = { member, score: scoreOf(keyHash, member) };
    if (best === undefined || compareScored(scored, best) < 0) best = scored;
  }
  return best?.member;
}

/**
 * The ranking with members at their load bound moved behind the others. The
 * bound of a member is `factor` times its weighted share of the total load,
 * including the new item, so at least one member is below its bound if
 * `factor` >= 1.
 */
export function rankWithBoundedLoad<Member extends RendezvousMember>(
  key: string,
  members: readonly Member[],
  options: {
    readonly loadOf: (member: Member) => number;
    readonly factor: number;
  },
): readonly Member[] {
  const ranked = rankByRendezvous(key, members);
  const load = sum(members.map(options.loadOf)) + 1;
  const weight = sum(members.map((member) => member.weight));
  const isBelow = (member: Member) => {
    const share = load * member.weight / weight;
    return options.loadOf(member) < Math.ceil(options.factor * share);
  };
  return [
    ...ranked.filter(isBelow),
    ...ranked.filter((member) => !isBelow(member)),
  ];
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function compareScored(
  left: ScoredMember<RendezvousMember>,
  right: ScoredMember<RendezvousMember>,
): number {
  if (left.score !== right.score) return right.score - left.score;
  return left.member.name < right.member.name ? -1 : 1;
}

/**
 * -weight / ln(u) with u uniform in (0, 1), which makes the probability of the
 * first place proportional to the weight.
 */
function scoreOf(key: HashHalves, member: RendezvousMember): number {
  const uniform = mixToUniform(key, hashMember(member));
  return -member.weight / Math.log(uniform);
}

function hashMember(member: RendezvousMember): HashHalves {
  const known = memberHashes.get(member);
  if (known !== undefined) return known;
  const hash = hashText(member.name);
  memberHashes.set(member, hash);
  return hash;
}

function hashText(text: string): HashHalves {
  const digest = hash("sha256", text, "buffer");
  return { high: digest.readUInt32LE(0), low: digest.readUInt32LE(4) };
}

function mixToUniform(key: HashHalves, member: HashHalves): number {
  const low = mix32((key.low ^ member.low) >>> 0);
  const high = mix32((key.high ^ member.high ^ low) >>> 0);
  const last = mix32((low ^ Math.imul(high, 0x9e3779b1)) >>> 0);
  const bits = (high & HIGH_MASK) * TWO_POWER_32 + last;
  return (bits + 0.5) / TWO_POWER_53;
}

/** The MurmurHash3 finalizer: every input bit affects every output bit. */
function mix32(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
