/**
 * Splits prompts into tokens. The tokens only have to be the same in every
 * daemon and in the engines of a group, because block names are hashes of them.
 */
import type { Bytes, Tokens } from "@peridotvalve/types";

export abstract class Tokenizer {
  /** Returns the tokens of a text; concatenated, they equal the text. */
  abstract splitText(text: string): readonly string[];

  abstract countTokens(text: string): Tokens;
}

const BYTES_PER_TOKEN: Bytes = 4;

/**
 * Creates a tokenizer whose tokens have up to four UTF-8 bytes and consist of
 * complete code points.
 */
export function createByteTokenizer(): Tokenizer {
  return new (class extends Tokenizer {
    override splitText(text: string): readonly string[] {
      return [...iterateTokens(text)];
    }

    override countTokens(text: string): Tokens {
      let count = 0;
      for (const _ of iterateTokens(text)) count += 1;
      return count;
    }
  })();
}

function* iterateTokens(text: string): Generator<string, void, void> {
  let start = 0;
  let index = 0;
  let length: Bytes = 0;
  while (index < text.length) {
    const code = text.codePointAt(index) ?? 0;
    const size = utf8Length(code);
    if (length + size > BYTES_PER_TOKEN) {
      yield text.slice(start, index);
      start = index;
      length = 0;
    }
    length += size;
    index += code > 0xffff ? 2 : 1;
  }
  if (start < text.length) yield text.slice(start);
}

/** UTF-8 length of a code point; a lone surrogate is encoded as U+FFFD. */
function utf8Length(code: number): Bytes {
  if (code < 0x80) return 1;
  if (code < 0x800) return 2;
  return code < 0x10000 ? 3 : 4;
}
