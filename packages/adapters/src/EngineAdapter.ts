/**
 * How the system meets one model engine. The relay starts, resumes and cancels streams through
 * it; the controller gives orders; the router reads load and cache events.
 *
 * No method retries, and none has a timeout of its own: the caller's `AbortSignal` is the limit,
 * and aborting drops the connection that the call was on. Every failure is a
 * `BackendServerFailure`.
 */
import type { CacheEvent, LoadReport, Order, OrderResult } from '@hornbeampond/schema';
import type { ProbeResponse } from './ProbeResponse.js';

export interface ChatMessage {
  readonly role: string;
  readonly content: unknown;
}

/** A chat completion request as the caller sent it; unknown keys are passed on. */
export interface CompletionBody {
  readonly model?: string;
  readonly messages: readonly ChatMessage[];
  readonly max_tokens?: number;
  readonly [key: string]: unknown;
}

/** What an earlier attempt has generated, and the caller has received or will receive first. */
export interface ResumePoint {
  readonly generatedText: string;
  readonly generatedTokens: number;
}

/** Tokens by the engine's own count. */
export interface CompletionUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
}

export type CompletionChunk =
  | { readonly type: 'token'; readonly text: string; readonly tokens: number }
  | { readonly type: 'end'; readonly finishReason: string; readonly usage?: CompletionUsage };

/**
 * The chunks of one answer, to be read once. It ends after the `end` chunk; anything else throws
 * a `BackendServerFailure`, so a cut answer never looks complete. The engine is read only as fast
 * as the stream is; leaving the loop early drops the connection.
 */
export type CompletionStream = AsyncIterable<CompletionChunk>;

export interface CompletionStart {
  /** Names this attempt at the engine; unique over all attempts. */
  readonly attemptId: string;
  readonly body: CompletionBody;
  /** Go on after this; the stream then holds only what follows. */
  readonly resume?: ResumePoint;
  /** 0 is served first, 9 last. */
  readonly priority: number;
  /** Bounds the whole call, the stream included. */
  readonly signal: AbortSignal;
}

/** The KV cache of one attempt, in the engine's own encoding. */
export interface ExportedCache {
  /** The attempt it was taken from. */
  readonly attemptId: string;
  /** Tokens of prompt and answer that the cache spares whoever imports it. */
  readonly tokens: number;
  readonly bytes: Uint8Array;
}

/** Cache events in order. A jump in their sequences is a gap: what lies in it is not known. */
export interface CacheEventBatch {
  readonly events: readonly CacheEvent[];
  /** The newest sequence that the engine has given out, also if `events` ends before it. */
  readonly newestSequence: number;
}

export abstract class EngineAdapter {
  /** Starts an answer; resolves when the engine has accepted the call, before its first token. */
  abstract startCompletion(start: CompletionStart): Promise<CompletionStream>;

  /** Frees what an attempt holds at the engine; an attempt that is not there is no fault. */
  abstract cancel(attemptId: string, signal: AbortSignal): Promise<void>;

  /** Takes the KV cache of an attempt in progress or just cancelled. */
  abstract exportCache(attemptId: string, signal: AbortSignal): Promise<ExportedCache>;

  /** Gives an engine a KV cache; whichever attempt then resumes the same text finds it there. */
  abstract importCache(cache: ExportedCache, signal: AbortSignal): Promise<void>;

  /** The engine's latest load report, which may lag; `measuredAt` says how much. */
  abstract readLoad(signal: AbortSignal): Promise<LoadReport>;

  /** Cache events with a sequence above `afterSequence`. */
  abstract readCacheEvents(afterSequence: number, signal: AbortSignal): Promise<CacheEventBatch>;

  /** Gives an order; `refusedAsOld` means that the engine knows a newer (epoch, sequence). */
  abstract sendOrder(order: Order, signal: AbortSignal): Promise<OrderResult>;

  /** Asks for a sign of life over a new connection; rejects if there is none. */
  abstract probe(signal: AbortSignal): Promise<ProbeResponse>;

  /** Lets running calls finish on the connections they have; later calls open new ones. */
  abstract renewConnections(): void;

  /** Ends all connections at once. */
  abstract close(): Promise<void>;
}
