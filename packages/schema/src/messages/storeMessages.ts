/**
 * Requests that entries, controllers and operators' tools send to a store, and its responses.
 * They travel as bodies of the framed request-response protocol of `packages/transport`.
 */
import type { Configuration } from '../tables/Configuration.js';
import type { ConfigurationDelta } from '../tables/ConfigurationDelta.js';
import type { EpochMilliseconds, Milliseconds } from '../units.js';
import type { SharedInstance, InstanceListDelta } from './backendServers.js';
import type {
  EntryReport,
  EntryUsage,
  PersistedEntryData,
  SpendingReport,
  WorkReport,
} from './entryMessages.js';
import type { CommandResult, StoreCommand } from './storeCommands.js';

/** One digest that backend servers must be kept from for a while. */
export interface QuarantineRecord {
  readonly digest: string;
  readonly until: EpochMilliseconds;
}

/** What one instance last said of itself. */
export interface InstanceReport {
  readonly instance: string;
  readonly dataCentre: string;
  readonly role: 'entry' | 'controller' | 'store';
  /** Revision of the configuration that the instance applies. */
  readonly revision: number;
  /** True if it started cut off from a quorum and runs on what its peers knew. */
  readonly cutOff: boolean;
}

export type StoreRequest =
  /** Runs a command through the log. */
  | { readonly type: 'propose'; readonly command: StoreCommand }
  /** Linearizable read of the tables; an isolated leader answers none. */
  | { readonly type: 'readConfiguration' }
  /** Linearizable read of what the operator sent who replaced all tables last. */
  | { readonly type: 'readDocument' }
  /** The newest configuration this store knows, which may be old; for instances, not operators. */
  | { readonly type: 'peekConfiguration' }
  /** Asks for pushes of every later configuration and quarantine entry. */
  | { readonly type: 'subscribe'; readonly report: InstanceReport }
  | { readonly type: 'report'; readonly report: InstanceReport }
  /** An entry's report, which the store hands to its subscribers. */
  | { readonly type: 'shareReport'; readonly report: EntryReport }
  /** The platform's list as a process has just read it, so that others need not read it. */
  | { readonly type: 'shareInstances'; readonly instances: readonly SharedInstance[] }
  /** The same for what an entry tells between two reports. */
  | { readonly type: 'shareSpending'; readonly spending: SpendingReport }
  | { readonly type: 'shareWork'; readonly work: WorkReport }
  | { readonly type: 'readStatus' }
  /** Membership of the log. */
  | { readonly type: 'addVoter'; readonly voter: JoiningVoter }
  | { readonly type: 'removeVoter'; readonly instance: string };

/** How a store is reached by its peers and clients. */
export interface VoterAddress {
  readonly instance: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
}

/** A store that asks to be let in, with the random identity of its disk. */
export interface JoiningVoter extends VoterAddress {
  readonly identity: string;
}

/** A store's own view of the log, for operators. */
export interface StoreStatus {
  readonly instance: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  readonly leader?: string;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly voters: readonly string[];
  readonly learners: readonly string[];
  readonly readOnly: boolean;
  readonly configurationRevision: number;
  readonly instances: readonly InstanceReport[];
  readonly leases: readonly {
    readonly lease: string;
    readonly holder: string;
    readonly epoch: number;
  }[];
  readonly claims: number;
  readonly quarantine: readonly QuarantineRecord[];
}

export type StoreResponse =
  | { readonly type: 'result'; readonly result: CommandResult }
  | { readonly type: 'configuration'; readonly configuration: Configuration }
  | {
      readonly type: 'subscribed';
      readonly configuration: Configuration;
      readonly quarantine: readonly QuarantineRecord[];
      /** The members of the log, so that a subscriber finds stores that its settings do not name. */
      readonly stores: readonly VoterAddress[];
      /** What is known here that a starting entry knows nothing of. */
      readonly remembered: PersistedEntryData;
      /** The platform's list as it was read last, and how long ago; missing before the first. */
      readonly instances?: readonly SharedInstance[];
      readonly instancesAge?: Milliseconds;
    }
  | { readonly type: 'document'; readonly version: number; readonly document: string }
  | { readonly type: 'status'; readonly status: StoreStatus }
  | {
      readonly type: 'accepted';
      /** Answers a report: the revision of the configuration that this store holds. */
      readonly revision?: number;
    }
  /** This store does not lead; nothing was done. */
  | { readonly type: 'notLeader'; readonly leader?: string }
  /** Nothing was done and nothing will be. */
  | { readonly type: 'unavailable'; readonly reason: string }
  /** The command may or may not be run yet; resend it under the same intent. */
  | { readonly type: 'unsure'; readonly reason: string };

/** What a store pushes to subscribers. */
export type StorePush =
  /** What one change altered; a subscriber that it does not join to subscribes anew. */
  | { readonly type: 'configurationDelta'; readonly delta: ConfigurationDelta }
  /** All rows, where no delta can be made. */
  | { readonly type: 'configuration'; readonly configuration: Configuration }
  | { readonly type: 'quarantine'; readonly quarantine: readonly QuarantineRecord[] }
  /** The members of the log have changed. */
  | { readonly type: 'stores'; readonly stores: readonly VoterAddress[] }
  /** What other entries said of themselves. */
  | { readonly type: 'entryReport'; readonly report: EntryReport }
  | { readonly type: 'spending'; readonly spending: SpendingReport }
  /** What entries have told of their work since the push before. */
  | { readonly type: 'work'; readonly reports: readonly WorkReport[] }
  /** What entries have told of the requests that began to run; for those that report usage. */
  | { readonly type: 'usage'; readonly usage: readonly EntryUsage[] }
  /** A reading of the platform's list, against the one before. */
  | ({ readonly type: 'instances' } & InstanceListDelta)
  /** This store has known no leader for a while: what it holds may be old, and grows no newer. */
  | { readonly type: 'outOfTouch' };
