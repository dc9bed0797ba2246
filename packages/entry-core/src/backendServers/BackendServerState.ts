/** State that an entry keeps for one backend server. */
import type {
  EpochMilliseconds,
  LoadReport,
  MonotonicMilliseconds,
  PlatformInstance,
} from '@hornbeampond/schema';
import type { BalancingState } from './BalancingState.js';

export interface BackendServerState {
  /** The platform's latest record of the instance. */
  platformInstance: PlatformInstance;
  /** When the instance goes away. It gets no new work from the reclaim notice on. */
  goneAt: EpochMilliseconds | undefined;
  /** Attempts of this entry in progress at the server. */
  readonly attemptIds: Set<string>;
  load: LoadReport | undefined;
  loadReceivedAt: MonotonicMilliseconds | undefined;
  /** What the choice among the servers of a pool is based on. */
  readonly balancing: BalancingState;
}

/** True if the instance is live and no reclaim notice has been received for it. */
export function acceptsNewWork(server: BackendServerState): boolean {
  return server.platformInstance.state === 'live' && server.goneAt === undefined;
}
