/** What happens to the process that reports usage and sizes pools, and what it asks of its shell. */
import type {
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
  /** What entries tell between two reports, or a store has kept of what they told. */
  | { readonly type: 'usageTold'; readonly usage: readonly EntryUsage[] }
  | { readonly type: 'instancesListed'; readonly instances: readonly PlatformInstance[] }
  | { readonly type: 'leaseHeld'; readonly epoch: number }
  | { readonly type: 'leaseLost' }
  /** The counts that the log keeps for a window, whoever proposed them. */
  | { readonly type: 'usageSettled'; readonly window: number; readonly counts: UsageCounts }
  | { readonly type: 'usageReported'; readonly window: number }
  | {
      readonly type: 'sizeOrdered';
      readonly order: SizeOrder;
      /** `refused`: the platform has none to give; `failed`: it is not known what became of it. */
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
  | { readonly type: 'orderSize'; readonly order: SizeOrder; readonly epoch: number }
  | LogEffect;
