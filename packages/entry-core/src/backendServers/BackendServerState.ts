/** What an entry knows of one backend server. */
import type {
  EpochMilliseconds,
  LoadReport,
  MonotonicMilliseconds,
  PlatformInstance,
} from '@hornbeampond/schema';
import type { BalancingState } from './BalancingState.js';

export interface BackendServerState {
  /** The platform's newest word on it. */
  platformInstance: PlatformInstance;
  /** When it will be gone; from notice on it gets no new work. */
  goneAt: EpochMilliseconds | undefined;
  /** Attempts of this entry that are in progress there. */
  readonly attemptIds: Set<string>;
  load: LoadReport | undefined;
  loadReceivedAt: MonotonicMilliseconds | undefined;
  /** What the choice of a backend server is made from. */
  readonly balancing: BalancingState;
}

/** True if the platform and the reclaim notices let it have new work. */
export function acceptsNewWork(server: BackendServerState): boolean {
  return server.platformInstance.state === 'live' && server.goneAt === undefined;
}
