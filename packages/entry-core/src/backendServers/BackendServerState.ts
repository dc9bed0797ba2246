/** State that an entry keeps for one backend server. */
import type {
  EpochMilliseconds,
  LoadReport,
  MonotonicMilliseconds,
  PlatformInstance,
} from '@hornbeampond/schema';
import type { BalancingState } from './BalancingState.js';

/** Which entries may use the little room of a brittle server is drawn anew for each period. */
export interface BrittleDraw {
  readonly period: string;
  /** From 0 to 1. */
  readonly fraction: number;
}

export interface BackendServerState {
  /** The platform's latest record of the instance. */
  platformInstance: PlatformInstance;
  /** When this entry first had the instance in its list. */
  readonly listedAt: MonotonicMilliseconds;
  /** When the instance goes away. It gets no new work from the reclaim notice on. */
  goneAt: EpochMilliseconds | undefined;
  /** True once the server has said in an answer that it leaves; see `ServerDepartures`. */
  isLeaving: boolean;
  /** Attempts of this entry in progress at the server, without those that have timed out. */
  readonly attemptIds: Set<string>;
  /** Attempts that have timed out and may still run there, as their answers may still arrive first. */
  readonly timedOutAttemptIds: Set<string>;
  load: LoadReport | undefined;
  loadReceivedAt: MonotonicMilliseconds | undefined;
  /** What the choice among the servers of a pool is based on. */
  readonly balancing: BalancingState;
  /** The last draw for this server if it is brittle. */
  brittleDraw?: BrittleDraw;
}

/** False if the server leaves, as the platform, a reclaim notice or the server itself says. */
export function isStaying({ platformInstance, goneAt, isLeaving }: BackendServerState): boolean {
  return platformInstance.state !== 'leaving' && goneAt === undefined && !isLeaving;
}

/** True if the server is live and stays. */
export function acceptsNewWork(server: BackendServerState): boolean {
  return server.platformInstance.state === 'live' && isStaying(server);
}
