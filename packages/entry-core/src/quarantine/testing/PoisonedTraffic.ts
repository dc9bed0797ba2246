/**
 * Traffic of which some requests hold a part that crashes each engine which begins to write an answer
 * on it. No two requests are alike, sound ones hold the other parts in the same places, and an engine
 * that has crashed is replaced by one with another name.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Milliseconds } from '@hornbeampond/schema';
import { makeRequest, SimulatedCluster, type SimulatedEngine } from '../../driver/index.js';
import { makeConfiguration } from '../../driver/fixtures.js';
import type { CallerRecord } from '../../driver/SimulatedEntry.js';

const STEP_MILLISECONDS: Milliseconds = 10;

/** An engine that has crashed is listed for so long, and replaced after as long again. */
const LISTED_AFTER_CRASH_MILLISECONDS: Milliseconds = 1500;

/** Callers who got no first token within this time have not been served. */
const BEGUN_WITHIN_MILLISECONDS: Milliseconds = 2000;

export const POISON_PART = 'poison';

/** The parts of sound prompts by place: all hold the first one, and fewer share the later ones. */
const PARTS_IN_PLACE = [1, 5, 25] as const;

export interface PoisonedTrafficOptions {
  readonly entries: number;
  readonly enginesPerDataCentre: number;
  readonly requestsPerSecond: number;
  /** One in so many requests holds the part. */
  readonly poisonEvery: number;
  /** The place of the part, from 0; the last place belongs to the request. */
  readonly place: number;
  readonly isIdempotent: boolean;
  readonly seed: number;
  /** The parts that crash engines; only that in the options above by default. */
  readonly poisonParts?: readonly string[];
}

function makeTables(isIdempotent: boolean) {
  const tables = makeConfiguration(60_000, 5000);
  const rows = tables.routes.rows.map((route) =>
    route.name === 'chat' ? { ...route, idempotent: isIdempotent, claimed: false } : route,
  );
  return { ...tables, routes: { ...tables.routes, rows } };
}

export class PoisonedTraffic {
  readonly cluster: SimulatedCluster;

  /** When engines have crashed, in order. */
  readonly crashes: Milliseconds[] = [];

  private readonly random: RandomGenerator;

  private readonly allEngines = new Set<SimulatedEngine>();

  private readonly deathsSeen = new Map<SimulatedEngine, number>();

  private sent = 0;

  private replaced = 0;

  constructor(private readonly options: PoisonedTrafficOptions) {
    const { entries, enginesPerDataCentre: count, isIdempotent, seed } = options;
    this.random = xoroshiro128plus(seed);
    this.cluster = new SimulatedCluster({
      engines: { 'wien-a': count, 'wien-b': count },
      entries,
      reportsThroughStore: true,
      configuration: makeTables(isIdempotent),
    });
    this.watchEngines();
    this.cluster.advance(1500);
  }

  /** When the n-th engine crashed, counted from 1; infinite if fewer have. */
  timeOfCrash(number: number): Milliseconds {
    return this.crashes[number - 1] ?? Infinity;
  }

  /** Requests with the part, and repeats of them, that reached engines later than a time. */
  countPoisonArrivals(after: Milliseconds, part = POISON_PART): number {
    return [...this.allEngines]
      .flatMap(({ arrivals }) => arrivals)
      .filter(({ at, attemptId }) => at > after && attemptId.startsWith(`${part}-`)).length;
  }

  /** Fraction of the sound callers who arrived in a time that were served soon. */
  fractionBegun(from: Milliseconds, until: Milliseconds): number {
    const sound = this.cluster
      .callers()
      .filter(({ request }) => request.requestId.startsWith('sound-'))
      .filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < until);
    const begun = sound.filter(
      ({ arrivedAt, firstTokenAt = Infinity }) =>
        firstTokenAt - arrivedAt <= BEGUN_WITHIN_MILLISECONDS,
    );
    return begun.length / sound.length;
  }

  /** Callers of sound requests that were told that theirs are quarantined. */
  get wronglyQuarantined(): CallerRecord[] {
    return this.cluster
      .callers()
      .filter(({ request }) => request.requestId.startsWith('sound-'))
      .filter(({ finalAnswers: [answer] }) =>
        answer?.type === 'problem' ? answer.kind === 'quarantined' : false,
      );
  }

  /** @param isPoisoned - False for sound requests only. */
  run(duration: Milliseconds, isPoisoned: boolean): void {
    const { requestsPerSecond } = this.options;
    const { now: start } = this.cluster.clock();
    const before = this.sent;
    for (let elapsed = 0; elapsed < duration; elapsed += STEP_MILLISECONDS) {
      while (this.sent - before < (elapsed / 1000) * requestsPerSecond) this.send(isPoisoned);
      this.cluster.advance(STEP_MILLISECONDS);
      this.replaceCrashedEngines();
    }
    if (this.cluster.clock().now < start + duration) throw new Error('time did not advance');
  }

  private send(isPoisoned: boolean): void {
    const { entries, poisonEvery, poisonParts = [POISON_PART] } = this.options;
    this.sent += 1;
    const isPoison = isPoisoned && uniformInt(this.random, 1, poisonEvery) === 1;
    const part = poisonParts[uniformInt(this.random, 0, poisonParts.length - 1)] ?? POISON_PART;
    const name = `${isPoison ? part : 'sound'}-${this.sent}`;
    const entry = this.cluster.entryAt(uniformInt(this.random, 0, entries - 1));
    const sharedParts = this.drawParts(isPoison ? part : undefined);
    entry.submitRequest(makeRequest(name, { sharedParts, maxTokens: 60 }));
  }

  private drawParts(poison: string | undefined): string[] {
    const parts = PARTS_IN_PLACE.map(
      (count, place) => `part-${place}-${uniformInt(this.random, 1, count)}`,
    );
    if (poison !== undefined) parts[this.options.place] = poison;
    return parts;
  }

  private watchEngines(): void {
    const poisonParts = new Set(this.options.poisonParts ?? [POISON_PART]);
    this.cluster.engines.forEach((engine) => {
      this.allEngines.add(engine);
      Object.assign(engine, { poisonParts });
    });
  }

  private replaceCrashedEngines(): void {
    const { now } = this.cluster.clock();
    this.allEngines.forEach((engine) => {
      if (engine.deaths === (this.deathsSeen.get(engine) ?? 0)) return;
      this.deathsSeen.set(engine, engine.deaths);
      this.crashes.push(now);
      this.cluster.schedule(LISTED_AFTER_CRASH_MILLISECONDS, () =>
        this.cluster.publishAliveEngines(),
      );
      this.cluster.schedule(2 * LISTED_AFTER_CRASH_MILLISECONDS, () => this.replace(engine));
    });
  }

  private replace({ dataCentre }: SimulatedEngine): void {
    this.replaced += 1;
    this.cluster.addEngine(`${dataCentre}-replacement-${this.replaced}`, dataCentre);
    this.watchEngines();
  }
}
