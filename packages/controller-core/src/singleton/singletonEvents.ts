/** Events and effects of the process that reports usage and sizes pools for the whole cluster. */
import type {
  AdvanceRolloutCommand,
  Configuration,
  EntryReport,
  EntryUsage,
  EpochMilliseconds,
  LogEffect,
  MonotonicMilliseconds,
  PlatformInstance,
  SizeOrder,
  UsageCounts,
} from '@hornbeampond/schema';

export type SingletonEventPayload =
  | { readonly type: 'tick' }
  | { readonly type: 'configurationReceived'; readonly configuration: Configuration }
  | { readonly type: 'entryReported'; readonly report: EntryReport }
  /** Usage that entries send between two reports, or that a store has persisted. */
  | { readonly type: 'usageTold'; readonly usage: readonly EntryUsage[] }
  | { readonly type: 'instancesListed'; readonly instances: readonly PlatformInstance[] }
  | { readonly type: 'leaseHeld'; readonly epoch: number }
  | { readonly type: 'leaseLost' }
  /** The counts that the replicated log holds for a window, whichever process proposed them. */
  | { readonly type: 'usageSettled'; readonly window: number; readonly counts: UsageCounts }
  | { readonly type: 'usageReported'; readonly window: number }
  | {
      readonly type: 'sizeOrdered';
      readonly order: SizeOrder;
      /** `refused`: the platform has no instances to give; `failed`: the result is unknown. */
      readonly outcome: 'done' | 'refused' | 'failed';
    };

export type SingletonEvent = SingletonEventPayload & {
  readonly now: MonotonicMilliseconds;
  readonly wallNow: EpochMilliseconds;
};

export type SingletonEffect =
  | { readonly type: 'settleUsage'; readonly window: number; readonly counts: UsageCounts }
  | {
      readonly type: 'reportUsage';
      readonly window: number;
      readonly counts: UsageCounts;
      readonly epoch: number;
    }
  | { readonly type: 'advanceRollout'; readonly command: AdvanceRolloutCommand }
  | { readonly type: 'orderSize'; readonly order: SizeOrder; readonly epoch: number }
  | LogEffect;
