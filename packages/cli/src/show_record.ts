/**
 * Fetches a record from the operators' listener and prints it.
 */
import { recordResponseSchema } from "./response_schemas.ts";
import { withClient } from "./arguments.ts";
import type { Environment } from "./environment.ts";
import { type ExitCode, SUCCESS } from "./exit_codes.ts";
import { type ClientOptions, exitCodeOf } from "./operators_client.ts";
import { formatRecord } from "./record.ts";

export interface RecordOptions extends ClientOptions {
  readonly json: boolean;
  readonly environment: Environment;
}

/** Prints the record at a path, or an error message. Returns the exit code. */
export async function showRecord(
  path: string,
  options: RecordOptions,
): Promise<ExitCode> {
  const { environment } = options;
  const response = await withClient(
    options,
    (client) => client.get(path, recordResponseSchema),
  );
  if (response.isErr()) {
    environment.warn(response.error.message);
    return exitCodeOf(response.error);
  }
  if (options.json) environment.print(JSON.stringify(response.value));
  else for (const line of formatRecord(response.value)) environment.print(line);
  return SUCCESS;
}
