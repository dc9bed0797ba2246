/**
 * Interface to one model engine: it starts, resumes and cancels answers, exports and imports KV
 * caches, reads load and cache events, sends orders and probes health.
 *
 * No method retries or has a timeout of its own: the caller's `AbortSignal` is the only limit, and
 * aborting drops the connection of the call. Every failure is a `BackendServerFailure`.
 */
import type { CacheEvent, LoadReport, Order, OrderResult } from '@hornbeampond/schema';
import type { ProbeResponse } from './ProbeResponse.js';

export interface ChatMessage {
  readonly role: string;
  readonly content: unknown;
}

/** A chat completion request as the caller sent it; unknown keys are forwarded. */
export interface CompletionBody {
  readonly model?: string;
  readonly messages: readonly ChatMessage[];
  readonly max_tokens?: number;
  readonly [key: string]: unknown;
}

/** Output of earlier attempts, which the caller receives before that of the resumed attempt. */
export interface ResumePoint {
  readonly generatedText: string;
  readonly generatedTokens: number;
}

/** Token counts as reported by the engine. */
export interface CompletionUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

export type CompletionChunk =
  | { readonly type: 'token'; readonly text: string; readonly tokens: number }
  | { readonly type: 'end'; readonly finishReason: string; readonly usage?: CompletionUsage };

/**
 * The chunks of one answer, which can be read only once. The stream ends after the `end` chunk or
 * throws a `BackendServerFailure`, so a truncated answer never looks complete. Reading slowly
 * applies backpressure to the engine; leaving the loop before the `end` chunk drops the connection.
 */
export type CompletionStream = AsyncIterable<CompletionChunk>;

export interface CompletionStart {
  /** Identifies this attempt to the engine; unique among all attempts. */
  readonly attemptId: string;
  readonly body: CompletionBody;
  /** Continues after this text; the stream then contains only what follows it. */
  readonly resume?: ResumePoint;
  /** From 0, served first, to 9, served last. */
  readonly priority: number;
  /** Limits the whole call, including the reading of the stream. */
  readonly signal: AbortSignal;
}

/** The KV cache of one attempt, encoded by the engine. */
export interface ExportedCache {
  /** The attempt whose cache was exported. */
  readonly attemptId: string;
  /** Tokens of prompt and answer that the importing engine need not compute. */
  readonly tokens: number;
  readonly bytes: Uint8Array;
}

/** Cache events in order. A jump in their sequence numbers means that events are missing. */
export interface CacheEventBatch {
  readonly events: readonly CacheEvent[];
  /** The highest sequence number the engine has assigned, even if `events` ends before it. */
  readonly newestSequence: number;
}

export abstract class EngineAdapter {
  /** Starts an answer; resolves once the engine has accepted the call, before the first token. */
  abstract startCompletion(start: CompletionStart): Promise<CompletionStream>;

  /** Frees the resources of an attempt at the engine. Succeeds if the attempt does not exist. */
  abstract cancel(attemptId: string, signal: AbortSignal): Promise<void>;

  /** Reads the KV cache of an attempt that is in progress or was just cancelled. */
  abstract exportCache(attemptId: string, signal: AbortSignal): Promise<ExportedCache>;

  /** Loads a KV cache into the engine; a later attempt that resumes the same text can use it. */
  abstract importCache(cache: ExportedCache, signal: AbortSignal): Promise<void>;

  /** Reads the latest load report, which may be stale; `measuredAt` is the time it was taken. */
  abstract readLoad(signal: AbortSignal): Promise<LoadReport>;

  /** Reads cache events with a sequence number above `afterSequence`. */
  abstract readCacheEvents(afterSequence: number, signal: AbortSignal): Promise<CacheEventBatch>;

  /** Sends an order; `refusedAsOld` means the engine has seen a newer (epoch, sequence). */
  abstract sendOrder(order: Order, signal: AbortSignal): Promise<OrderResult>;

  /** Sends a health probe over a new connection; rejects unless the answer has a 2xx status. */
  abstract probe(signal: AbortSignal): Promise<ProbeResponse>;

  /** Makes later calls open new connections; running calls finish on their current ones. */
  abstract renewConnections(): void;

  /**
   * Closes connections immediately, so that their calls fail; calls on connections replaced by
   * `renewConnections` still finish.
   */
  abstract close(): Promise<void>;
}
