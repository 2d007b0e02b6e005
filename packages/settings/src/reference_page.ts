/**
 * Generates the reference page of all settings from the schemas.
 */
import type { z } from "zod";
import { configurationSchema } from "./configuration_schema.ts";
import { processSchema } from "./process_schema.ts";
import { unwrapSchema, type ZodDefinition } from "./schema_problems.ts";

const INTRODUCTION = `# Configuration

This page is generated from the schemas in \`packages/settings\` by
\`npm run docs:configuration\`. Do not edit it.

An address is an IP address and a port, such as \`127.0.0.1:8080\`. A name starts
with a letter or digit and contains only letters, digits, ".", "_" and "-". In
the paths below, NAME stands for any name and \`[]\` for each item of a list.
Unknown keys are errors.
`;

const OPERATORS_SECTION = `## Operators' folder

The \`*.yaml\` files of the folder are merged in the order of their names. Maps
are merged key by key, lists and single values are replaced, and an explicit
\`null\` removes a key. \`peridotvalve config check FOLDER\` checks a folder.
`;

const PROCESS_SECTION = `## Settings of a process

One YAML file for each process, named by \`peridotvalve serve --settings FILE\`.
Relative paths start at the folder of the settings file. A secret has at least
16 characters; white space at the end of its file is not part of it.
`;

/** Returns the page as Markdown; `deno fmt` wraps its lines. */
export function renderReferencePage(): string {
  return [
    INTRODUCTION,
    OPERATORS_SECTION,
    [...renderKeys(configurationSchema, "")].join("\n"),
    "",
    PROCESS_SECTION,
    [...renderKeys(processSchema, "")].join("\n"),
    "",
  ].join("\n");
}

function* renderKeys(schema: z.ZodType, prefix: string): Generator<string> {
  const { type, shape, valueType, element } = definitionOf(schema);
  if (type === "object") {
    for (const [key, child] of Object.entries(shape ?? {})) {
      const path = prefix === "" ? key : `${prefix}.${key}`;
      yield renderKey(path, child);
      yield* renderKeys(child, path);
    }
  }
  if (valueType !== undefined) yield* renderKeys(valueType, `${prefix}.NAME`);
  if (element !== undefined) yield* renderKeys(element, `${prefix}[]`);
}

function renderKey(path: string, schema: z.ZodType): string {
  const text = `- \`${path}\`: ${typeOf(schema)}, ${describePresence(schema)}.`;
  const description = schema.meta()?.description;
  return description === undefined ? text : `${text} ${description}`;
}

function definitionOf(schema: z.ZodType): ZodDefinition {
  return unwrapSchema(schema).def as ZodDefinition;
}

function describePresence(schema: z.ZodType): string {
  const { type, defaultValue } = schema.def as ZodDefinition;
  if (type === "optional") return "optional";
  if (type === "prefault") return "with defaults for its keys";
  if (type !== "default") return "required";
  return `default \`${JSON.stringify(defaultValue)}\``;
}

function typeOf(schema: z.ZodType): string {
  const inner = unwrapSchema(schema);
  const title = inner.meta()?.title;
  if (title !== undefined) return title;
  const { type, element, valueType, entries } = inner.def as ZodDefinition;
  if (element !== undefined) return `list of ${typeOf(element)}`;
  if (valueType !== undefined) return `map from names to ${typeOf(valueType)}`;
  if (type === "object") return "map";
  if (entries === undefined) return type;
  const words = Object.values(entries).map((word) => `\`${word}\``);
  return `one of ${words.join(", ")}`;
}
