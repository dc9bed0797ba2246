/**
 * Everything an entry's reducer can ask its shell to do.
 */
import type {
  CountEffect,
  EntryReport,
  ErrorKind,
  LogEffect,
  MetricName,
  Milliseconds,
  PoolKind,
  Ran,
  SpendingReport,
  StoreCommand,
  StoredAnswer,
  WorkReport,
} from '@hornbeampond/schema';
import type { ClaimCommand } from './claims/ClaimedCall.js';

/** Where an attempt goes. */
export interface AttemptTarget {
  readonly instance: string;
  readonly kind: PoolKind;
  readonly host: string;
  readonly port: number;
  /** Path of its health check, where the pools table names one. */
  readonly healthPath?: string;
  /** Tokens that one event of its streams holds. */
  readonly tokensPerEvent?: number;
}

export type EntryEffect =
  | {
      readonly type: 'startAttempt';
      readonly requestId: string;
      readonly attemptId: string;
      readonly target: AttemptTarget;
      readonly workspace: string;
      /** Time until the whole answer is due. */
      readonly timeLeft: Milliseconds;
      /**
       * Tokens of the answer that are there already; the engine goes on after them. It is what
       * the last edge told. The shell, which holds the text itself, goes on from what it has
       * relayed by the time it carries this out, after the `cancelAttempt` before it.
       */
      readonly resumeFromTokens: number;
      /** 0 is served first, 9 last. */
      readonly priority: number;
      /** True if the call may not be repeated: only a fresh connection, and no second send. */
      readonly sendOnce: boolean;
      /** The attempt fails as `silent` if nothing has come back for so long. */
      readonly firstByteTimeout: Milliseconds;
      /** The attempt fails as `silent` if the stream pauses for so long. */
      readonly streamIdleTimeout: Milliseconds;
    }
  /** Gives an attempt up; whatever still comes from it is dropped. */
  | { readonly type: 'cancelAttempt'; readonly attemptId: string }
  /** Moves the KV cache of a running stream between engines; answered by `cacheMoved`. */
  | {
      readonly type: 'moveCache';
      readonly requestId: string;
      readonly attemptId: string;
      /** The attempt that will go on with the moved cache; the target keeps it under this name. */
      readonly nextAttemptId: string;
      readonly from: AttemptTarget;
      readonly to: AttemptTarget;
    }
  /** The caller's answer is whole, as this attempt brought it: the shell ends it. */
  | { readonly type: 'finishAnswer'; readonly requestId: string; readonly attemptId?: string }
  /** The caller's final answer is a problem document, or an error event in a started stream. */
  | {
      readonly type: 'answerProblem';
      readonly requestId: string;
      readonly kind: ErrorKind;
      readonly detail: string;
      readonly retryAfterMilliseconds?: Milliseconds;
      readonly ran?: Ran;
      /**
       * Tokens of the answer that the caller has; a resend that names them as its prefix goes on
       * from there.
       */
      readonly tokensGiven?: number;
    }
  | { readonly type: 'replayAnswer'; readonly requestId: string; readonly answer: StoredAnswer }
  /** Proposes a claim command; answered by `claimAnswered` with the same request id. */
  | { readonly type: 'proposeClaim'; readonly requestId: string; readonly command: ClaimCommand }
  /** Proposes a command whose result nobody waits for; the shell resends it until it is taken. */
  | { readonly type: 'proposeCommand'; readonly command: StoreCommand }
  /** Asks a backend server for a sign of life over a new connection. */
  | { readonly type: 'probe'; readonly target: AttemptTarget }
  /** Sends this entry's report to all its peers. */
  | { readonly type: 'reportToEntries'; readonly report: EntryReport }
  /** Tells all peers what was spent of an allowance, ahead of the next report. */
  | { readonly type: 'tellSpending'; readonly spending: SpendingReport }
  /** Tells all peers what has changed of this entry's work at backend servers. */
  | { readonly type: 'tellWork'; readonly work: WorkReport }
  /** A newer configuration is in force. */
  | { readonly type: 'configurationApplied'; readonly revision: number }
  /** Nothing is in progress any more; a graceful shutdown can end. */
  | { readonly type: 'shutdownReady' }
  | { readonly type: 'setGauge'; readonly metric: MetricName; readonly value: number }
  | {
      readonly type: 'observe';
      readonly metric: MetricName;
      readonly value: number;
      readonly label?: string;
    }
  | CountEffect
  | LogEffect;
