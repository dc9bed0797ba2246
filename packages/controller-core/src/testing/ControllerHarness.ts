/**
 * Drives one controller in virtual time for tests: a clock, the tables, and short ways to tell it
 * things. It answers nothing by itself, so each test decides what gets lost.
 */
import type {
  Configuration,
  LoadReport,
  Milliseconds,
  PlatformInstance,
  Pool,
  Route,
} from '@hornbeampond/schema';
import type { ControllerEffect } from '../effects.js';
import type { ControllerEvent } from '../events.js';
import type { ControllerPolicy } from '../policy.js';
import { reduceController } from '../reduceController.js';
import { createControllerState, type ControllerState } from '../state.js';

type EventFields<Event> = Event extends ControllerEvent ? Omit<Event, 'now' | 'wallNow'> : never;

/** 11:00 in Vienna, in winter. */
const STARTED_AT = Date.UTC(2026, 0, 15, 10);

export const dataCentres = ['wien-a', 'wien-b', 'stpoelten', 'eisenstadt'];

export const appraisalRoute: Route = {
  name: 'appraisals',
  match: { pathPrefix: '/v1/chat/completions', workspaces: [] },
  pool: 'models',
  idempotent: true,
  priority: 5,
  limits: { inProgressPerWorkspace: 1000, workspaces: {} },
  timeZone: 'Europe/Vienna',
  deadline: { firstTokenMilliseconds: 2000, wholeAnswerMilliseconds: 20_000 },
  deadlinesByHour: [],
};

export const modelPool: Pool = {
  name: 'models',
  kind: 'modelEngine',
  dataCentres,
  instanceClasses: [
    { name: 'spot', eurosPerHour: 1, reclaimable: true, concurrency: 8 },
    { name: 'firm', eurosPerHour: 3, reclaimable: false, concurrency: 8 },
  ],
  least: 1,
  most: 20,
  model: 'appraiser',
  version: '1',
  checksFencing: true,
};

export function configure(pool: Pool, revision = 1): Configuration {
  return {
    revision,
    routes: { revision, rows: [appraisalRoute] },
    pools: { revision, rows: [pool] },
  };
}

export interface HarnessOptions {
  readonly pool?: Partial<Pool>;
  readonly policy?: Partial<ControllerPolicy>;
  readonly dataCentre?: string;
  readonly seed?: number;
}

export class ControllerHarness {
  readonly state: ControllerState;

  readonly pool: Pool;

  /** Every effect so far. */
  readonly effects: ControllerEffect[] = [];

  now = 0;

  constructor(options: HarnessOptions = {}) {
    const { dataCentre = 'wien-a', seed = 7, policy } = options;
    this.state = createControllerState({ dataCentre, seed, policy });
    this.pool = { ...modelPool, ...options.pool };
    this.tell({ type: 'configurationApplied', configuration: configure(this.pool) });
  }

  get wallNow(): number {
    return STARTED_AT + this.now;
  }

  tell(fields: EventFields<ControllerEvent>): ControllerEffect[] {
    const event = { ...fields, now: this.now, wallNow: this.wallNow } as ControllerEvent;
    const effects = reduceController(this.state, event);
    this.effects.push(...effects);
    return effects;
  }

  /** Moves time on by whole seconds, with a tick in each. */
  advance(span: Milliseconds): ControllerEffect[] {
    const effects: ControllerEffect[] = [];
    for (const end = this.now + span; this.now < end;) {
      this.now += 1000;
      effects.push(...this.tell({ type: 'tick' }));
    }
    return effects;
  }

  /** Takes the lease and waits until a new holder may buy. */
  hold(epoch = 1): void {
    this.hearPeers();
    this.tell({ type: 'leaseHeld', epoch, unfencedFrom: this.now });
    this.now += this.state.policy.takeoverPause;
    this.hearPeers();
  }

  /** The other data centres' controllers are heard; they have no demand of their own. */
  hearPeers(): void {
    this.pool.dataCentres.forEach((dataCentre) => {
      const report = { dataCentre, demand: [], closedOffers: [], serving: [] };
      this.tell({ type: 'peerReported', report });
    });
  }

  /** One entry reports demand; requests keep a place busy for a second. */
  demand(requestsPerSecond: number): void {
    const demand = [{ route: 'appraisals', requestsPerSecond, serviceMilliseconds: 1000 }];
    this.tell({ type: 'demandReported', entry: 'entry-1', demand });
  }

  list(...instances: readonly PlatformInstance[]): ControllerEffect[] {
    return this.tell({ type: 'platformListed', instances });
  }

  report(instance: string, fields: Partial<LoadReport> = {}): ControllerEffect[] {
    const measuredAt = this.wallNow;
    const report = { instance, measuredAt, running: 0, queued: 0, ...fields };
    return this.tell({ type: 'loadReported', report });
  }
}

/** A live row of the platform's list. */
export function row(
  instance: string,
  dataCentre = 'wien-a',
  fields: Partial<PlatformInstance> = {},
): PlatformInstance {
  return {
    instance,
    dataCentre,
    instanceClass: 'spot',
    pool: 'models',
    state: 'live',
    host: '10.0.0.1',
    port: 8000,
    ...fields,
  };
}

/** The effects of one type. */
export function pick<Type extends ControllerEffect['type']>(
  effects: readonly ControllerEffect[],
  type: Type,
): (ControllerEffect & { readonly type: Type })[] {
  return effects.filter(
    (effect): effect is ControllerEffect & { readonly type: Type } => effect.type === type,
  );
}

/** Names of the log events among the effects. */
export function logged(effects: readonly ControllerEffect[]): string[] {
  return pick(effects, 'log').map(({ event }) => event);
}
