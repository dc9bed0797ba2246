/** What an entry knows of one backend server. */
import type {
  EpochMilliseconds,
  LoadReport,
  MonotonicMilliseconds,
  PlatformInstance,
} from '@hornbeampond/schema';

export interface BackendServerState {
  /** The platform's newest word on it. */
  listed: PlatformInstance;
  /** When it will be gone; from notice on it gets no new work. */
  goneAt: EpochMilliseconds | undefined;
  /** Attempts of this entry that are in progress there. */
  readonly attemptIds: Set<string>;
  load: LoadReport | undefined;
  loadReceivedAt: MonotonicMilliseconds | undefined;
}
