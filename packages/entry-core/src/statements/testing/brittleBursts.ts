/** Bursts of callers against backend servers that fall over when they have to reject too often. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { SimulatedCluster, type SimulatedEngine } from '../../driver/index.js';
import { runLoad } from './runLoad.js';

const STEP_MILLISECONDS = 250;
const SETTLING_MILLISECONDS = 3000;
const BRITTLE_MILLISECONDS = 9000;
const BACK_AFTER_MILLISECONDS = 4000;

/** What an engine runs at a time, and how many may wait at first. */
export const CONCURRENCY = 32;
const MAX_WAITING = 8;

export const SURVIVED_REJECTIONS = 3;

/** Twice what the engines can serve in the long run, and three times as much in every fourth step. */
const REQUESTS_PER_SECOND_AND_ENGINE = 50;
const BURST_FACTOR = 3;

/** How the reports of the entries reach each other. */
const reportPaths = ['soon', 'late', 'inTransit', 'cutOff'] as const;

/** With `cutOffBefore`, no entry hears from another that servers say that they are brittle. */
export type ReportPath = (typeof reportPaths)[number] | 'cutOffBefore';

/** Between two digests, where they are late: five times what is usual. */
const LATE_DIGEST_MILLISECONDS = 250;

/** How long digests are under way to an entry on a full link, or wait unread in a busy one. */
const TRANSIT_MILLISECONDS = 750;

const CUT_FROM_MILLISECONDS = 4000;
const CUT_UNTIL_MILLISECONDS = 8000;

/** A reclaimed engine leaves after its notice; the one that replaces it takes as long to start. */
const REPLACEMENT_INTERVAL_MILLISECONDS = 1250;
const REPLACEMENT_MILLISECONDS = 1000;

interface BrittleTime {
  readonly entries: number;
  readonly enginesPerDataCentre: number;
  readonly reports: ReportPath;
  readonly seed: number;
  /** True if engines are reclaimed one after the other, and others with new names start for them. */
  readonly areReplaced?: boolean;
  /** Part of the slots for which there is room, as where prompts fill the memory; 1 by default. */
  readonly roomFraction?: number;
}

/** Engines of which one is replaced from time to time by another with a new name. */
class ReplacedEngines {
  private readonly leaving = new Set<string>();

  private dueAt = 0;

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly random: RandomGenerator,
    private readonly onStart: (engine: SimulatedEngine) => void,
  ) {}

  advance(): void {
    const { now } = this.cluster.clock();
    if (now < this.dueAt) return;
    this.dueAt = now + REPLACEMENT_INTERVAL_MILLISECONDS;
    const staying = [...this.cluster.engines.values()].filter(
      ({ alive, instance }) => alive && !this.leaving.has(instance),
    );
    const replaced = staying[uniformInt(this.random, 0, staying.length - 1)];
    if (replaced !== undefined) this.replace(replaced);
  }

  /** Engines that have fallen over come back, those that were reclaimed do not. */
  returns({ instance }: SimulatedEngine): boolean {
    return !this.leaving.has(instance);
  }

  private replace({ instance, dataCentre }: SimulatedEngine): void {
    this.leaving.add(instance);
    this.cluster.reclaimByPlatformList([instance], REPLACEMENT_MILLISECONDS);
    const successor = `${dataCentre}-successor-${this.leaving.size}`;
    this.cluster.startEngine(successor, dataCentre, REPLACEMENT_MILLISECONDS);
    this.cluster.schedule(REPLACEMENT_MILLISECONDS, () =>
      this.onStart(this.cluster.engine(successor)),
    );
  }
}

/** Restarts engines some seconds after they have fallen over. */
function restartFallen(
  cluster: SimulatedCluster,
  returns: (engine: SimulatedEngine) => boolean,
): void {
  const { now } = cluster.clock();
  [...cluster.engines.values()].filter(returns).forEach((engine) => {
    const fellAt = engine.fellAt.at(-1);
    if (engine.alive || fellAt === undefined) return;
    if (now - fellAt > BACK_AFTER_MILLISECONDS) Object.assign(engine, { alive: true });
  });
}

/**
 * Runs bursts of callers against engines that say that they are brittle, and let fewer and fewer wait
 * from three seconds later on. Returns how often they fall over.
 */
export function countFalls({
  entries,
  enginesPerDataCentre,
  reports,
  seed,
  areReplaced = false,
  roomFraction = 1,
}: BrittleTime): number {
  const random = xoroshiro128plus(seed);
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': enginesPerDataCentre, 'wien-b': enginesPerDataCentre },
    entries,
    reportsThroughStore: true,
    ...(reports === 'late' ? { digestDelayMilliseconds: LATE_DIGEST_MILLISECONDS } : {}),
  });
  if (cluster.reportStore !== undefined && reports === 'inTransit') {
    cluster.reportStore.transitDelay = TRANSIT_MILLISECONDS;
  }
  cluster.advance(1500);
  const listEngines = () => [...cluster.engines.values()];
  const engineCount = listEngines().length;
  let room = Infinity;
  const setRoom = (engine: SimulatedEngine) =>
    Object.assign(engine, { survivedRejections: SURVIVED_REJECTIONS, room });
  const replaced = new ReplacedEngines(cluster, random, setRoom);
  const runStep = () => {
    const factor = uniformInt(random, 0, 3) === 0 ? BURST_FACTOR : 1;
    const requestsPerSecond = engineCount * REQUESTS_PER_SECOND_AND_ENGINE * factor;
    if (areReplaced) replaced.advance();
    runLoad(cluster, { requestsPerSecond, duration: STEP_MILLISECONDS });
    restartFallen(cluster, (engine) => replaced.returns(engine));
  };
  if (cluster.reportStore !== undefined && reports === 'cutOffBefore') {
    cluster.reportStore.isSilent = true;
    runStep();
  }
  listEngines().forEach(setRoom);
  for (let elapsed = 0; elapsed < SETTLING_MILLISECONDS; elapsed += STEP_MILLISECONDS) runStep();
  for (let elapsed = 0; elapsed < BRITTLE_MILLISECONDS; elapsed += STEP_MILLISECONDS) {
    // Fewer and fewer may wait, while requests are under way.
    const waiting = Math.max(1, MAX_WAITING - Math.floor(elapsed / 1000));
    room = Math.floor(CONCURRENCY * roomFraction) + waiting;
    listEngines().forEach(setRoom);
    const isCut = elapsed >= CUT_FROM_MILLISECONDS && elapsed < CUT_UNTIL_MILLISECONDS;
    if (cluster.reportStore !== undefined && reports === 'cutOff') {
      cluster.reportStore.isSilent = isCut;
    }
    if (cluster.reportStore !== undefined && reports === 'cutOffBefore') {
      cluster.reportStore.isSilent = elapsed < CUT_FROM_MILLISECONDS;
    }
    runStep();
  }
  return listEngines().reduce((sum, { fellAt }) => sum + fellAt.length, 0);
}

export interface BrittleBursts {
  readonly entries: number;
  readonly enginesPerDataCentre: number;
  readonly seeds: readonly number[];
}

/** Defines a test for each way in which reports reach the entries. */
export function testBrittleBursts(
  { entries, enginesPerDataCentre, seeds }: BrittleBursts,
  paths: readonly ReportPath[] = reportPaths,
): void {
  paths.forEach((reports) => {
    // Guards against entries that together send what none of them would send alone, and against servers that
    // are flooded when they are back.
    test(`brittle servers stay up in bursts (${entries} entries, reports ${reports})`, () => {
      const tolerated = 2 + (2 * enginesPerDataCentre) / 10;
      seeds.forEach((seed) => {
        const falls = countFalls({ entries, enginesPerDataCentre, reports, seed });
        assert.ok(
          falls <= tolerated,
          `${falls} falls with seed ${seed}, ${tolerated} are tolerated`,
        );
      });
    });
  });
}
