import { expect } from "earl";
import { test } from "node:test";
import { createTrialTurns } from "./trial_turns.ts";

// Guards against trials by all daemons at once, and against a part that no daemon
// may ever try.
test("the daemons that rank first for a turn have it, at least one", () => {
  const hasTurn = (rank: number, share: number) =>
    createTrialTurns(() => ({ rank: () => rank, liveCount: () => 8 }))(
      "1",
      share,
    );
  const ranks = [0, 1, 2, 3, 4, 5, 6, 7];
  const countOf = (share: number) =>
    ranks.filter((rank) => hasTurn(rank, share)).length;
  expect([0, 0.1, 0.25, 0.5, 1].map(countOf)).toEqual([1, 1, 2, 4, 8]);
  expect(createTrialTurns(() => undefined)("1", 0)).toEqual(true);
});
