/**
 * Callers who take up their streams while entries and backend servers of two versions are lost at
 * random, checked against what must always hold.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import {
  expectedAnswer,
  makeRequest,
  SimulatedCluster,
  type CallerRecord,
} from '../driver/index.js';

const SEEDS = 40;
const VERSIONS = ['v1', 'v2'];
const ENTRIES = 3;
const STREAMS = 120;
const DURATION_MILLISECONDS = 12_000;
const STEP_MILLISECONDS = 10;
const MAX_TRIES = 4;

/** A caller waits this long after a broken connection, and no longer than this after a refusal. */
const RETURN_DELAY_MILLISECONDS = 50;
const MAX_RETRY_DELAY_MILLISECONDS = 3000;

const REPLACEMENT_DELAY_MILLISECONDS = 2500;
const RESTART_DELAY_MILLISECONDS = 600;

const LIST_INTERVAL_MILLISECONDS = 1000;
const UPGRADE_INTERVAL_MILLISECONDS = 400;
const START_DURATION_MILLISECONDS = 4000;
const MAX_CUT_MILLISECONDS = 8000;

/** One caller with all its requests for one stream. */
interface StreamCaller {
  record: CallerRecord;
  tries: number;
  returnsAt: number | undefined;
}

interface Counts {
  readonly offered: number;
  readonly served: number;
}

interface Plan {
  /** Versions at the start. */
  readonly versions: readonly string[];
  readonly schedule: (day: RandomDay) => void;
}

class RandomDay {
  private readonly generator;

  private readonly cluster: SimulatedCluster;

  private readonly callers: StreamCaller[] = [];

  /** Requests for the rest of a stream, at times when two servers of its version ran. */
  private readonly takenUp: { readonly record: CallerRecord; readonly tokensBefore: number }[] = [];

  private readonly first: CallerRecord[] = [];

  private engineCount = 0;

  constructor(
    seed: number,
    private readonly plan: Plan,
  ) {
    this.generator = xoroshiro128plus(seed);
    this.cluster = new SimulatedCluster({
      engines: { 'wien-a': 4, 'wien-b': 4 },
      versions: plan.versions,
      entries: ENTRIES,
      listIntervalMilliseconds: LIST_INTERVAL_MILLISECONDS,
    });
  }

  run(): void {
    this.plan.schedule(this);
    for (let number = 0; number < STREAMS; number += 1) {
      const at = this.drawBelow(DURATION_MILLISECONDS);
      this.cluster.schedule(at, () => this.addCaller(number));
    }
    const steps = (DURATION_MILLISECONDS * 2) / STEP_MILLISECONDS;
    for (let step = 0; step < steps; step += 1) {
      this.cluster.advance(STEP_MILLISECONDS);
      this.callers.forEach((caller) => this.returnIfDue(caller));
    }
  }

  listViolations(): string[] {
    return this.callers.flatMap(({ record: { request, tokens, versions } }) => [
      ...(versions.size > 1 ? [`${request.requestId} got several versions`] : []),
      ...(expectedAnswer(request).startsWith(tokens.join(''))
        ? []
        : [`${request.requestId} got a gap or a repetition`]),
    ]);
  }

  countBegun(): Counts {
    const served = this.first.filter(({ tokens }) => tokens.length > 0).length;
    return { offered: this.first.length, served };
  }

  countTakenUp(): Counts {
    const served = this.takenUp.filter(
      ({ record, tokensBefore }) => record.tokens.length > tokensBefore,
    ).length;
    return { offered: this.takenUp.length, served };
  }

  private draw(): number {
    return uniformFloat64(this.generator);
  }

  private drawBelow(limit: number): number {
    return Math.floor(this.draw() * limit);
  }

  private drawEntry(): number | undefined {
    const alive = this.cluster.entries.flatMap(({ alive: isAlive }, position) =>
      isAlive ? [position] : [],
    );
    return alive[this.drawBelow(alive.length)];
  }

  private addCaller(number: number): void {
    const entry = this.drawEntry();
    if (entry === undefined) return;
    const maxTokens = 60 + this.drawBelow(200);
    const request = makeRequest(`stream-${number}`, { maxTokens });
    const record = this.cluster.entryAt(entry).submitRequest(request);
    this.first.push(record);
    this.callers.push({ record, tries: 1, returnsAt: undefined });
  }

  private returnIfDue(caller: StreamCaller): void {
    const [end] = caller.record.finalAnswers;
    if (end === undefined || end.type === 'whole' || caller.tries >= MAX_TRIES) return;
    const { now } = this.cluster.clock();
    const retryAfter = end.type === 'problem' ? (end.retryAfterMilliseconds ?? 0) : 0;
    const delay = Math.max(RETURN_DELAY_MILLISECONDS, retryAfter);
    caller.returnsAt ??= now + Math.min(delay, MAX_RETRY_DELAY_MILLISECONDS);
    if (caller.returnsAt > now) return;
    const entry = this.drawEntry();
    if (entry === undefined) return;
    this.takeUp(caller, entry);
  }

  private takeUp(caller: StreamCaller, position: number): void {
    const { record } = caller;
    const entry = this.cluster.entryAt(position);
    const name = `${record.request.requestId}+`;
    caller.tries += 1;
    caller.returnsAt = undefined;
    if (record.tokens.length === 0) {
      caller.record = entry.submitRequest({ ...record.request, requestId: name });
      return;
    }
    caller.record = entry.takeUp(record, name);
    const [version = ''] = record.versions;
    if (this.countRunning(version) >= 2) {
      this.takenUp.push({ record: caller.record, tokensBefore: record.tokens.length });
    }
  }

  private countRunning(version: string): number {
    return [...this.cluster.engines.values()].filter(
      (engine) => engine.alive && engine.version === version,
    ).length;
  }

  /** Engines of the first version are replaced by ones of the second, while entries are out of touch. */
  scheduleUpgrade(): void {
    const upgradeAt = UPGRADE_INTERVAL_MILLISECONDS + this.drawBelow(DURATION_MILLISECONDS / 3);
    [...this.cluster.engines.keys()].forEach((instance, position) => {
      const at = upgradeAt + position * UPGRADE_INTERVAL_MILLISECONDS;
      this.cluster.schedule(at, () => this.upgrade(instance));
    });
    // One entry stays in touch and begins streams at the new version; the others do not learn of it.
    for (let position = 1; position < ENTRIES; position += 1) {
      const from = upgradeAt - this.drawBelow(UPGRADE_INTERVAL_MILLISECONDS);
      const duration = START_DURATION_MILLISECONDS + this.drawBelow(MAX_CUT_MILLISECONDS);
      this.cluster.schedule(from, () => this.setInTouch(position, false));
      this.cluster.schedule(from + duration, () => this.setInTouch(position, true));
    }
    for (let count = 0; count < 4; count += 1) {
      const at = upgradeAt + START_DURATION_MILLISECONDS + this.drawBelow(MAX_CUT_MILLISECONDS);
      this.cluster.schedule(at, () => this.killEntry());
    }
  }

  private upgrade(instance: string): void {
    const { dataCentre } = this.cluster.engine(instance);
    const name = `${instance}-next`;
    this.cluster.startEngine(name, dataCentre, START_DURATION_MILLISECONDS, 'v2');
    this.cluster.schedule(START_DURATION_MILLISECONDS, () =>
      this.cluster.reclaimByPlatformList([instance], 1500),
    );
  }

  private setInTouch(position: number, isInTouch: boolean): void {
    const entry = this.cluster.entryAt(position);
    entry.reachesPlatform = isInTouch;
    entry.reachesStores = isInTouch;
    if (isInTouch) entry.send({ type: 'originStoresChanged' });
  }

  scheduleFaults(): void {
    const at = () => 1000 + this.drawBelow(DURATION_MILLISECONDS - 2000);
    for (let count = 0; count < 3; count += 1) this.cluster.schedule(at(), () => this.loseEngine());
    for (let count = 0; count < 3; count += 1) this.cluster.schedule(at(), () => this.killEntry());
    this.cluster.schedule(at(), () => this.reclaimEngine());
    const cutAt = at();
    this.cluster.schedule(cutAt, () => this.setStoreReachable(false));
    this.cluster.schedule(cutAt + 1000, () => this.setStoreReachable(true));
  }

  private setStoreReachable(isReachable: boolean): void {
    this.cluster.storeReachable = isReachable;
    if (isReachable)
      this.cluster.entries.forEach((entry) => entry.send({ type: 'originStoresChanged' }));
  }

  private drawEngine(): string | undefined {
    const alive = [...this.cluster.engines.values()].filter((engine) => engine.alive);
    return alive[this.drawBelow(alive.length)]?.instance;
  }

  /** Another engine in place of this one, of the same version, or of any if it is replaced by plan. */
  private scheduleReplacement(instance: string, isPlanned: boolean): void {
    const { dataCentre, version } = this.cluster.engine(instance);
    const next = isPlanned ? VERSIONS[this.drawBelow(VERSIONS.length)] : version;
    this.engineCount += 1;
    const name = `${dataCentre}-next-${this.engineCount}`;
    this.cluster.schedule(REPLACEMENT_DELAY_MILLISECONDS, () =>
      this.cluster.addEngine(name, dataCentre, next),
    );
  }

  private loseEngine(): void {
    const instance = this.drawEngine();
    if (instance === undefined) return;
    this.cluster.engine(instance).die();
    this.scheduleReplacement(instance, false);
  }

  private reclaimEngine(): void {
    const instance = this.drawEngine();
    if (instance === undefined) return;
    this.cluster.reclaimByPlatformList([instance], 1500);
    this.scheduleReplacement(instance, true);
  }

  private killEntry(): void {
    const entry = this.drawEntry();
    if (entry === undefined) return;
    this.cluster.entryAt(entry).kill();
    this.cluster.schedule(RESTART_DELAY_MILLISECONDS, () => this.cluster.restartEntry(entry));
  }
}

function add(sum: Counts, { offered, served }: Counts): Counts {
  return { offered: sum.offered + offered, served: sum.served + served };
}

// Guards against streams that hold tokens of two versions, whichever entry or server is lost when, and
// against entries that keep versions apart by refusing the callers who come back.
test('random losses never mix versions, and streams that are taken up go on', () => {
  let begun: Counts = { offered: 0, served: 0 };
  let takenUp: Counts = { offered: 0, served: 0 };
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const day = new RandomDay(seed, {
      versions: VERSIONS,
      schedule: (drawn) => drawn.scheduleFaults(),
    });
    day.run();
    assert.deepEqual(day.listViolations(), [], `seed ${seed}`);
    begun = add(begun, day.countBegun());
    takenUp = add(takenUp, day.countTakenUp());
  }
  const shareBegun = begun.served / begun.offered;
  const shareTakenUp = takenUp.served / takenUp.offered;
  const counts = `${JSON.stringify(takenUp)} of ${JSON.stringify(begun)}`;
  assert.ok(takenUp.offered > SEEDS, counts);
  assert.ok(shareTakenUp >= shareBegun / 2, counts);
});

// Guards against an entry that continues streams by an old list, whichever moment it was cut off in.
test('entries out of touch never mix versions while one version replaces another', () => {
  let takenUp: Counts = { offered: 0, served: 0 };
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const day = new RandomDay(seed, {
      versions: ['v1'],
      schedule: (drawn) => drawn.scheduleUpgrade(),
    });
    day.run();
    assert.deepEqual(day.listViolations(), [], `seed ${seed}`);
    takenUp = add(takenUp, day.countTakenUp());
  }
  assert.ok(takenUp.served > SEEDS, JSON.stringify(takenUp));
});
