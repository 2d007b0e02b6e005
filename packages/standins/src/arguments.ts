/**
 * Options of stand-ins on the command line: `--tokens-per-block 64` becomes
 * `{ tokensPerBlock: "64" }`; the stand-in's schema converts and checks it.
 */
export function parseArguments(
  words: readonly string[],
): Readonly<Record<string, string>> {
  const options: Record<string, string> = {};
  for (let index = 0; index < words.length; index += 2) {
    const word = words[index] ?? "";
    const value = words[index + 1];
    if (!word.startsWith("--") || value === undefined) {
      throw new Error(`expected --OPTION VALUE, found ${word}`);
    }
    const name = word.slice(2).replace(
      /-([a-z])/g,
      (_, letter: string) => letter.toUpperCase(),
    );
    options[name] = value;
  }
  return options;
}
