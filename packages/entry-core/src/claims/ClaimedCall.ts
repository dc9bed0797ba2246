/**
 * State, events and effects of one attempt at a call that may run at most once. The attempt claims
 * the call in the replicated log, sends it, and records its outcome there.
 */
import type {
  ErrorKind,
  Milliseconds,
  MonotonicMilliseconds,
  OpenClaimCommand,
  Ran,
  ReleaseClaimCommand,
  SettleClaimCommand,
  ClaimResult,
  StoredAnswer,
} from '@hornbeampond/schema';

/** The call that is claimed, and the entry that claims it. */
export interface ClaimIntent {
  readonly workspace: string;
  readonly key: string;
  readonly digest: string;
  readonly holder: string;
}

export type ClaimCommand = OpenClaimCommand | ReleaseClaimCommand | SettleClaimCommand;

/**
 * `opening`: the claim was requested. `sending`: this attempt holds the claim and sends the call once.
 * `settling`: the outcome is being recorded. `releasing`: the call was not and will not be sent, and
 * the claim is being released.
 */
export type ClaimedCallPhase = 'opening' | 'sending' | 'settling' | 'releasing' | 'finished';

/** What to do once the release is acknowledged. */
export type AfterRelease = 'tryElsewhere' | 'nothing';

export interface ClaimedCall {
  readonly intent: ClaimIntent;
  /** Unique for all time, also across restarts of the entry. */
  readonly attemptId: string;
  readonly startedAt: MonotonicMilliseconds;
  readonly expiresAfter: Milliseconds;
  phase: ClaimedCallPhase;
  /** The command that awaits acknowledgement; resent unchanged. */
  pending: ClaimCommand | undefined;
  /** How often the pending command was sent. */
  tries: number;
  /** True while another attempt holds the claim, so that the call may be running there. */
  heldElsewhere: boolean;
  /** True once the caller has received its final answer. */
  answered: boolean;
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
  /** The caller of the reducer adds jitter and sends `resendDue` afterwards. */
  | { readonly type: 'startResendTimer'; readonly after: Milliseconds }
  | { readonly type: 'sendCall'; readonly attemptId: string }
  | { readonly type: 'answer'; readonly answer: StoredAnswer; readonly replayed: boolean }
  | { readonly type: 'refuse'; readonly kind: ErrorKind; readonly ran: Ran }
  /**
   * The attempt was not sent and never will be. The receiver may start a new attempt on another
   * backend server, or fail the request with `ran: no`.
   */
  | { readonly type: 'tryElsewhere' }
  /** The state is no longer needed. */
  | { readonly type: 'finished' };
