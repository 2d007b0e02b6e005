/**
 * Fetching one record from the operators' listener and printing it.
 */
import { recordAnswer } from "./answers.ts";
import { withClient } from "./arguments.ts";
import type { Environment } from "./environment.ts";
import { DONE, type ExitCode } from "./exit_codes.ts";
import { type ClientOptions, exitCodeOf } from "./operators_client.ts";
import { formatRecord } from "./record.ts";

export interface RecordOptions extends ClientOptions {
  readonly json: boolean;
  readonly environment: Environment;
}

/** Prints the record at a path, or the reason why there is none. */
export async function showRecord(
  path: string,
  options: RecordOptions,
): Promise<ExitCode> {
  const { environment } = options;
  const answer = await withClient(
    options,
    (client) => client.get(path, recordAnswer),
  );
  if (answer.isErr()) {
    environment.warn(answer.error.message);
    return exitCodeOf(answer.error);
  }
  if (options.json) environment.print(JSON.stringify(answer.value));
  else for (const line of formatRecord(answer.value)) environment.print(line);
  return DONE;
}
