/**
 * Drives one controller in virtual time for tests: it holds the clock, the tables and the simulated
 * surroundings, and turns them into events. It does not answer purchases and orders by itself,
 * except in `provisionPlan`, so a test decides which answers are lost.
 */
import type {
  Configuration,
  Milliseconds,
  PlatformInstance,
  Pool,
  Route,
} from '@hornbeampond/schema';
import type { ControllerEffect, SendOrderEffect } from '../effects.js';
import type { ControllerEvent, OrderOutcome, StartOutcome } from '../events.js';
import type { LoadedModel } from '../fleet/FleetInstance.js';
import type { ControllerPolicy } from '../policy.js';
import { reduceController } from '../reduceController.js';
import { createControllerState, type ControllerState } from '../state.js';

type EventFields<Event> = Event extends ControllerEvent ? Omit<Event, 'now' | 'wallNow'> : never;

/** 11:00 in Vienna, in winter. */
const START_WALL_TIME = Date.UTC(2026, 0, 15, 10);

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

/** Returns a configuration with the given pool and one route to it. */
export function makeConfiguration(pool: Pool, revision = 1): Configuration {
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

  now = 0;

  /** Request rate that the only entry of the own data centre reports. */
  requestsPerSecond = 0;

  /** Request rate that the controller of each data centre in the pool reports. */
  peerRequestsPerSecond = 0;

  /** The platform's list; undefined while it cannot be read. */
  listedInstances: PlatformInstance[] | undefined = [];

  /**
   * Models that engines of the own data centre report as loaded, by instance. Engines that are
   * missing here report none.
   */
  readonly loadedModels = new Map<string, LoadedModel>();

  /** Number of running calls by instance; 0 if missing. */
  readonly runningCalls = new Map<string, number>();

  /** How far the clocks of the backend servers are ahead of the controller's. */
  serverClockOffset: Milliseconds = 0;

  /** False while load reports are lost. */
  deliversLoadReports = true;

  /** False while the other data centres are partitioned. */
  peersReachable = true;

  constructor(options: HarnessOptions = {}) {
    const { dataCentre = 'wien-a', seed = 7, policy } = options;
    this.state = createControllerState({ dataCentre, seed, policy });
    this.pool = { ...modelPool, ...options.pool };
    this.dispatch({ type: 'configurationApplied', configuration: makeConfiguration(this.pool) });
  }

  get wallNow(): number {
    return START_WALL_TIME + this.now;
  }

  dispatch(fields: EventFields<ControllerEvent>): ControllerEffect[] {
    const event = { ...fields, now: this.now, wallNow: this.wallNow } as ControllerEvent;
    return reduceController(this.state, event);
  }

  /** Advances the clock in steps of a second; each step delivers all reports and then a tick. */
  advance(duration: Milliseconds): ControllerEffect[] {
    const effects: ControllerEffect[] = [];
    for (const end = this.now + duration; this.now < end;) {
      this.now += 1000;
      effects.push(...this.deliverReports(), ...this.dispatch({ type: 'tick' }));
    }
    return effects;
  }

  /** Acquires the lease and waits until a new holder may buy; returns the effects since then. */
  acquireLease(epoch = 1, unfencedFrom = this.now): ControllerEffect[] {
    this.deliverReports();
    const effects = this.dispatch({ type: 'leaseHeld', epoch, unfencedFrom });
    return [...effects, ...this.advance(this.state.policy.takeoverPurchaseDelay)];
  }

  /**
   * Acquires the lease, then lets the platform list exactly the instances that the plan wants, live
   * and with the model loaded, and answers the own purchases with them.
   */
  provisionPlan(): void {
    this.acquireLease();
    const places = this.state.plans.get(this.pool.name)?.places ?? [];
    this.listedInstances = places.flatMap(({ dataCentre, instanceClass, wanted }) =>
      Array.from({ length: wanted }, (_, number) =>
        makePlatformInstance(`${dataCentre}-${instanceClass}-${number}`, dataCentre, {
          instanceClass,
        }),
      ),
    );
    const { model, version } = this.pool;
    this.listedInstances.forEach(({ instance }) =>
      this.loadedModels.set(instance, { model, version }),
    );
    const ownInstances = this.listedInstances.filter(
      ({ dataCentre }) => dataCentre === this.state.dataCentre,
    );
    [...this.state.pendingStarts.values()].forEach(({ startToken, instanceClass }) => {
      const index = ownInstances.findIndex((listed) => listed.instanceClass === instanceClass);
      const [instance] = index < 0 ? [] : ownInstances.splice(index, 1);
      if (instance !== undefined) this.answerStart(startToken, { type: 'started', instance });
    });
    this.advance(60_000);
  }

  answerStart(startToken: string, outcome: StartOutcome): ControllerEffect[] {
    return this.dispatch({ type: 'startAnswered', startToken, outcome });
  }

  answerOrder(effect: SendOrderEffect, outcome: OrderOutcome): ControllerEffect[] {
    const { epoch, sequence } = effect.order;
    const { instance } = effect;
    return this.dispatch({ type: 'orderAnswered', instance, epoch, sequence, outcome });
  }

  private deliverReports(): ControllerEffect[] {
    const demand = [
      { route: 'appraisals', requestsPerSecond: this.requestsPerSecond, serviceMilliseconds: 1000 },
    ];
    if (this.requestsPerSecond > 0)
      this.dispatch({ type: 'demandReported', entry: 'entry-1', demand });
    if (this.peersReachable) this.deliverPeerReports();
    const { listedInstances } = this;
    if (listedInstances === undefined) return [];
    const effects = this.dispatch({ type: 'platformListed', instances: listedInstances });
    if (!this.deliversLoadReports) return effects;
    listedInstances
      .filter(({ dataCentre }) => dataCentre === this.state.dataCentre)
      .forEach(({ instance }) => this.deliverLoadReport(instance));
    return effects;
  }

  /** Delivers a report for each data centre, with its demand and its live instances in the list. */
  private deliverPeerReports(): void {
    this.pool.dataCentres.forEach((dataCentre) => {
      const instances = (this.listedInstances ?? []).filter(
        (listed) => listed.dataCentre === dataCentre && listed.state === 'live',
      ).length;
      const slots = 8 * instances;
      const serving = [{ pool: this.pool.name, instances, slots, reclaimableSlots: slots }];
      const demand = [
        {
          route: 'appraisals',
          requestsPerSecond: this.peerRequestsPerSecond,
          serviceMilliseconds: 1000,
        },
      ];
      const report = { dataCentre, demand, closedOffers: [], serving };
      this.dispatch({ type: 'peerReported', report });
    });
  }

  private deliverLoadReport(instance: string): void {
    const callCount = this.runningCalls.get(instance) ?? 0;
    const measuredAt = this.wallNow + this.serverClockOffset;
    const report = {
      instance,
      measuredAt,
      running: callCount,
      queued: 0,
      ...this.loadedModels.get(instance),
    };
    this.dispatch({ type: 'loadReported', report });
  }
}

/** Returns a live instance as the platform lists it. */
export function makePlatformInstance(
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

/** Returns the effects of one type. */
export function effectsOfType<Type extends ControllerEffect['type']>(
  effects: readonly ControllerEffect[],
  type: Type,
): (ControllerEffect & { readonly type: Type })[] {
  return effects.filter(
    (effect): effect is ControllerEffect & { readonly type: Type } => effect.type === type,
  );
}

/** Returns the names of the log events among the effects. */
export function listLogEvents(effects: readonly ControllerEffect[]): string[] {
  return effectsOfType(effects, 'log').map(({ event }) => event);
}

/** Returns the places of the start effects, such as `wien-a/spot`, sorted. */
export function listStartPlaces(effects: readonly ControllerEffect[]): string[] {
  return effectsOfType(effects, 'startInstance')
    .map(({ dataCentre, instanceClass }) => `${dataCentre}/${instanceClass}`)
    .sort();
}
