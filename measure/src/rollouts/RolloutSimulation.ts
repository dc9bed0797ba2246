/**
 * Simulates the roll-outs of one scenario: callers, instances and faults are drawn from its seed, and
 * everything that decides is the real code of entries, processes and log.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { RequestState } from '@hornbeampond/entry-core';
import { findRollout, type Milliseconds, type PlatformInstance } from '@hornbeampond/schema';
import { VirtualTimeline } from '@hornbeampond/testing';
import { DutyProcesses } from './DutyProcesses.js';
import type { RolloutOutcome, RolloutScenario, SimulatedService } from './RolloutScenario.js';
import { SimulatedEntry, type SimulatedAnswer } from './SimulatedEntry.js';

const FIRST_SHARE = 0.075;
const STEP: Milliseconds = 10;
const REPORT_DELAY: Milliseconds = 100;
const LIST_DELAY: Milliseconds = 500;
const REPORT_CHECK: Milliseconds = 50;

/** Requests before the roll-out, from which entries know the usual delays. */
const WARM_UP: Milliseconds = 5000;

/** Requests go on after the end until all entries know of it. */
const AFTER_END: Milliseconds = 1000;

const INSTANCES_OF_EACH_VERSION = 8;
const BAD_ANSWERS_OF_INTEREST = 50;
const SLOW_ENTRIES_EVERY = 4;

/** Standard deviation of the logarithm of a delay. */
const DELAY_SPREAD = 0.4;

/** Share of the instances that are slowed by other software at any time, and by how much. */
const SLOWED_SHARE = 1 / 7;
const SLOWED_FACTOR = 2.5;
const SLOWED_PERIOD: Milliseconds = 600;

/** Factor of a prompt whose prefix the instance has not cached, and the number of prefixes. */
const COLD_FACTOR = 1.8;
const PREFIXES = 5;

interface SimulatedRoute {
  readonly name: string;
  readonly share: number;
  readonly usualDelay: Milliseconds;
  /** Longest time from the first token to the last. */
  readonly streamDuration: Milliseconds;
}

export const STREAM_ROUTE = 'chat';
export const CALL_ROUTE = 'appraisal';

const routes: readonly SimulatedRoute[] = [
  { name: STREAM_ROUTE, share: 0.25, usualDelay: 300, streamDuration: 1500 },
  { name: CALL_ROUTE, share: 0.75, usualDelay: 45, streamDuration: 0 },
];

interface ServiceTally {
  exposure: number;
  total: number;
  badAnswers: number;
  fiftiethAt: number | undefined;
  endedAt: number | undefined;
}

export class RolloutSimulation {
  private readonly timeline = new VirtualTimeline();

  private readonly random: RandomGenerator;

  private readonly duty: DutyProcesses;

  private entries: SimulatedEntry[];

  private instances: readonly PlatformInstance[];

  private readonly tallies = new Map<string, ServiceTally>();

  private readonly warmPrefixes = new Set<string>();

  /** Requests of a part of a step that are still to come, by pool. */
  private readonly dueRequests = new Map<string, number>();

  private hasPower = true;

  private movedRoute: string | undefined;

  /** Whether an instance is slowed in a period. */
  private readonly slowed = new Map<string, boolean>();

  constructor(private readonly scenario: RolloutScenario) {
    this.random = xoroshiro128plus(scenario.seed);
    const pools = scenario.services.map(({ pool }) => pool);
    this.duty = new DutyProcesses(
      this.timeline,
      (configuration) => this.entries.forEach((entry) => entry.applyConfiguration(configuration)),
      pools,
    );
    this.instances = pools.flatMap((pool) => this.makeInstances(pool, 'v1', 'a'));
    this.entries = this.startEntries();
    pools.forEach((pool) =>
      this.tallies.set(pool, {
        exposure: 0,
        total: 0,
        badAnswers: 0,
        fiftiethAt: undefined,
        endedAt: undefined,
      }),
    );
    this.timeline.every(REPORT_CHECK, () => this.entries.forEach((entry) => entry.report()));
  }

  run(): RolloutOutcome[] {
    const { duration, services } = this.scenario;
    const end = WARM_UP + duration;
    let stopAt = end;
    this.timeline.after(WARM_UP, () => this.startRollouts());
    this.scheduleFault();
    while (this.timeline.now < Math.min(end, stopAt)) {
      services.forEach((service) => this.serve(service));
      this.timeline.runUntil(this.timeline.now + STEP);
      this.recordEnds();
      const areOver = [...this.tallies.values()].every(({ endedAt }) => endedAt !== undefined);
      if (areOver && stopAt === end) stopAt = this.timeline.now + AFTER_END;
    }
    // All requests until the deadline count, also those after the end.
    const left = (end - this.timeline.now) / 1000;
    return services.map((service) => this.describe(service, Math.max(0, left)));
  }

  private describe(service: SimulatedService, secondsLeft: number): RolloutOutcome {
    const { pool, perSecond } = service;
    const tally = this.tallyOf(pool);
    const rollout = findRollout(this.duty.configuration.rollouts, pool);
    const endedAt = tally.endedAt ?? this.timeline.now;
    return {
      pool,
      phase: rollout?.phase ?? 'running',
      elapsed: endedAt - WARM_UP,
      exposure: tally.exposure,
      total: tally.total + perSecond * secondsLeft,
      badAnswers: tally.badAnswers,
      afterFiftieth:
        tally.fiftiethAt === undefined ? undefined : Math.max(0, endedAt - tally.fiftiethAt),
    };
  }

  private tallyOf(pool: string): ServiceTally {
    return this.tallies.get(pool) as ServiceTally;
  }

  private startRollouts(): void {
    const { duration, services } = this.scenario;
    // The platform starts the instances of the new version with the order.
    this.list([
      ...this.instances,
      ...services.flatMap(({ pool }) => this.makeInstances(pool, 'v2', 'a')),
    ]);
    services.forEach(({ pool }) =>
      this.duty.propose({
        type: 'startRollout',
        pool,
        version: 'v2',
        duration,
        share: FIRST_SHARE,
      }),
    );
  }

  private recordEnds(): void {
    this.tallies.forEach((tally, pool) => {
      const rollout = findRollout(this.duty.configuration.rollouts, pool);
      const hasEnded = rollout !== undefined && rollout.phase !== 'running';
      if (hasEnded) tally.endedAt ??= this.timeline.now;
    });
  }

  private makeInstances(pool: string, version: string, generation: string): PlatformInstance[] {
    return Array.from({ length: INSTANCES_OF_EACH_VERSION }, (_, number) => ({
      instance: `${pool}-${version}-${generation}${number}`,
      dataCentre: 'dc-a',
      instanceClass: 'large',
      pool,
      state: 'live' as const,
      host: '192.0.2.1',
      port: 8000,
      version,
    }));
  }

  private startEntries(): SimulatedEntry[] {
    const { fault } = this.scenario;
    const areSomeSlow = fault?.type === 'slowEntries';
    const entries = Array.from({ length: this.scenario.entries }, (_, number) => {
      const isSlow = areSomeSlow && number % SLOW_ENTRIES_EVERY === 0;
      return new SimulatedEntry(this.timeline, number, isSlow, (report) => {
        if (this.duty.isPartitioned && number % 2 === 0) return;
        this.timeline.after(REPORT_DELAY, () => this.duty.receiveReport(report));
      });
    });
    const { configuration } = this.duty;
    entries.forEach((entry) => {
      entry.applyConfiguration(configuration);
      entry.applyInstances(this.instances);
    });
    return entries;
  }

  private list(instances: readonly PlatformInstance[]): void {
    this.instances = instances;
    this.timeline.after(LIST_DELAY, () =>
      this.entries.forEach((entry) => entry.applyInstances(instances)),
    );
  }

  private scheduleFault(): void {
    const { fault, duration } = this.scenario;
    if (fault === undefined) return;
    const at = (fraction: number, run: () => void) =>
      this.timeline.after(WARM_UP + fraction * duration, run);
    switch (fault.type) {
      case 'holderKilled':
        this.duty.killAtStep = fault;
        break;
      case 'powerLost':
        at(fault.at, () => this.losePower(fault.length));
        break;
      case 'storesPartitioned':
        at(fault.at, () => {
          this.duty.isPartitioned = true;
          this.timeline.after(fault.length, () => {
            this.duty.isPartitioned = false;
          });
        });
        break;
      case 'newInstancesReclaimed':
        at(fault.at, () => this.replace(({ version }) => version === 'v2', fault.length));
        break;
      case 'poolReplaced':
        at(fault.at, () =>
          this.replace(({ instance }) => Number(instance.at(-1)) % 2 === 0, fault.length),
        );
        break;
      case 'routeMoved':
        at(fault.at, () => {
          this.movedRoute = fault.route;
        });
        break;
      default:
    }
  }

  private losePower(length: Milliseconds): void {
    this.hasPower = false;
    this.entries.forEach((entry) => entry.stop());
    this.entries = [];
    this.timeline.after(length, () => {
      this.hasPower = true;
      this.duty.restart();
      this.entries = this.startEntries();
    });
  }

  /** These instances go away; after a while as many come under other names. */
  private replace(isReplaced: (instance: PlatformInstance) => boolean, length: Milliseconds): void {
    const replaced = this.instances.filter(isReplaced);
    const kept = this.instances.filter((instance) => !isReplaced(instance));
    this.list(kept);
    this.timeline.after(length, () =>
      this.list([
        ...kept,
        ...replaced.map((old) => ({ ...old, instance: old.instance.replace(/-a(\d)$/, '-b$1') })),
      ]),
    );
  }

  private serve(service: SimulatedService): void {
    if (!this.hasPower) return;
    const due = (this.dueRequests.get(service.pool) ?? 0) + (service.perSecond * STEP) / 1000;
    const count = Math.floor(due);
    this.dueRequests.set(service.pool, due - count);
    for (let request = 0; request < count; request += 1) this.sendRequest(service);
  }

  private sendRequest(service: SimulatedService): void {
    const [stream, call] = routes as readonly [SimulatedRoute, SimulatedRoute];
    const route = this.draw() < stream.share ? stream : call;
    if (route.name === this.movedRoute) return;
    const entry = this.entries[uniformInt(this.random, 0, this.entries.length - 1)];
    const request = {
      pool: { name: service.pool },
      route: { name: route.name },
      triedInstances: new Set(),
    } as unknown as RequestState;
    if (this.timeline.now >= WARM_UP) this.tallyOf(service.pool).total += 1;
    if (entry !== undefined) this.sendAttempt(service, entry, request, route);
  }

  private sendAttempt(
    service: SimulatedService,
    entry: SimulatedEntry,
    request: RequestState,
    route: SimulatedRoute,
  ): void {
    const allowed = entry.listAllowed(request);
    const instance = allowed[uniformInt(this.random, 0, allowed.length - 1)];
    if (instance === undefined) return;
    const isNext = instance.includes('-v2-');
    const tally = this.tallyOf(service.pool);
    if (isNext) tally.exposure += 1;
    const isBadNow = isNext && this.isBad(service, route);
    const answer = this.drawAnswer(service, instance, route, isBadNow);
    const isBadAnswer = isBadNow && (answer.isFailure || service.version.slowFactor !== undefined);
    entry.sendAttempt(request, instance, answer, () => {
      if (isBadAnswer && tally.endedAt === undefined) {
        tally.badAnswers += 1;
        if (tally.badAnswers === BAD_ANSWERS_OF_INTEREST) tally.fiftiethAt = this.timeline.now;
      }
      if (answer.isFailure && isNext) this.sendAttempt(service, entry, request, route);
    });
  }

  private isBad({ pool, version }: SimulatedService, route: SimulatedRoute): boolean {
    const { badFrom = 0, badFromShare = 0, badOnlyOn = route.name } = version;
    const share = findRollout(this.duty.configuration.rollouts, pool)?.share ?? 0;
    return (
      this.timeline.now - WARM_UP >= badFrom && share >= badFromShare && route.name === badOnlyOn
    );
  }

  private drawAnswer(
    { version, usualFailureShare }: SimulatedService,
    instance: string,
    route: SimulatedRoute,
    isBad: boolean,
  ): SimulatedAnswer {
    const failureShare = Math.max(usualFailureShare, isBad ? version.failureShare : 0);
    const slowFactor = isBad ? (version.slowFactor ?? 1) : 1;
    const firstTokenAfter =
      route.usualDelay * slowFactor * this.drawSpread() * this.findHostFactor(instance, route);
    return {
      firstTokenAfter,
      finishedAfter: firstTokenAfter + route.streamDuration * this.draw(),
      isFailure: this.draw() < failureShare,
    };
  }

  /** Log-normal, with a mean of 1. */
  private drawSpread(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.draw()));
    const normal = radius * Math.cos(2 * Math.PI * this.draw());
    return Math.exp(DELAY_SPREAD * normal - DELAY_SPREAD ** 2 / 2);
  }

  private findHostFactor(instance: string, route: SimulatedRoute): number {
    const prefix = `${instance} ${route.name} ${uniformInt(this.random, 1, PREFIXES)}`;
    const isCold = route.name === STREAM_ROUTE && !this.warmPrefixes.has(prefix);
    this.warmPrefixes.add(prefix);
    const isSlowed = this.isSlowed(instance, Math.floor(this.timeline.now / SLOWED_PERIOD));
    return (isCold ? COLD_FACTOR : 1) * (isSlowed ? SLOWED_FACTOR : 1);
  }

  private isSlowed(instance: string, period: number): boolean {
    const key = `${instance} ${period}`;
    const known = this.slowed.get(key) ?? this.draw() < SLOWED_SHARE;
    this.slowed.set(key, known);
    return known;
  }

  private draw(): number {
    return uniformFloat64(this.random);
  }
}
