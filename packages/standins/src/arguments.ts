/**
 * Parsing of the stand-ins' command-line options.
 */

/**
 * Converts `--tokens-per-block 64` to `{ tokensPerBlock: "64" }`. Values stay
 * strings; the schema of the stand-in converts and validates them. Throws when
 * an option has no leading `--` or no value.
 */
export function parseArguments(
  args: readonly string[],
): Readonly<Record<string, string>> {
  const options: Record<string, string> = {};
  for (let index = 0; index < args.length; index += 2) {
    const flag = args[index] ?? "";
    const value = args[index + 1];
    if (!flag.startsWith("--") || value === undefined) {
      throw new Error(`expected --OPTION VALUE, got ${flag}`);
    }
    const name = flag.slice(2).replace(
      /-([a-z])/g,
      (_, letter: string) => letter.toUpperCase(),
    );
    options[name] = value;
  }
  return options;
}
