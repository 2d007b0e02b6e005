/**
 * `timeline`: merges the events of several processes in causal order.
 */
import { readFile } from "node:fs/promises";
import {
  array,
  command,
  multioption,
  option,
  optional,
  restPositionals,
  string,
} from "cmd-ts";
import { Err, Ok, type Result } from "ts-results-es";
import { eventsResponseSchema } from "../response_schemas.ts";
import {
  addressType,
  deadline,
  json,
  optionalToken,
  withClient,
} from "../arguments.ts";
import type { Environment } from "../environment.ts";
import {
  type ExitCode,
  REJECTED,
  SUCCESS,
  USAGE_ERROR,
} from "../exit_codes.ts";
import {
  type ClientFailure,
  type ClientOptions,
  exitCodeOf,
  type OperatorsClient,
} from "../operators_client.ts";
import type { TimelineFilter } from "../optional_modules.ts";

// Limits the read from a daemon that logs events faster than they are read.
const MAX_PAGES = 1_000;

export function createTimeline(environment: Environment) {
  return command({
    name: "timeline",
    description: "merge event lines of files and daemons in causal order",
    args: {
      files: restPositionals({ type: string, displayName: "files" }),
      from: multioption({
        long: "from",
        type: array(addressType),
        description: "operators' listener of a daemon; may be repeated",
      }),
      token: optionalToken,
      deadline,
      request: filterOption("request"),
      customer: filterOption("customer"),
      conversation: filterOption("conversation"),
      json,
    },
    handler: (options) => timeline(options, environment),
  });
}

function filterOption(name: string) {
  return option({
    long: name,
    type: optional(string),
    description: `keep the events of one ${name}`,
  });
}

interface Options {
  readonly files: readonly string[];
  readonly from: readonly string[];
  readonly token: string | undefined;
  readonly deadline: number;
  readonly request: string | undefined;
  readonly customer: string | undefined;
  readonly conversation: string | undefined;
  readonly json: boolean;
}

interface ReadFailure {
  readonly exitCode: ExitCode;
  readonly message: string;
}

type ReadResult = Result<readonly string[], ReadFailure>;

async function timeline(
  options: Options,
  environment: Environment,
): Promise<ExitCode> {
  const { files, from, token, deadline } = options;
  const usageError = describeUsageError(options);
  if (usageError !== undefined) {
    environment.warn(usageError);
    return USAGE_ERROR;
  }
  const events = await environment.loadEvents();
  if (events === undefined) {
    environment.warn("the events package is not part of this build");
    return USAGE_ERROR;
  }
  const reads = await Promise.all([
    ...files.map(readLines),
    ...from.map((address) =>
      fetchLines({ address, token: token ?? "", deadline })
    ),
  ]);
  const failures = reads.flatMap((read) => read.isErr() ? [read.error] : []);
  const sources = reads.flatMap((read) => read.isOk() ? [read.value] : []);
  const filter = filterOf(options);
  for await (const line of events.mergeTimeline(sources, filter)) {
    environment.print(options.json ? line : events.formatLine(line));
  }
  // In an outage the events of the reachable processes are still useful.
  for (const { message } of failures) environment.warn(message);
  return failures[0]?.exitCode ?? SUCCESS;
}

function describeUsageError(options: Options): string | undefined {
  if (options.files.length + options.from.length === 0) {
    return "specify at least one file, or a daemon with --from";
  }
  if (options.from.length > 0 && options.token === undefined) {
    return "--from needs --token-file";
  }
  return undefined;
}

function filterOf(options: Options): TimelineFilter {
  const { request, customer, conversation } = options;
  return {
    ...(request === undefined ? {} : { request }),
    ...(customer === undefined ? {} : { customer }),
    ...(conversation === undefined ? {} : { conversation }),
  };
}

async function readLines(file: string): Promise<ReadResult> {
  try {
    const text = await readFile(file, "utf8");
    return Ok(text.split("\n").filter((line) => line.trim() !== ""));
  } catch (error) {
    const { message } = error as Error;
    return Err({ exitCode: REJECTED, message });
  }
}

function fetchLines(options: ClientOptions): Promise<ReadResult> {
  return withClient(options, async (client) => {
    const lines: string[] = [];
    for await (const page of readPages(client)) {
      if (page.isErr()) {
        const { message } = page.error;
        return Err({ exitCode: exitCodeOf(page.error), message });
      }
      lines.push(...page.value);
    }
    return Ok(lines);
  });
}

async function* readPages(
  client: OperatorsClient,
): AsyncGenerator<Result<readonly string[], ClientFailure>> {
  let after = 0;
  for (let page = 0; page < MAX_PAGES; page += 1) {
    const response = await client.get(
      `/events?after=${after}`,
      eventsResponseSchema,
    );
    if (response.isErr()) {
      yield response;
      return;
    }
    yield Ok(response.value.events.map((event) => JSON.stringify(event)));
    if (!response.value.more || response.value.next <= after) return;
    after = response.value.next;
  }
}
