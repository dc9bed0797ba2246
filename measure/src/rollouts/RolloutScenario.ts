/** What a simulated roll-out is given: services, versions, load, and what goes wrong beside it. */
import type { Milliseconds } from '@hornbeampond/schema';

export interface SimulatedVersion {
  /** Share of its answers that are failures. */
  readonly failureShare: number;
  /** How many times as long as the old version it takes. */
  readonly slowFactor?: number;
  /** It is bad only from this time on. */
  readonly badFrom?: Milliseconds;
  /** It is bad only with at least this share of the requests. */
  readonly badFromShare?: number;
  /** It is bad on this route only. */
  readonly badOnlyOn?: string;
}

export interface SimulatedService {
  readonly pool: string;
  readonly version: SimulatedVersion;
  readonly perSecond: number;
  /** Share of the old version’s answers that are failures. */
  readonly usualFailureShare: number;
}

/** Times are fractions of the duration of the roll-out. */
export type Fault =
  /** The holder is killed when it proposes its step with this number; the step is lost or not. */
  | { readonly type: 'holderKilled'; readonly step: number; readonly losesStep: boolean }
  | { readonly type: 'powerLost'; readonly at: number; readonly length: Milliseconds }
  /** No store can commit, and the reports of half of the entries reach no process. */
  | { readonly type: 'storesPartitioned'; readonly at: number; readonly length: Milliseconds }
  /** A quarter of the entries get processor time for a third of the time only. */
  | { readonly type: 'slowEntries' }
  /** All instances of the new version are gone for a while. */
  | { readonly type: 'newInstancesReclaimed'; readonly at: number; readonly length: Milliseconds }
  /** Half of the instances of both versions leave and come back under other names. */
  | { readonly type: 'poolReplaced'; readonly at: number; readonly length: Milliseconds }
  /** The requests of one route go to another pool from then on. */
  | { readonly type: 'routeMoved'; readonly at: number; readonly route: string };

export interface RolloutScenario {
  readonly name: string;
  readonly seed: number;
  readonly entries: number;
  readonly duration: Milliseconds;
  /** Each has a roll-out, all at once. */
  readonly services: readonly SimulatedService[];
  readonly fault?: Fault;
}

export interface RolloutOutcome {
  readonly pool: string;
  readonly phase: 'running' | 'done' | 'rolledBack';
  readonly elapsed: Milliseconds;
  /** Requests that were sent to the new version. */
  readonly exposure: number;
  /** Requests of the service until the time of the roll-out is over. */
  readonly total: number;
  /** Bad answers of the new version until it was taken back. */
  readonly badAnswers: number;
  /** From the 50th bad answer until it was taken back; undefined if there were fewer. */
  readonly afterFiftieth: Milliseconds | undefined;
}
