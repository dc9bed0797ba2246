import assert from 'node:assert/strict';
import { test } from 'node:test';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { isFleetEffect, type ControllerEffect, type StartInstanceEffect } from './effects.js';
import type { StartOutcome } from './events.js';
import {
  makeConfiguration,
  ControllerHarness,
  makePlatformInstance,
} from './testing/ControllerHarness.js';

/** One controller, a platform with random faults, and entries that apply drains after a delay. */
class RandomFaultSimulation {
  readonly harness = new ControllerHarness({ pool: { least: 2, most: 16 } });

  /** Rows of the instances that exist; the controller sees them in a list that may be stale. */
  private readonly existingInstances = new Map<string, ReturnType<typeof makePlatformInstance>>();

  private readonly instanceByStartToken = new Map<string, string>();

  /** Start tokens whose answer has reached the controller. */
  private readonly answeredTokens = new Set<string>();

  private readonly drainedAt = new Map<string, number>();

  private readonly answers: (() => ControllerEffect[])[] = [];

  private epoch = 0;

  private revision = 1;

  starts = 0;

  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** True once in `count` on average. */
  private oneIn(count: number): boolean {
    return uniformInt(this.generator, 1, count) === 1;
  }

  private applyEffect(effect: ControllerEffect): void {
    if (!isFleetEffect(effect)) return;
    const { harness } = this;
    assert.ok(harness.state.lease !== undefined, `${effect.type} without the lease`);
    if (effect.type === 'startInstance') this.answerPurchase(effect);
    if (effect.type === 'drainInstance') this.drainedAt.set(effect.instance, harness.now);
    if (effect.type === 'restoreInstance') this.drainedAt.delete(effect.instance);
    if (effect.type === 'endInstance') {
      this.assertStopped(effect.instance);
      this.existingInstances.delete(effect.instance);
      const { instance } = effect;
      this.answers.push(() => harness.dispatch({ type: 'endAnswered', instance, ok: true }));
    }
    if (effect.type !== 'sendOrder' || effect.order.action.type !== 'load') return;
    this.assertStopped(effect.instance);
    const { model, version } = effect.order.action;
    if (!this.oneIn(4)) harness.loadedModels.set(effect.instance, { model, version });
    const type = this.oneIn(4) ? 'lost' : 'done';
    if (type === 'done') harness.loadedModels.set(effect.instance, { model, version });
    this.answers.push(() => harness.answerOrder(effect, { type }));
  }

  /** Fails if calls are in progress at the instance, or entries may still send it new ones. */
  private assertStopped(instance: string): void {
    assert.equal(this.harness.runningCalls.get(instance) ?? 0, 0, 'calls are in progress');
    if (this.harness.loadedModels.get(instance)?.model === undefined) return;
    const drainedFor = this.harness.now - (this.drainedAt.get(instance) ?? Infinity);
    assert.ok(drainedFor >= 5000, `entries may send for ${5000 - drainedFor} ms more`);
  }

  private answerPurchase(effect: StartInstanceEffect): void {
    const { startToken, dataCentre, instanceClass } = effect;
    assert.equal(dataCentre, this.harness.state.dataCentre, 'start in another data centre');
    assert.ok(!this.answeredTokens.has(startToken), `${startToken} was answered before`);
    this.starts += 1;
    if (!this.instanceByStartToken.has(startToken) && this.oneIn(5)) {
      const refused = { type: 'refused', reason: 'none left' } as const;
      this.answerStart(startToken, refused);
      return;
    }
    const name =
      this.instanceByStartToken.get(startToken) ?? `instance-${this.instanceByStartToken.size}`;
    const instance = makePlatformInstance(name, dataCentre, { instanceClass, startToken });
    if (!this.instanceByStartToken.has(startToken)) this.existingInstances.set(name, instance);
    this.instanceByStartToken.set(startToken, name);
    if (this.oneIn(5)) return;
    this.answerStart(startToken, { type: 'started', instance });
  }

  private answerStart(startToken: string, outcome: StartOutcome): void {
    this.answers.push(() => {
      this.answeredTokens.add(startToken);
      return this.harness.answerStart(startToken, outcome);
    });
  }

  /** Entries send calls to instances that serve, until five seconds after their drain. */
  private sendCalls(): void {
    const { harness } = this;
    this.existingInstances.forEach((_, instance) => {
      const drained = this.drainedAt.get(instance);
      const sends = drained === undefined || harness.now - drained < 5000;
      const serves = harness.loadedModels.get(instance)?.model !== undefined;
      const ended = this.oneIn(20);
      if (sends && serves) harness.runningCalls.set(instance, uniformInt(this.generator, 0, 3));
      else if (ended) harness.runningCalls.set(instance, 0);
    });
  }

  private injectFaults(): void {
    const { harness } = this;
    if (this.oneIn(300)) harness.requestsPerSecond = uniformInt(this.generator, 1, 60);
    if (this.oneIn(200)) harness.peersReachable = !harness.peersReachable;
    if (this.oneIn(400)) this.loseLease();
    if (this.oneIn(500)) this.setVersion();
    if (this.oneIn(150)) this.reclaimOne();
  }

  /** Another holder takes over and restores all drained instances. */
  private loseLease(): void {
    this.answers.splice(0);
    this.drainedAt.clear();
    if (this.oneIn(3)) this.takeLease();
    else this.applyEffectsOf(() => this.harness.dispatch({ type: 'leaseLost' }));
  }

  private takeLease(): void {
    this.epoch += 1;
    const { epoch, harness } = this;
    this.applyEffectsOf(() =>
      harness.dispatch({ type: 'leaseHeld', epoch, unfencedFrom: harness.now }),
    );
  }

  private setVersion(): void {
    this.revision += 1;
    const version = String(this.revision);
    const configuration = makeConfiguration({ ...this.harness.pool, version }, this.revision);
    this.applyEffectsOf(() =>
      this.harness.dispatch({ type: 'configurationApplied', configuration }),
    );
  }

  private reclaimOne(): void {
    const [instance] = this.existingInstances.keys();
    if (instance === undefined) return;
    const goneAt = this.harness.wallNow + 30_000;
    this.existingInstances.delete(instance);
    this.applyEffectsOf(() => this.harness.dispatch({ type: 'reclaimNoticed', instance, goneAt }));
  }

  private applyEffectsOf(produceEffects: () => ControllerEffect[]): void {
    produceEffects().forEach((effect) => this.applyEffect(effect));
  }

  advanceSecond(): void {
    const { harness } = this;
    if (harness.state.lease === undefined && this.oneIn(30)) this.takeLease();
    this.injectFaults();
    this.sendCalls();
    if (this.oneIn(3)) harness.listedInstances = [...this.existingInstances.values()];
    this.answers.splice(0).forEach((answer) => this.applyEffectsOf(answer));
    this.applyEffectsOf(() => harness.advance(1000));
    const instanceCount = [...this.existingInstances.values()].length;
    assert.ok(
      instanceCount <= harness.pool.most,
      `${instanceCount} instances, but at most ${harness.pool.most} are allowed`,
    );
  }
}

// Guards against changes without the lease or in another data centre, and against ending or
// reloading an instance with calls in progress, under random refusals, lost answers, stale lists,
// reclaims, unreachable data centres, lost leases and new versions.
test('random faults break no safety rule of the controller', () => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const simulation = new RandomFaultSimulation(seed);
    for (let second = 0; second < 1800; second += 1) simulation.advanceSecond();
    assert.ok(simulation.starts > 0, `seed ${seed} bought nothing`);
  }
});
