/**
 * Requests that are sent to a store, its responses, and the messages that it pushes to subscribers.
 * They are the bodies of the framed request-response protocol of `packages/transport`.
 */
import type { Configuration } from '../tables/Configuration.js';
import type { ConfigurationDelta } from '../tables/ConfigurationDelta.js';
import type { EpochMilliseconds, Milliseconds } from '../units.js';
import type { SharedInstance, InstanceListDelta } from './backendServers.js';
import type { VersionHistoryMessage } from './VersionHistory.js';
import type {
  EntryDigest,
  EntryReport,
  EntryUsage,
  PersistedEntryData,
  SpendingReport,
  StreamOrigin,
  WorkReport,
} from './entryMessages.js';
import type { CommandResult, StoreCommand } from './storeCommands.js';

/** A digest whose requests may not be sent to backend servers until a given time. */
export interface QuarantineRecord {
  readonly digest: string;
  readonly until: EpochMilliseconds;
}

/** State that an instance last reported about itself. */
export interface InstanceReport {
  readonly instance: string;
  readonly dataCentre: string;
  readonly role: 'entry' | 'controller' | 'store';
  /** Revision of the configuration in force at the instance. */
  readonly revision: number;
  /** True while an instance that started without a quorum uses its peers' configuration. */
  readonly cutOff: boolean;
}

export type StoreRequest =
  /** Proposes a command to the log. */
  | { readonly type: 'propose'; readonly command: StoreCommand }
  /** Linearizable read of the configuration; a leader without a quorum cannot answer it. */
  | { readonly type: 'readConfiguration' }
  /** Linearizable read of the document of the last `replaceTables` command in force. */
  | { readonly type: 'readDocument' }
  /** Reads the configuration that this store has, which may be stale; not for operators. */
  | { readonly type: 'peekConfiguration' }
  /** Subscribes to pushes: changes of the configuration, the quarantine and other state. */
  | {
      readonly type: 'subscribe';
      readonly report: InstanceReport;
      /** True if the subscriber understands `entryDigest`, which replaces single reports. */
      readonly receivesDigests?: boolean;
      /**
       * False for a process that has its configuration and only turns to another store: it does not
       * need what stores keep for processes that start. Missing in requests of older versions.
       */
      readonly isStarting?: boolean;
      /** True if the subscriber acknowledges digests when they ask for it. */
      readonly acknowledgesDigests?: boolean;
    }
  | { readonly type: 'report'; readonly report: InstanceReport }
  /** A report of an entry, for the subscribers of the store. */
  | { readonly type: 'shareReport'; readonly report: EntryReport }
  /** The platform's list as a process has just read it, for the subscribers of the store. */
  | {
      readonly type: 'shareInstances';
      readonly instances: readonly SharedInstance[];
      /** When the platform was asked for it, by the sender's clock; missing from older versions. */
      readonly readAt?: EpochMilliseconds;
    }
  /** What an entry sends between two reports, for the subscribers of the store. */
  | { readonly type: 'shareSpending'; readonly spending: SpendingReport }
  | { readonly type: 'shareWork'; readonly work: WorkReport }
  /** Where streams began, for stores that have said that they keep this. */
  | { readonly type: 'shareStreamOrigins'; readonly origins: readonly StreamOrigin[] }
  | { readonly type: 'findStreamOrigin'; readonly requestId: string }
  | {
      readonly type: 'readStatus';
      /** A store that asks whether it may found a cluster; stores of older versions ignore it. */
      readonly foundingCandidate?: { readonly instance: string; readonly identity: string };
    }
  /** Changes of the membership of the log. */
  | { readonly type: 'addVoter'; readonly voter: JoiningVoter }
  | { readonly type: 'removeVoter'; readonly instance: string };

/** Address of a store for its peers and clients. */
export interface VoterAddress {
  readonly instance: string;
  readonly dataCentre: string;
  readonly host: string;
  readonly port: number;
}

/** A store that asks to join, with the random identity of its disk. */
export interface JoiningVoter extends VoterAddress {
  readonly identity: string;
}

/** What a store knows of the members of its log, for a store that asks to join. */
export interface KnownMembers {
  /** The instance that leads, if the store knows one. */
  readonly leader?: string | undefined;
  readonly stores: readonly VoterAddress[];
  /**
   * Of the last entry of its log. Of two answers that differ, the one with the greater term, or in the
   * same term with the greater index, is newer.
   */
  readonly lastTerm: number;
  readonly lastIndex: number;
}

/** State of one store and its view of the cluster, for operators. */
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

/** What a store answers another one that may found a cluster. */
export interface FoundingAnswer {
  /** True if it is, was or knows a member of a cluster. */
  readonly knowsCluster: boolean;
  /** True if it supports the founding, and for a while that of no other store. */
  readonly supports: boolean;
}

export type StoreResponse =
  | { readonly type: 'result'; readonly result: CommandResult }
  | { readonly type: 'configuration'; readonly configuration: Configuration }
  | {
      readonly type: 'subscribed';
      readonly configuration: Configuration;
      readonly quarantine: readonly QuarantineRecord[];
      /** The members of the log, so that the subscriber finds stores that its settings lack. */
      readonly stores: readonly VoterAddress[];
      /** Persisted state that an entry restores when it starts. */
      readonly remembered: PersistedEntryData;
      /** The last reading of the platform's list and its age; missing before the first one. */
      readonly instances?: readonly SharedInstance[];
      readonly instancesAge?: Milliseconds;
      /** When the platform was asked for that list. */
      readonly instancesReadAt?: EpochMilliseconds | undefined;
      /** What entries have reported; the digests that follow are changes to it. */
      readonly digest?: EntryDigest;
    }
  | { readonly type: 'document'; readonly version: number; readonly document: string }
  | {
      readonly type: 'status';
      readonly status: StoreStatus;
      /** The answer to a store that asks whether it may found. */
      readonly founding?: FoundingAnswer;
    }
  | {
      readonly type: 'accepted';
      /** In answers to a report: the revision of the configuration that this store has. */
      readonly revision?: number;
      /** In answers to the report of an instance: true if the store keeps origins of streams. */
      readonly keepsStreamOrigins?: boolean;
      readonly members?: KnownMembers;
    }
  | {
      readonly type: 'streamOrigin';
      readonly origin?: StreamOrigin | undefined;
      /** Without an origin: the versions that the store has recorded, if it has received a list. */
      readonly history?: VersionHistoryMessage | undefined;
    }
  /** This store is not the leader; nothing was done. Answers to `addVoter` have `members`. */
  | { readonly type: 'notLeader'; readonly leader?: string; readonly members?: KnownMembers }
  /** The request was not carried out and will not be. */
  | { readonly type: 'unavailable'; readonly reason: string; readonly members?: KnownMembers }
  /** The command may have been committed or may still be; it should be resent unchanged. */
  | { readonly type: 'unsure'; readonly reason: string; readonly members?: KnownMembers };

/**
 * What a joining store pushes on a connection that another store has opened to it, as it may know no
 * address of that store. Stores of older versions ignore it.
 */
export interface MembersRequest {
  readonly type: 'requestMembers';
}

/** The answer to `MembersRequest`, pushed on the same connection. */
export interface MembersAnswer {
  readonly type: 'members';
  readonly members: KnownMembers;
}

/**
 * What a subscriber pushes to a store that it no longer follows. Stores of older versions ignore it and
 * go on sending.
 */
export interface Unsubscription {
  readonly type: 'unsubscribe';
}

/** What a subscriber pushes to its store when it has applied a digest that asks for it. */
export interface DigestAcknowledgement {
  readonly type: 'digestApplied';
  readonly sequence: number;
}

/** When a store published a change, by its clock; stores of older versions do not say it. */
export interface PublicationTime {
  readonly publishedAt?: EpochMilliseconds;
}

/** Messages that a store pushes to its subscribers. */
export type StorePush =
  /** A change of the configuration; a subscriber at another revision has to subscribe again. */
  | ({ readonly type: 'configurationDelta'; readonly delta: ConfigurationDelta } & PublicationTime)
  /** The whole configuration, sent if the change cannot be expressed as a delta. */
  | ({ readonly type: 'configuration'; readonly configuration: Configuration } & PublicationTime)
  | { readonly type: 'quarantine'; readonly quarantine: readonly QuarantineRecord[] }
  /** The members of the log have changed. */
  | { readonly type: 'stores'; readonly stores: readonly VoterAddress[] }
  | {
      readonly type: 'entryDigest';
      readonly digest: EntryDigest;
      /** True for a complete digest, which does not depend on others. */
      readonly isWhole?: boolean;
    }
  /** The next four are sent instead of digests to subscribers of older versions. */
  | { readonly type: 'entryReport'; readonly report: EntryReport }
  | { readonly type: 'spending'; readonly spending: SpendingReport }
  /** Work reports that have arrived since the previous push. */
  | { readonly type: 'work'; readonly reports: readonly WorkReport[] }
  /** Requests that began to run at entries, for the processes that report usage. */
  | { readonly type: 'usage'; readonly usage: readonly EntryUsage[] }
  /** Changes of the platform's list since the previous reading. */
  | ({ readonly type: 'instances' } & InstanceListDelta)
  /** This store has had no leader for some time, so that its state may be stale. */
  | { readonly type: 'outOfTouch' };
