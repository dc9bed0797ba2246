/**
 * Everything that can happen to an entry, as the reducer sees it. The shell stamps each event
 * with its clocks; stream bytes never pass through here, only the edges of streams.
 */
import type {
  CacheEvent,
  ClaimResult,
  Configuration,
  EntryReport,
  EpochMilliseconds,
  FleetDrains,
  LoadReport,
  Milliseconds,
  MonotonicMilliseconds,
  PlatformInstance,
  QuarantineEntry,
  RememberedEntries,
  SpendingReport,
  StoredAnswer,
  WorkReport,
} from '@hornbeampond/schema';
import type { ClaimCommand } from './claims/ClaimedCall.js';

/** A caller's request as far as decisions need it; its body stays in the shell. */
export interface CallerRequest {
  /** Unique for all time; it names the request in logs and answers. */
  readonly requestId: string;
  /** Empty where the workspace is to be found from `keySha256`, or the caller sent no key. */
  readonly workspace: string;
  /** SHA-256 of the caller's key, where the configuration names workspaces. */
  readonly keySha256?: string;
  readonly method: string;
  /** The host that the caller named, in lower case, where routes may tell hosts apart. */
  readonly host?: string;
  readonly path: string;
  /** How long the caller will wait, if it says so. */
  readonly patience?: Milliseconds;
  /** What it counts against an allowance in tokens; missing if it says nothing of tokens. */
  readonly countedTokens?: number;
  readonly model?: string;
  readonly idempotencyKey?: string;
  /** Digest of method, path and body. */
  readonly digest: string;
  /** Digests of the prompt's prefixes, shortest first, for cache affinity. */
  readonly prefixDigests: readonly string[];
  /** Tokens that each prefix holds, if the caller tells. */
  readonly prefixTokens?: readonly number[];
  /** Estimated tokens of the prompt; 0 for plain services. */
  readonly promptTokens: number;
  /** Most tokens the caller wants generated; 0 for plain services. */
  readonly maxTokens: number;
}

/** Why an attempt at a backend server ended without a whole answer. */
export const attemptFailures = [
  'connectFailed',
  'busy',
  'serverError',
  'clientError',
  'connectionLost',
  'silent',
  'malformed',
] as const;
export type AttemptFailure = (typeof attemptFailures)[number];

/** How a proposal to the store came back. */
export type ClaimAnswer =
  | { readonly type: 'result'; readonly result: ClaimResult }
  /** The command was provably not taken into the log. */
  | { readonly type: 'unavailable' }
  /** The command may or may not be in the log. */
  | { readonly type: 'unsure' };

/** The clocks of this process at the event. */
export interface Timestamps {
  readonly now: MonotonicMilliseconds;
  readonly wallNow: EpochMilliseconds;
}

export type EntryEventPayload =
  /** Sent often; everything that waits for time to pass is looked at. */
  | { readonly type: 'tick' }
  | { readonly type: 'configurationReceived'; readonly configuration: Configuration }
  | { readonly type: 'instancesListed'; readonly instances: readonly PlatformInstance[] }
  | {
      readonly type: 'reclaimNoticed';
      readonly instance: string;
      readonly goneAt: EpochMilliseconds;
    }
  | { readonly type: 'loadReported'; readonly report: LoadReport }
  | { readonly type: 'drainsReceived'; readonly drains: FleetDrains }
  | { readonly type: 'cacheEventsReceived'; readonly events: readonly CacheEvent[] }
  | {
      readonly type: 'probeAnswered';
      readonly instance: string;
      readonly answered: boolean;
      /** What the backend server's process calls itself since its start, if its adapter tells. */
      readonly incarnation?: string;
    }
  | { readonly type: 'requestArrived'; readonly request: CallerRequest }
  | { readonly type: 'callerGone'; readonly requestId: string }
  /** From here on a byte of the call may have reached the backend server. */
  | { readonly type: 'attemptSent'; readonly attemptId: string }
  | { readonly type: 'firstTokenReceived'; readonly attemptId: string }
  /** Sent now and then while a stream runs. `tokens` counts the whole answer so far. */
  | { readonly type: 'attemptProgressed'; readonly attemptId: string; readonly tokens: number }
  /** The caller reads more slowly than the backend server gives, or has caught up again. */
  | { readonly type: 'attemptHeld'; readonly attemptId: string; readonly held: boolean }
  /** The whole answer has come from the backend server. */
  | {
      readonly type: 'attemptFinished';
      readonly attemptId: string;
      readonly tokens: number;
      /** The longest time between two of its events, over all attempts. */
      readonly longestPause?: Milliseconds;
      /** The answer of a call that may not be repeated, to be kept for its resends. */
      readonly storedAnswer?: StoredAnswer;
    }
  | {
      readonly type: 'attemptFailed';
      readonly attemptId: string;
      readonly failure: AttemptFailure;
      /** `nothing`: provably not one byte of the call was sent. */
      readonly sent: 'nothing' | 'maybe';
      /** Tokens of the whole answer that the caller can already have been given. */
      readonly tokens: number;
      /** True if bytes of an answer that cannot be resumed have reached the caller. */
      readonly answerStarted: boolean;
      readonly retryAfter?: Milliseconds;
    }
  | {
      readonly type: 'cacheMoved';
      readonly requestId: string;
      readonly moved: boolean;
      /** The attempt named by the `moveCache` that this answers. */
      readonly attemptId?: string;
      /** Tokens of the answer that the moved cache holds, if the engine tells. */
      readonly tokens?: number;
    }
  | {
      readonly type: 'claimAnswered';
      readonly requestId: string;
      /** Which command this is the fate of. */
      readonly command: ClaimCommand['type'];
      readonly answer: ClaimAnswer;
    }
  | { readonly type: 'quarantineReceived'; readonly quarantine: readonly QuarantineEntry[] }
  | { readonly type: 'entryReported'; readonly report: EntryReport }
  /** What a store has kept of what entries knew. */
  | { readonly type: 'knowledgeRemembered'; readonly remembered: RememberedEntries }
  | { readonly type: 'workReported'; readonly work: WorkReport }
  | { readonly type: 'spendingReported'; readonly spending: SpendingReport }
  | {
      readonly type: 'shutdownStarted';
      /** Until when requests are still accepted: the balancer's delay. Missing means not at all. */
      readonly acceptUntil?: MonotonicMilliseconds;
      /** When the last requests are ended, a moment before the platform's limit. */
      readonly endAt?: MonotonicMilliseconds;
    };

export type EntryEvent = EntryEventPayload & Timestamps;
