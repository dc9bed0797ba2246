/**
 * The events that an entry's reducer handles. The shell adds timestamps to each. Streamed text does
 * not pass through the reducer, only events such as the first token, progress, end or failure.
 */
import type {
  AnswerEndEvidence,
  IncompleteAnswerReason,
  CacheEvent,
  ClaimResult,
  Configuration,
  EntryDigest,
  EntryReport,
  EpochMilliseconds,
  ListenAddress,
  DrainedInstances,
  LoadReport,
  Milliseconds,
  MonotonicMilliseconds,
  NotRunProof,
  PlatformInstance,
  QuarantineRecord,
  PersistedEntryData,
  ResponseFacts,
  SpendingReport,
  StoredAnswer,
  StreamOrigin,
  WorkReport,
  VersionHistoryMessage,
} from '@hornbeampond/schema';
import type { ClaimCommand } from './claims/ClaimedCallState.js';

/** How a caller asks for the rest of a stream that broke off. */
export interface StreamResumption {
  /** Id of the request that brought the first event of the stream, if the caller names one. */
  readonly firstRequestId?: string;
  /** Id of the last event that the caller has received. */
  readonly afterEvent: string;
}

/** The parts of a caller's request that the reducer needs; the body stays in the shell. */
export interface CallerRequest {
  /** Globally unique; identifies the request in logs and answers. */
  readonly requestId: string;
  /** Empty if the workspace has to be looked up by `keySha256`, or if the caller sent no key. */
  readonly workspace: string;
  /** SHA-256 of the caller's key, if the configuration defines the workspaces. */
  readonly keySha256?: string;
  readonly method: string;
  /** The requested host in lower case, if routes can match by host. */
  readonly host?: string;
  readonly path: string;
  /** How long the caller is willing to wait for the answer, if it says so. */
  readonly patience?: Milliseconds;
  /** Tokens counted against the allowance; undefined if the request states no token counts. */
  readonly countedTokens?: number;
  readonly model?: string;
  /** Set if the caller asks for the rest of a stream. */
  readonly resumption?: StreamResumption;
  readonly idempotencyKey?: string;
  /** Digest of method, path and body. */
  readonly digest: string;
  /** Digests of the prompt's prefixes, shortest first; used for cache affinity. */
  readonly prefixDigests: readonly string[];
  /**
   * Names of the parts of the prompt that other requests may hold too, in any place; the last part,
   * which belongs to the request or its session, is not among them.
   */
  readonly sharedParts?: readonly string[];
  /** Number of tokens in each prefix, if the caller states it. */
  readonly prefixTokens?: readonly number[];
  /** Estimated number of prompt tokens; 0 for plain services. */
  readonly promptTokens: number;
  /** Maximum number of tokens to generate; 0 for plain services. */
  readonly maxTokens: number;
}

/** Why an attempt ended without a complete answer. */
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

/** The outcome of a proposal to the store. */
export type ClaimAnswer =
  | { readonly type: 'result'; readonly result: ClaimResult }
  /** The command is certainly not in the stores' replicated log. */
  | { readonly type: 'unavailable' }
  /** The command may or may not be in the stores' replicated log. */
  | { readonly type: 'unsure' };

/** The monotonic and the wall clock of this process at an event. */
export interface Timestamps {
  readonly now: MonotonicMilliseconds;
  readonly wallNow: EpochMilliseconds;
}

export type EntryEventPayload =
  /** Sent at short intervals to run the checks that depend on elapsed time. */
  | { readonly type: 'tick' }
  | {
      readonly type: 'configurationReceived';
      readonly configuration: Configuration;
      /** For how long the store has had it; missing where that is not known. */
      readonly age?: Milliseconds | undefined;
    }
  | {
      readonly type: 'instancesListed';
      readonly instances: readonly PlatformInstance[];
      /**
       * The list holds what the platform had listed at this time: this process asked for it then, or
       * later by as much as the list may lag. Undefined if another process has read it.
       */
      readonly readAt?: MonotonicMilliseconds;
    }
  /** The list that was asked for at this time could not be read. */
  | { readonly type: 'instancesUnread'; readonly readAt: MonotonicMilliseconds }
  | {
      readonly type: 'reclaimNoticed';
      readonly instance: string;
      readonly goneAt: EpochMilliseconds;
    }
  | { readonly type: 'loadReported'; readonly report: LoadReport }
  /** What a backend server said about itself in an answer; see `isStatementOfInterest`. */
  | {
      readonly type: 'serverStated';
      readonly instance: string;
      /** Infinite if it names no limit; missing if what it says cannot be read. */
      readonly requestsPerSecond?: number;
      /** Rejections in a second that it survives; infinite if it is not brittle, missing as above. */
      readonly survivedRejections?: number;
      /** For how long it wants nothing from this entry, if it has asked for rest. */
      readonly restFor?: Milliseconds;
      /** True if it leaves. */
      readonly isLeaving?: boolean;
    }
  /** This entry has lost its path to a backend server, which others reach, or has it back. */
  | {
      readonly type: 'serverPathChanged';
      readonly backendServer: string;
      readonly isLost: boolean;
      /** The entry that reaches it. */
      readonly relay?: string;
    }
  /** This entry accepts tunnels of others from now on. */
  | { readonly type: 'tunnelsAccepted'; readonly address: ListenAddress }
  | { readonly type: 'drainsReceived'; readonly drains: DrainedInstances }
  | { readonly type: 'cacheEventsReceived'; readonly events: readonly CacheEvent[] }
  | {
      readonly type: 'probeAnswered';
      readonly instance: string;
      readonly answered: boolean;
      /** Identifies the run of the backend server's process, if the adapter reports it. */
      readonly incarnation?: string;
    }
  | {
      readonly type: 'requestArrived';
      readonly request: CallerRequest;
      /** When the request may have arrived at this process, if it was read later. */
      readonly arrivedAt?: MonotonicMilliseconds;
    }
  | { readonly type: 'callerGone'; readonly requestId: string }
  /** From now on, bytes of the call may have reached the backend server. */
  | { readonly type: 'attemptSent'; readonly attemptId: string }
  | {
      readonly type: 'firstTokenReceived';
      readonly attemptId: string;
      /** True if the answer is a stream of events that its caller can take up after one of them. */
      readonly isEventStream?: boolean;
    }
  /** Sent periodically while a stream runs. `tokens` counts the whole answer so far. */
  | { readonly type: 'attemptProgressed'; readonly attemptId: string; readonly tokens: number }
  /** `held` is true while the stream is paused because the caller reads too slowly. */
  | { readonly type: 'attemptHeld'; readonly attemptId: string; readonly held: boolean }
  /** An attempt has run for the `hedgeAfter` of its `startAttempt` effect. */
  | { readonly type: 'hedgeDue'; readonly attemptId: string }
  /**
   * An answer that was held back is sent to the caller from now on, before it is complete, because it
   * is a stream or too large.
   */
  | { readonly type: 'answerClaimed'; readonly attemptId: string }
  /** The backend server has sent the complete answer. */
  | {
      readonly type: 'attemptFinished';
      readonly attemptId: string;
      readonly tokens: number;
      /** The longest time between two events of the answer, over all attempts. */
      readonly longestPause?: Milliseconds;
      /** The answer of a call that must not be repeated, stored to answer resends of it. */
      readonly storedAnswer?: StoredAnswer;
      /** Status of the answer, if the backend server chose it. */
      readonly status?: number;
      /** What shows that the answer has ended, for the log. */
      readonly endShownBy?: AnswerEndEvidence;
    }
  | {
      readonly type: 'attemptFailed';
      readonly attemptId: string;
      readonly failure: AttemptFailure;
      /** `nothing` means that the call certainly did not run and will not; `proof` says why. */
      readonly sent: 'nothing' | 'maybe';
      /** Why the call is taken as not run. */
      readonly proof?: NotRunProof;
      /** What the backend server answered, if it did. */
      readonly response?: ResponseFacts;
      /** Why its answer is not whole, if that is why the attempt failed. */
      readonly incomplete?: IncompleteAnswerReason;
      /** Number of answer tokens that the caller may already have received. */
      readonly tokens: number;
      /** True if the caller has received bytes of an answer that cannot be resumed. */
      readonly answerStarted: boolean;
      /** For how long the backend server wants nothing from this entry, if it has asked for rest. */
      readonly retryAfter?: Milliseconds;
    }
  | {
      readonly type: 'cacheMoved';
      readonly requestId: string;
      readonly moved: boolean;
      /** The `attemptId` of the `moveCache` effect that this is the result of. */
      readonly attemptId?: string;
      /** The `moveNumber` of that effect. */
      readonly moveNumber?: number;
      /** True if the order has ended the run at its source, whether or not the cache has moved. */
      readonly runStopped?: boolean;
      /** Number of answer tokens in the moved cache, if the engine reports it. */
      readonly tokens?: number;
    }
  | {
      readonly type: 'claimAnswered';
      readonly requestId: string;
      /** The command that this is the result of. */
      readonly command: ClaimCommand['type'];
      readonly answer: ClaimAnswer;
    }
  /** What the stores know of where the stream began that the request is to continue. */
  | {
      readonly type: 'streamOriginAnswered';
      readonly requestId: string;
      readonly origin?: StreamOrigin | undefined;
      /** False if a store that could not be asked may know the origin. */
      readonly isConclusive: boolean;
      /** The versions that stores have recorded which do not know the origin. */
      readonly histories?: readonly VersionHistoryMessage[];
    }
  /** Other stores keep the origins of streams than before: one can be reached, or is gone. */
  | { readonly type: 'originStoresChanged' }
  | { readonly type: 'quarantineReceived'; readonly quarantine: readonly QuarantineRecord[] }
  | { readonly type: 'entryReported'; readonly report: EntryReport }
  /** State of the entries that a store has persisted. */
  | {
      readonly type: 'knowledgeRemembered';
      readonly remembered: PersistedEntryData;
      /** When the store was asked for it; now if it is missing. */
      readonly askedAt?: MonotonicMilliseconds;
    }
  | { readonly type: 'workReported'; readonly work: WorkReport }
  | { readonly type: 'spendingReported'; readonly spending: SpendingReport }
  | {
      readonly type: 'entryDigestReceived';
      readonly digest: EntryDigest;
      /** True for the first digest after subscribing to a store. */
      readonly isWhole: boolean;
    }
  /** A store has received these totals, and sends them to the other entries. */
  | {
      readonly type: 'spendingAcknowledged';
      readonly spent: Readonly<Record<string, number>>;
    }
  | {
      readonly type: 'shutdownStarted';
      /**
       * Until when requests are still accepted, because the load balancer needs time to stop
       * sending them. If undefined, they are refused immediately.
       */
      readonly acceptUntil?: MonotonicMilliseconds;
      /** When the remaining requests are ended, shortly before the platform's time limit. */
      readonly endAt?: MonotonicMilliseconds;
    };

export type EntryEvent = EntryEventPayload & Timestamps;
