/**
 * What entries tell each other. Each entry sends its whole own state, numbered, on every
 * heartbeat; the newest number wins, so loss, repeats and reordering are harmless.
 */
import type { EpochMilliseconds } from '../units.js';

/** One entry's word on itself and on what it has seen first. */
export interface EntryReport {
  readonly type: 'entryReport';
  readonly instance: string;
  readonly dataCentre: string;
  /** Wall clock at process start; a restarted entry's reports replace its earlier ones. */
  readonly incarnation: EpochMilliseconds;
  readonly sequence: number;
  readonly leaving: boolean;
  readonly revision: number;
  /** Requests in progress by route and workspace, keyed `route/workspace`. */
  readonly inProgress: Readonly<Record<string, number>>;
  /** Backend servers on notice, with the time they will be gone. */
  readonly leavingBackendServers: Readonly<Record<string, EpochMilliseconds>>;
  /** Crashes seen, so that a resend through another entry is not run beside others. */
  readonly suspects: readonly { readonly digest: string; readonly crashes: number }[];
}
