/**
 * Options of stand-ins on the command line: `--tokens-per-block 64` becomes
 * `{ tokensPerBlock: "64" }`; the stand-in's schema converts and checks it.
 */
export function parseArguments(
  args: readonly string[],
): Readonly<Record<string, string>> {
  const options: Record<string, string> = {};
  for (let index = 0; index < args.length; index += 2) {
    const flag = args[index] ?? "";
    const value = args[index + 1];
    if (!flag.startsWith("--") || value === undefined) {
      throw new Error(`expected --OPTION VALUE, found ${flag}`);
    }
    const name = flag.slice(2).replace(
      /-([a-z])/g,
      (_, letter: string) => letter.toUpperCase(),
    );
    options[name] = value;
  }
  return options;
}
