import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { splitIntoBlocks } from "./names.ts";
import { rankStores } from "./ranking.ts";
import { createByteTokenizer } from "./tokenizer.ts";

const tokenizer = createByteTokenizer();
const texts = fc.string({ unit: "binary", maxLength: 200 });

function blockNames(prompt: string, scheme = {}): readonly string[] {
  const { names } = splitIntoBlocks(prompt, {
    customer: "rekku",
    weights: "w1",
    tokensPerBlock: 3,
    tokenizer,
    ...scheme,
  });
  return names.map((name) => name.block);
}

test("tokens are complete characters of up to 4 bytes and form the text", () => {
  fc.assert(fc.property(texts, (text) => {
    const tokens = tokenizer.splitText(text);
    expect(tokens.join("")).toEqual(text);
    expect(tokenizer.countTokens(text)).toEqual(tokens.length);
    for (const token of tokens) {
      const bytes = Buffer.byteLength(token);
      expect(bytes > 0 && bytes <= 4).toEqual(true);
      expect(Buffer.from(token).toString()).toEqual(token);
    }
  }));
});

test("a longer prompt keeps the names of its complete leading blocks", () => {
  fc.assert(fc.property(texts, texts, (head, tail) => {
    // Appended text may extend the last token of the last block.
    const before = blockNames(head).slice(0, -1);
    expect(blockNames(head + tail).slice(0, before.length)).toEqual(before);
  }));
});

test("a changed token changes all names from its block on", () => {
  fc.assert(fc.property(fc.nat(39), (index) => {
    const tokens = Array.from({ length: 40 }, (_, i) => `${1_000 + i}`);
    const before = blockNames(tokens.join(""));
    const after = blockNames(tokens.with(index, "9999").join(""));
    const same = before.map((name, i) => name === after[i]);
    expect(same).toEqual(before.map((_, i) => i < Math.floor(index / 3)));
  }));
});

test("customers and weight versions share no names", () => {
  fc.assert(fc.property(texts, texts, texts, (prompt, left, right) => {
    fc.pre(left !== right);
    const pairs = [
      [{ customer: left }, { customer: right }],
      [{ weights: left }, { weights: right }],
      [{ customer: left, weights: right }, { customer: right, weights: left }],
    ] as const;
    for (const [one, other] of pairs) {
      const names = new Set(blockNames(prompt, one));
      expect(blockNames(prompt, other).some((n) => names.has(n))).toEqual(
        false,
      );
    }
  }));
});

test("losing a store VM moves only the blocks of that VM", () => {
  const stores = ["m1", "m2", "m3", "m4"].map((id) => ({ id }));
  fc.assert(fc.property(fc.string(), (block) => {
    const name = { customer: "c", weights: "w", block };
    const [first, ...rest] = rankStores(name, stores);
    const left = stores.filter((store) => store !== first);
    expect(rankStores(name, left)).toEqual(rest);
  }));
});
