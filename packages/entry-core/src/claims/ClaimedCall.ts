/**
 * One attempt at a call that may run at most once, as its sender sees it: state, events, effects.
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

/** What is claimed, and by which entry. */
export interface ClaimIntent {
  readonly workspace: string;
  readonly key: string;
  readonly digest: string;
  readonly holder: string;
}

export type ClaimCommand = OpenClaimCommand | ReleaseClaimCommand | SettleClaimCommand;

/**
 * `opening`: the claim was asked for. `sending`: this attempt holds it and was sent, once.
 * `settling`: its end is being noted. `releasing`: it was given up unsent, for good.
 */
export type ClaimedCallPhase = 'opening' | 'sending' | 'settling' | 'releasing' | 'finished';

/** What follows once a release is acknowledged. */
export type AfterRelease = 'tryElsewhere' | 'nothing';

export interface ClaimedCall {
  readonly intent: ClaimIntent;
  /** Unique for all time: a restarted entry never uses one again. */
  readonly attemptId: string;
  readonly startedAt: MonotonicMilliseconds;
  readonly expiresAfter: Milliseconds;
  phase: ClaimedCallPhase;
  /** The command that has to be acknowledged next; resent as it is. */
  pending: ClaimCommand | undefined;
  /** Copies of the pending command that were sent. */
  tries: number;
  /** True while the log says that another attempt holds the claim, which may run. */
  heldElsewhere: boolean;
  /** True once the caller has its final answer from this attempt. */
  answered: boolean;
  afterRelease: AfterRelease;
}

export type ClaimedCallEvent =
  /** The store's result; `command` says of which command. */
  | {
      readonly type: 'claimResult';
      readonly now: MonotonicMilliseconds;
      readonly command: ClaimCommand['type'];
      readonly result: ClaimResult;
    }
  /** `nothingDone` only if the store promises that the command was not and will not be run. */
  | {
      readonly type: 'storeFailed';
      readonly now: MonotonicMilliseconds;
      readonly command: ClaimCommand['type'];
      readonly nothingDone: boolean;
    }
  | { readonly type: 'resendDue'; readonly now: MonotonicMilliseconds }
  /** `beforeFirstByte` only if provably no byte of the call has left this process. */
  | { readonly type: 'sendFailed'; readonly beforeFirstByte: boolean }
  | { readonly type: 'answered'; readonly answer: StoredAnswer }
  | { readonly type: 'deadlineReached' };

export type ClaimedCallEffect =
  | { readonly type: 'propose'; readonly command: ClaimCommand }
  /** The caller of the reducer adds jitter and sends `resendDue`. */
  | { readonly type: 'startResendTimer'; readonly after: Milliseconds }
  | { readonly type: 'sendCall'; readonly attemptId: string }
  | { readonly type: 'answer'; readonly answer: StoredAnswer; readonly replayed: boolean }
  | { readonly type: 'refuse'; readonly kind: ErrorKind; readonly ran: Ran }
  /**
   * The attempt was not sent and is barred: a new attempt may be started on another backend
   * server, or else the caller be refused with `ran: no`.
   */
  | { readonly type: 'tryElsewhere' }
  /** The state can be dropped. */
  | { readonly type: 'finished' };
