/** The effects that an entry's reducer returns for its shell to carry out. */
import type {
  CountEffect,
  EntryReport,
  ErrorKind,
  LogEffect,
  MetricName,
  Milliseconds,
  PoolKind,
  RanStatus,
  SpendingReport,
  StoreCommand,
  StoredAnswer,
  StreamOrigin,
  WorkReport,
} from '@hornbeampond/schema';
import type { ClaimCommand } from './claims/ClaimedCallState.js';

/** The backend server that an attempt is sent to. */
export interface AttemptTarget {
  readonly instance: string;
  readonly kind: PoolKind;
  readonly host: string;
  readonly port: number;
  /** Path of the health check, if the pools table names one. */
  readonly healthPath?: string;
  /** Number of tokens in one event of its streams. */
  readonly tokensPerEvent?: number;
}

export type EntryEffect =
  | {
      readonly type: 'startAttempt';
      readonly requestId: string;
      readonly attemptId: string;
      readonly target: AttemptTarget;
      readonly workspace: string;
      /** Time left until the deadline of the whole answer. */
      readonly timeLeft: Milliseconds;
      /**
       * Number of answer tokens received so far, after which the engine continues, as of the last
       * event. The shell holds the text and may have relayed more by the time it starts the
       * attempt; it then resumes from what it has relayed.
       */
      readonly resumeFromTokens: number;
      /** From 0, the most urgent, to 9. */
      readonly priority: number;
      /** True if the call must not be repeated: it uses a new connection and is sent only once. */
      readonly sendOnce: boolean;
      /** The attempt fails as `silent` if no byte arrives within this time. */
      readonly firstByteTimeout: Milliseconds;
      /** The attempt fails as `silent` if the stream pauses for longer than this. */
      readonly streamIdleTimeout: Milliseconds;
      /**
       * True if the answer is held back until it is complete, because another attempt may run beside
       * this one. If it has to be sent earlier, `answerClaimed` is dispatched first.
       */
      readonly isHeld?: boolean;
      /** If set, `hedgeDue` is dispatched when the attempt has run for this long. */
      readonly hedgeAfter?: Milliseconds;
    }
  /** Cancels an attempt; anything it still returns is discarded. */
  | { readonly type: 'cancelAttempt'; readonly attemptId: string }
  /** Moves the KV cache of a running stream between engines; the result is `cacheMoved`. */
  | {
      readonly type: 'moveCache';
      readonly requestId: string;
      readonly attemptId: string;
      /**
       * The attempt that will continue with the moved cache; the target stores it under this id.
       */
      readonly nextAttemptId: string;
      /** Returned in `cacheMoved`. */
      readonly moveNumber: number;
      readonly from: AttemptTarget;
      readonly to: AttemptTarget;
    }
  /** This attempt has delivered the whole answer: the shell ends the caller's response. */
  | { readonly type: 'finishAnswer'; readonly requestId: string; readonly attemptId?: string }
  /** Answers the caller with a problem document, or an error event if the stream has started. */
  | {
      readonly type: 'answerProblem';
      readonly requestId: string;
      readonly kind: ErrorKind;
      readonly detail: string;
      readonly retryAfterMilliseconds?: Milliseconds;
      readonly ran?: RanStatus;
      /**
       * Number of answer tokens the caller has; a resend with them as its prefix continues there.
       */
      readonly tokensGiven?: number;
    }
  | { readonly type: 'replayAnswer'; readonly requestId: string; readonly answer: StoredAnswer }
  /** Proposes a claim command; the result is `claimAnswered` with the same request id. */
  | { readonly type: 'proposeClaim'; readonly requestId: string; readonly command: ClaimCommand }
  /**
   * Proposes a command without waiting for its result; the shell resends it until it is accepted.
   */
  | { readonly type: 'proposeCommand'; readonly command: StoreCommand }
  /** Checks over a new connection whether a backend server responds. */
  | { readonly type: 'probe'; readonly target: AttemptTarget }
  /** Sends this entry's report to all its peers. */
  | { readonly type: 'reportToEntries'; readonly report: EntryReport }
  /** Sends newly spent allowance to all peers without waiting for the next report. */
  | { readonly type: 'tellSpending'; readonly spending: SpendingReport }
  /** Sends the changes of this entry's work at backend servers to all peers. */
  | { readonly type: 'tellWork'; readonly work: WorkReport }
  /** Tells the stores where streams began. */
  | { readonly type: 'shareStreamOrigins'; readonly origins: readonly StreamOrigin[] }
  /** Asks the stores where a stream began; the result is `streamOriginAnswered`. */
  | {
      readonly type: 'findStreamOrigin';
      readonly requestId: string;
      readonly firstRequestId: string;
    }
  /**
   * Reads the platform's list of instances anew. Each of these effects leads to an `instancesListed` or
   * `instancesUnread` whose `readAt` is not before it; one may answer several.
   */
  | { readonly type: 'readInstances' }
  /** A newer configuration has taken effect. */
  | { readonly type: 'configurationApplied'; readonly revision: number }
  /** Asks the load balancer to send new connections elsewhere, or here again. */
  | { readonly type: 'withdrawalChanged'; readonly isWithdrawn: boolean }
  /** Nothing is in progress any more, so a graceful shutdown can finish. */
  | { readonly type: 'shutdownReady' }
  | {
      readonly type: 'setGauge';
      readonly metric: MetricName;
      readonly value: number;
      readonly label?: string;
    }
  | {
      readonly type: 'observe';
      readonly metric: MetricName;
      readonly value: number;
      readonly label?: string;
    }
  | CountEffect
  | LogEffect;
