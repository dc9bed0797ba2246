/** What an entry keeps to divide the capacity of contended pools. All of it is soft state. */
import {
  UseTotals,
  type MonotonicMilliseconds,
  type Milliseconds,
  type PoolUse,
} from '@hornbeampond/schema';
import { ArrivalMeter } from './ArrivalMeter.js';
import { hashFraction } from './hashFraction.js';
import type { PoolShares } from './computeShares.js';
import { RefusedCallers } from './RefusedCallers.js';
import { RetrySchedule } from './RetrySchedule.js';
import { ShareCredits } from './ShareCredits.js';

/** The last sums over all entries. */
export interface ReceivedUse {
  readonly pools: ReadonlyMap<string, PoolUse>;
  readonly receivedAt: MonotonicMilliseconds;
}

export interface ShareState {
  /** False if capacity is not divided, whatever the other entries report. */
  readonly isEnabled: boolean;
  readonly arrivals: ArrivalMeter;
  /** Sums from a store. */
  received: ReceivedUse | undefined;
  /** Where entries report directly to each other: what they have reported, and this one. */
  readonly peerTotals: UseTotals;
  /** By pool; only pools of which sums are known. */
  pools: Map<string, PoolShares>;
  /** Slots that this entry may use, by pool and then by priority; only of contended pools. */
  portions: Map<string, readonly number[]>;
  /** From 0 to 1; drawn again whenever shares are computed. */
  drawn: number;
  /** Hashes of the names of backend servers, from 0 to 1. */
  readonly serverHashes: Map<string, number>;
  computedAt: MonotonicMilliseconds;
  /** When the sums behind `pools` were received. */
  sumsReceivedAt: MonotonicMilliseconds | undefined;
  readonly credits: ShareCredits;
  /** By pool. */
  readonly schedules: Map<string, RetrySchedule>;
  readonly refusedCallers: RefusedCallers;
  /** Until when the use of a pool is reported, by pool. */
  readonly reportedUntil: Map<string, MonotonicMilliseconds>;
  useSentAt: MonotonicMilliseconds;
  /** Work of the arrivals, in slots, that the last report stated. */
  reportedWork: number;
  /** True if the last report listed any pool. */
  hasReportedUse: boolean;
}

export function makeShareState(seed: string, isEnabled: boolean): ShareState {
  return {
    isEnabled,
    arrivals: new ArrivalMeter(),
    received: undefined,
    peerTotals: new UseTotals(),
    pools: new Map(),
    portions: new Map(),
    drawn: 0,
    serverHashes: new Map(),
    computedAt: Number.NEGATIVE_INFINITY,
    sumsReceivedAt: undefined,
    credits: new ShareCredits(seed),
    schedules: new Map(),
    refusedCallers: new RefusedCallers(),
    reportedUntil: new Map(),
    useSentAt: Number.NEGATIVE_INFINITY,
    reportedWork: 0,
    hasReportedUse: false,
  };
}

/** Names of servers that were replaced are dropped with all others beyond this number. */
const MAX_SERVER_HASHES = 2000;

/** The hash of a server's name; a choice of a server asks for up to 16 of them. */
export function hashServer({ serverHashes }: ShareState, instance: string): number {
  const known = serverHashes.get(instance);
  if (known !== undefined) return known;
  if (serverHashes.size >= MAX_SERVER_HASHES) serverHashes.clear();
  const hash = hashFraction(instance);
  serverHashes.set(instance, hash);
  return hash;
}

export function ageOfSums(
  { sumsReceivedAt }: Pick<ShareState, 'sumsReceivedAt'>,
  now: MonotonicMilliseconds,
): Milliseconds | undefined {
  return sumsReceivedAt === undefined ? undefined : now - sumsReceivedAt;
}
