/**
 * What an entry assumes of a backend server when it sends it a request. A server that rejects the request
 * had less room than was assumed; the log says what, and how old that knowledge was.
 */
import type { LogFields, Milliseconds } from '@hornbeampond/schema';
import { currentLimit } from '../backendServers/BalancingState.js';
import type { BackendServerState } from '../backendServers/BackendServerState.js';
import { estimateInProgress } from '../backendServers/estimateInProgress.js';
import type { EntryState } from '../EntryState.js';

export interface AssumedRoom {
  /** Requests of all entries in progress there, with the one that is sent. */
  readonly inProgress: number;
  readonly limit: number;
  /** Rejections in a second that the server survives; undefined if it was not taken for brittle. */
  readonly survivedRejections?: number;
  /** Since the newest statement of the server on whether it is brittle; undefined without one. */
  readonly brittlenessAge?: Milliseconds;
  /** Since the newest sums of the work of other entries; undefined if there are none. */
  readonly workAge?: Milliseconds;
  /** Entries among which room is divided. */
  readonly entryCount: number;
  /** Since this entry first had the server in its list. */
  readonly listedFor: Milliseconds;
}

export function assumeRoom(state: EntryState, server: BackendServerState): AssumedRoom {
  const { brittleness, clocks, membership, workReports } = state;
  const { instance } = server.platformInstance;
  const survivedRejections = brittleness.at(instance);
  const statedAt = brittleness.statedAt(instance);
  return {
    inProgress: estimateInProgress(state, server),
    limit: currentLimit(server.balancing, clocks.now),
    ...(survivedRejections < Infinity ? { survivedRejections } : {}),
    ...(statedAt === undefined ? {} : { brittlenessAge: clocks.wallNow - statedAt }),
    workAge: workReports.ageOfSums(clocks.now),
    entryCount: membership.peers.size + 1,
    listedFor: clocks.now - server.listedAt,
  };
}

/** What the server has said of its load in its last answer, mostly in the rejection itself. */
export function describeStatedLoad(state: EntryState, instance: string): LogFields {
  const { load, loadReceivedAt } = state.backendServers.get(instance) ?? {};
  if (load === undefined || loadReceivedAt === undefined) return {};
  const { running, queued, slots } = load;
  return { running, queued, slots, loadAge: state.clocks.now - loadReceivedAt };
}
