/**
 * Simulates continuous batching. Each step has a token budget: every sequence
 * that decodes takes one token, and the rest of the budget is spent on prefill.
 */
import { splitIntoBlocks } from "@peridotvalve/blocks";
import type { BlockName, Generation } from "@peridotvalve/types";
import type { BlockCache, CachedBlock } from "./block_cache.ts";
import {
  type Answer,
  computeBlockContent,
  createAnswer,
  tokenizer,
} from "./content.ts";
import type { EngineFaults, EngineOptions } from "./options.ts";

export type FinishReason = "stop" | "length" | "cancelled";

/** Receives the events of one sequence. */
export interface Sink {
  /**
   * Called before the sequence starts. Returns false when the weights have
   * changed since it was queued; the sequence is then dropped.
   */
  admit(): boolean;
  start(cachedTokens: number, queuedMilliseconds: number): void;
  token(offset: number, text: string): void;
  end(count: number, finish: FinishReason): void;
}

interface Sequence {
  readonly generation: Generation;
  readonly sink: Sink;
  /** The same object while the sequence waits and while it runs. */
  readonly state: { cancelled: boolean };
}

export interface Batch {
  /**
   * Queues a sequence and returns a function that cancels it, or undefined when
   * the queue is full.
   */
  add(generation: Generation, sink: Sink): (() => void) | undefined;
  /** Returns false when the customer has no such attempt. */
  cancel(attempt: string, customer: string): boolean;
  readonly running: () => number;
  readonly waiting: () => number;
  /** Tokens still to be prefilled, of waiting and running sequences. */
  readonly queuedTokens: () => number;
}

interface WaitingSequence extends Sequence {
  readonly tokens: number;
  readonly queuedAt: number;
}

interface RunningSequence extends Sequence {
  readonly names: readonly BlockName[];
  readonly remainder: string;
  readonly held: CachedBlock[];
  remainingPrefillTokens: number;
  answer: Answer | undefined;
  offset: number;
}

interface BatchContext {
  readonly options: EngineOptions;
  readonly faults: () => EngineFaults;
  readonly cache: BlockCache;
  readonly wait: (milliseconds: number) => Promise<void>;
}

const STALL_POLL_MILLISECONDS = 10;

export function createBatch(context: BatchContext): Batch {
  const { options, cache, faults, wait } = context;
  let waiting: WaitingSequence[] = [];
  let running: RunningSequence[] = [];
  let isLoopRunning = false;

  function admitWaiting(): void {
    waiting = waiting.filter((sequence) => {
      const { resume } = sequence.generation;
      return !endIfCancelled(sequence, resume?.offset ?? 0);
    });
    waiting.sort((left, right) =>
      left.generation.priority - right.generation.priority
    );
    while (running.length < options.maxRunning) {
      const next = waiting.shift();
      if (next === undefined) return;
      if (next.sink.admit()) running.push(startSequence(next));
    }
  }

  function endIfCancelled(sequence: Sequence, count: number): boolean {
    if (!sequence.state.cancelled) return false;
    sequence.sink.end(count, "cancelled");
    return true;
  }

  function startSequence(next: WaitingSequence): RunningSequence {
    const { generation, queuedAt } = next;
    const { customer, weights, prompt, resume } = generation;
    const { tokensPerBlock, speed } = options;
    const scheme = { customer, weights, tokensPerBlock, tokenizer };
    const { names, remainder } = splitIntoBlocks(prompt, scheme);
    const held: CachedBlock[] = [];
    for (const name of names) {
      const entry = cache.find(name);
      if (entry === undefined) break;
      entry.pins += 1;
      held.push(entry);
    }
    const cached = held.length * tokensPerBlock;
    const sequence: RunningSequence = {
      generation,
      sink: next.sink,
      state: next.state,
      names,
      remainder,
      held,
      remainingPrefillTokens: next.tokens - cached,
      answer: undefined,
      offset: resume?.offset ?? 0,
    };
    next.sink.start(cached, (performance.now() - queuedAt) * speed);
    return sequence;
  }

  /** Computes the blocks that were not cached, then the answer. */
  function finishPrefill(sequence: RunningSequence): void {
    const { names, held, generation, remainder } = sequence;
    for (const name of names.slice(held.length)) {
      const content = computeBlockContent(name, options.blockBytes);
      const entry = cache.insert(name, content) ??
        { name, bytes: content, pins: 0 };
      entry.pins += 1;
      held.push(entry);
    }
    const contents = held.map((entry) => entry.bytes);
    const answer = createAnswer(generation, { contents, remainder });
    sequence.answer = createResumedAnswer(generation, answer);
  }

  /**
   * A resumed text that differs from the answer gives another answer, so that
   * tests detect a wrong resumption.
   */
  function createResumedAnswer(
    generation: Generation,
    answer: Answer,
  ): Answer {
    const { resume } = generation;
    if (resume === undefined) return answer;
    const length = Math.min(resume.offset, answer.count);
    const tokens = Array.from({ length }, (_, i) => answer.token(i));
    if (tokens.join("") === resume.text) return answer;
    const contents = [Buffer.from(resume.text)];
    return createAnswer(generation, { contents, remainder: "" });
  }

  function unpinBlocks(sequence: RunningSequence): void {
    for (const entry of sequence.held) entry.pins -= 1;
  }

  /**
   * Assigns the tokens of one step. Returns its duration in milliseconds and
   * the sequences that decode in it.
   */
  function planStep(): {
    duration: number;
    decoding: readonly RunningSequence[];
  } {
    const decoding = running.filter((sequence) => sequence.answer);
    let remainingTokens = Math.max(0, options.stepTokens - decoding.length);
    let prefilled = 0;
    for (const sequence of running) {
      if (sequence.answer !== undefined) continue;
      const part = Math.min(remainingTokens, sequence.remainingPrefillTokens);
      sequence.remainingPrefillTokens -= part;
      remainingTokens -= part;
      prefilled += part;
    }
    const duration = options.stepDuration +
      options.stepDurationPerSequence * decoding.length +
      prefilled / options.prefillTokensPerSecond * 1_000;
    return { duration, decoding };
  }

  /** Emits the next token; returns true when the sequence has ended. */
  function decode(sequence: RunningSequence): boolean {
    const { answer, sink } = sequence;
    if (answer === undefined) return false;
    if (sequence.offset < answer.count) {
      sink.token(sequence.offset, answer.token(sequence.offset));
      sequence.offset += 1;
    }
    if (sequence.offset < answer.count) return false;
    sink.end(sequence.offset, answer.finish);
    return true;
  }

  async function step(): Promise<void> {
    const { duration, decoding } = planStep();
    await wait(duration * faults().slowFactor);
    while (faults().stallStreams) await wait(STALL_POLL_MILLISECONDS);
    const ended = new Set<RunningSequence>();
    for (const sequence of running) {
      if (endIfCancelled(sequence, sequence.offset)) ended.add(sequence);
      else if (decoding.includes(sequence)) {
        if (decode(sequence)) ended.add(sequence);
      } else if (sequence.remainingPrefillTokens === 0) finishPrefill(sequence);
    }
    for (const sequence of ended) unpinBlocks(sequence);
    running = running.filter((sequence) => !ended.has(sequence));
  }

  async function run(): Promise<void> {
    if (isLoopRunning) return;
    isLoopRunning = true;
    // Requests that arrive together are all queued first, so that they are
    // admitted by priority.
    await wait(1);
    for (;;) {
      admitWaiting();
      if (running.length === 0) break;
      await step();
    }
    isLoopRunning = false;
  }

  return {
    add(generation, sink) {
      if (waiting.length >= options.maxWaiting) return undefined;
      const text = generation.prompt + (generation.resume?.text ?? "");
      const tokens = tokenizer.countTokens(text);
      const queuedAt = performance.now();
      const state = { cancelled: false };
      waiting.push({ generation, sink, tokens, queuedAt, state });
      void run();
      return () => {
        state.cancelled = true;
      };
    },
    cancel(attempt, customer) {
      const all: Sequence[] = [...waiting, ...running];
      const found = all.find(({ generation }) =>
        generation.attempt === attempt && generation.customer === customer
      );
      if (found === undefined) return false;
      found.state.cancelled = true;
      return true;
    },
    running: () => running.length,
    waiting: () => waiting.length,
    queuedTokens: () =>
      waiting.reduce((sum, sequence) => sum + sequence.tokens, 0) +
      running.reduce(
        (sum, sequence) => sum + sequence.remainingPrefillTokens,
        0,
      ),
  };
}
