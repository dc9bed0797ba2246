/** The in-memory state of an entry. Only the reducer modifies it. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import {
  emptyConfiguration,
  type Configuration,
  type DrainedInstances,
} from '@hornbeampond/schema';
import type { RequestAwaitingAcknowledgement } from './admission/awaitAcknowledgement.js';
import type { RequestAwaitingConfiguration } from './admission/awaitConfiguration.js';
import { makeAdmissionState, type AdmissionState } from './admission/AdmissionState.js';
import type { AttemptState } from './attempts/AttemptState.js';
import { makeRetryState, type RetryState } from './attempts/RetryState.js';
import type { BackendServerState } from './backendServers/BackendServerState.js';
import type { PoolState } from './backendServers/PoolState.js';
import type { RequestClaim } from './claims/RequestClaim.js';
import { DemandMeter } from './demand/DemandMeter.js';
import { UsageMeter } from './demand/UsageMeter.js';
import type { Timestamps } from './entryEvents.js';
import { makeHedgingState, type HedgingState } from './hedging/HedgingState.js';
import { makeLimitState, type LimitState } from './limits/LimitState.js';
import { WorkReports } from './backendServers/WorkReports.js';
import { RouteIndex } from './routing/RouteIndex.js';
import { makeMembershipState, type MembershipState } from './membership/MembershipState.js';
import { makePathsState, type PathsState } from './paths/PathsState.js';
import { makeQuarantineState, type QuarantineState } from './quarantine/QuarantineState.js';
import { makeReclaimState, type ReclaimState } from './reclaims/ReclaimState.js';
import type { RequestState } from './requests/RequestState.js';
import { makeRolloutState, type RolloutState } from './rollouts/RolloutState.js';
import { makeSlownessState, type SlownessState } from './slowness/SlownessState.js';
import { makeShareState, type ShareState } from './shares/ShareState.js';
import { makeShutdownState, type ShutdownState } from './shutdown/ShutdownState.js';
import type { HeldTakeUp } from './streamVersions/heldTakeUps.js';
import { StreamOrigins } from './streamVersions/StreamOrigins.js';
import { VersionIndex } from './streamVersions/VersionIndex.js';
import { ServerBrittleness } from './statements/ServerBrittleness.js';
import { ServerDepartures } from './statements/ServerDepartures.js';
import { ServerSpeeds } from './speeds/ServerSpeeds.js';
import { ServerRateLimits } from './statements/ServerRateLimits.js';
import { ServerRejections } from './statements/ServerRejections.js';
import { ServerRests } from './statements/ServerRests.js';

/** Settings that stay fixed for the lifetime of an entry process. */
export interface EntryIdentity {
  readonly instance: string;
  readonly dataCentre: string;
  /** Wall clock at process start, in epoch milliseconds. */
  readonly incarnation: number;
  /** Maximum number of requests that may be queued for backend servers. */
  readonly maxQueuedRequests: number;
  /** Length of one window of the usage report; undefined if usage is not reported. */
  readonly usageWindow?: number;
  /** False if contended capacity is not divided among priorities and workspaces. */
  readonly dividesCapacity?: boolean;
}

export interface EntryState {
  readonly identity: EntryIdentity;
  configuration: Configuration;
  /** By instance. */
  readonly backendServers: Map<string, BackendServerState>;
  /** Requests that arrived before the first configuration, by request id. */
  readonly requestsAwaitingConfiguration: Map<string, RequestAwaitingConfiguration>;
  /** Requests held until a store acknowledges earlier spending, by request id. */
  readonly requestsAwaitingAcknowledgement: Map<string, RequestAwaitingAcknowledgement>;
  /** Requests for the rest of a stream, held until the stores say where it began, by request id. */
  readonly takeUpsAwaitingOrigin: Map<string, HeldTakeUp>;

  /** Those whose origin no store knows, until the list has been read anew. */
  readonly takeUpsAwaitingList: Map<string, HeldTakeUp>;
  /** Accepted requests without a final answer, by request id. */
  readonly requests: Map<string, RequestState>;
  /** Attempts that have not ended, by attempt id. */
  readonly attempts: Map<string, AttemptState>;
  /** Claimed calls whose outcome the stores have not recorded yet, by request id. */
  readonly claims: Map<string, RequestClaim>;
  readonly demand: DemandMeter;
  readonly usage: UsageMeter;
  /** Backend servers that controllers have taken out of service, by data centre. */
  readonly drains: Map<string, DrainedInstances>;
  readonly retries: RetryState;
  readonly hedging: HedgingState;
  readonly quarantine: QuarantineState;
  readonly reclaims: ReclaimState;
  readonly membership: MembershipState;
  readonly workReports: WorkReports;
  readonly speeds: ServerSpeeds;
  readonly rateLimits: ServerRateLimits;
  readonly brittleness: ServerBrittleness;
  readonly rejections: ServerRejections;
  readonly rests: ServerRests;
  readonly departures: ServerDepartures;
  /** Prompt prefixes restored from a store for backend servers that are not listed yet. */
  readonly persistedPrefixes: Map<string, readonly string[]>;
  readonly rollouts: RolloutState;
  readonly versions: VersionIndex;
  readonly streamOrigins: StreamOrigins;
  readonly shares: ShareState;
  readonly shutdown: ShutdownState;
  readonly slowness: SlownessState;
  readonly paths: PathsState;
  /** False until `shutdown.acceptUntil` of a started shutdown. */
  refusesNewRequests: boolean;
  /** Timestamps of the event being handled. */
  clocks: Timestamps;
  /**
   * Seeded by instance and incarnation, so that entries that start together draw different values.
   */
  readonly random: RandomGenerator;
  routeIndex: RouteIndex;
  /** By pool. */
  readonly poolStates: Map<string, PoolState>;
  readonly admission: AdmissionState;
  readonly limits: LimitState;
}

const SEED_FACTOR = 31;

function makeSeed({ instance, incarnation }: EntryIdentity): number {
  let seed = Math.trunc(incarnation);
  for (const character of instance) {
    seed = Math.imul(seed, SEED_FACTOR) + (character.codePointAt(0) ?? 0);
  }
  return seed;
}

export function makeEntryState(identity: EntryIdentity): EntryState {
  return {
    identity,
    configuration: emptyConfiguration,
    backendServers: new Map(),
    requestsAwaitingConfiguration: new Map(),
    requestsAwaitingAcknowledgement: new Map(),
    takeUpsAwaitingOrigin: new Map(),
    takeUpsAwaitingList: new Map(),
    requests: new Map(),
    attempts: new Map(),
    claims: new Map(),
    demand: new DemandMeter(),
    usage: new UsageMeter(identity.usageWindow ?? 0),
    drains: new Map(),
    retries: makeRetryState(`${identity.instance}/${identity.incarnation}`),
    hedging: makeHedgingState(),
    quarantine: makeQuarantineState(),
    reclaims: makeReclaimState(),
    membership: makeMembershipState(),
    workReports: new WorkReports(),
    speeds: new ServerSpeeds(),
    rateLimits: new ServerRateLimits(),
    brittleness: new ServerBrittleness(),
    rejections: new ServerRejections(),
    rests: new ServerRests(),
    departures: new ServerDepartures(),
    persistedPrefixes: new Map(),
    rollouts: makeRolloutState(),
    versions: new VersionIndex(),
    streamOrigins: new StreamOrigins(),
    shares: makeShareState(identity.instance, identity.dividesCapacity ?? true),
    shutdown: makeShutdownState(),
    slowness: makeSlownessState(),
    paths: makePathsState(),
    refusesNewRequests: false,
    clocks: { now: 0, wallNow: 0 },
    random: xoroshiro128plus(makeSeed(identity)),
    routeIndex: new RouteIndex(emptyConfiguration),
    poolStates: new Map(),
    admission: makeAdmissionState(),
    limits: makeLimitState(),
  };
}
