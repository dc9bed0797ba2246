/**
 * State, events and effects of the claim by which one request sends a call that may run at most
 * once. A call is identified by its workspace and idempotency key; when a caller sends it again,
 * that is another request for the same call, with its own claim state.
 */
import type {
  ErrorKind,
  Milliseconds,
  MonotonicMilliseconds,
  OpenClaimCommand,
  RanStatus,
  ReleaseClaimCommand,
  SettleClaimCommand,
  ClaimResult,
  StoredAnswer,
} from '@hornbeampond/schema';

/** The call to be claimed, and the entry that claims it. */
export interface ClaimSubject {
  readonly workspace: string;
  readonly key: string;
  readonly digest: string;
  readonly holder: string;
}

export type ClaimCommand = OpenClaimCommand | ReleaseClaimCommand | SettleClaimCommand;

/**
 * `opening`: the claim was requested. `sending`: this request holds the claim and sends the call
 * once. `settling`: the outcome is being recorded in the log. `releasing`: the call was not and
 * will not be sent, and the claim is being released.
 */
export type ClaimedCallPhase = 'opening' | 'sending' | 'settling' | 'releasing' | 'finished';

/** What to do once the release is acknowledged. */
export type AfterRelease = 'tryElsewhere' | 'nothing';

export interface ClaimedCallState {
  readonly intent: ClaimSubject;
  /** Identifies this request in the log: its request id, not the id of an `AttemptState`. */
  readonly attemptId: string;
  readonly startedAt: MonotonicMilliseconds;
  readonly expiresAfter: Milliseconds;
  phase: ClaimedCallPhase;
  /** The command that awaits acknowledgement; resent unchanged. */
  pending: ClaimCommand | undefined;
  /** Times that the pending command was sent since the log last answered it. */
  sendCount: number;
  /** True from when the log reports that another request holds the claim until this one gets it. */
  heldByOtherRequest: boolean;
  /** True once the caller's final answer or `tryElsewhere` was decided; no other may follow. */
  resolved: boolean;
  afterRelease: AfterRelease;
}

export type ClaimedCallEvent =
  /** The store's result for `command`. */
  | {
      readonly type: 'claimResult';
      readonly now: MonotonicMilliseconds;
      readonly command: ClaimCommand['type'];
      readonly result: ClaimResult;
    }
  /** `nothingDone` is true only if the store guarantees that the command is never applied. */
  | {
      readonly type: 'storeFailed';
      readonly now: MonotonicMilliseconds;
      readonly command: ClaimCommand['type'];
      readonly nothingDone: boolean;
    }
  | { readonly type: 'resendDue'; readonly now: MonotonicMilliseconds }
  /** `beforeFirstByte` is true only if provably no byte of the call has left this process. */
  | { readonly type: 'sendFailed'; readonly beforeFirstByte: boolean }
  | { readonly type: 'answered'; readonly answer: StoredAnswer }
  | { readonly type: 'deadlineReached' };

export type ClaimedCallEffect =
  | { readonly type: 'propose'; readonly command: ClaimCommand }
  /**
   * Whoever applies the effect adds jitter to the delay and sends `resendDue` when it has passed.
   */
  | { readonly type: 'startResendTimer'; readonly after: Milliseconds }
  | { readonly type: 'sendCall'; readonly attemptId: string }
  | { readonly type: 'answer'; readonly answer: StoredAnswer; readonly replayed: boolean }
  | { readonly type: 'refuse'; readonly kind: ErrorKind; readonly ran: RanStatus }
  /**
   * The call was not sent and the claim is released. Whoever applies the effect may try another
   * backend server under a new claim, or fail the request with `ran: no`.
   */
  | { readonly type: 'tryElsewhere' }
  /** The state is no longer needed. */
  | { readonly type: 'finished' };
