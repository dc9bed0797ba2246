/**
 * A very small platform in virtual time: it sells instances, refuses some, loses some answers,
 * lists with a lag, and reclaims in waves. Its random numbers depend on the seed and the time
 * only, so that every strategy meets the same day.
 */
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { StartInstanceEffect, StartOutcome } from '@hornbeampond/controller-core';
import type { Milliseconds, PlatformInstance, Pool } from '@hornbeampond/schema';
import type { Deployment } from './deployments.js';

export const TICK = 20_000;
const HOUR = 3_600_000;

/** All reclaimable instances, or a share of them, of one data centre are taken away. */
export interface PlannedWave {
  readonly at: Milliseconds;
  readonly dataCentres: readonly string[];
  readonly share: number;
  readonly notice: Milliseconds;
}

export interface Machine {
  readonly row: PlatformInstance;
  readonly eurosPerHour: number;
  readonly slots: number;
  readonly reclaimable: boolean;
  readonly bootedAt: Milliseconds;
  loadedAt: Milliseconds;
  loaded: boolean;
  drained: boolean;
  drainedAt: Milliseconds;
  goneAt: Milliseconds;
  servedFor: Milliseconds;
}

/** A number from 0 up to 1 that depends on its key alone. */
export function randomAt(seed: number, key: string): number {
  const hash = [...key].reduce((sum, letter) => Math.imul(sum, 31) + letter.charCodeAt(0), seed);
  const generator = xoroshiro128plus(hash);
  uniformInt(generator, 0, 1);
  return uniformInt(generator, 0, 999_999) / 1_000_000;
}

/**
 * One wave in the rush and three at other times of the day. A quarter of them hits two data
 * centres at once, a fifth comes without notice.
 */
export function planWaves(seed: number, deployment: Deployment): PlannedWave[] {
  const random = (key: string) => randomAt(seed, `wave ${key}`);
  return Array.from({ length: 4 }, (_, count): PlannedWave => {
    const hour = count === 0 ? deployment.rushHour + random('rush') : 24 * random(`${count} at`);
    const places = [...deployment.dataCentres].sort(
      (a, b) => random(`${count} ${a}`) - random(`${count} ${b}`),
    );
    return {
      at: Math.round((hour * HOUR - deployment.offset) / TICK) * TICK,
      dataCentres: places.slice(0, random(`${count} width`) < 0.25 ? 2 : 1),
      share: random(`${count} share`) < 0.5 ? 1 : 0.5,
      notice: random(`${count} notice`) < 0.2 ? 0 : 30_000 + 90_000 * random(`${count} length`),
    };
  });
}

export class Platform {
  readonly machines = new Map<string, Machine>();

  private readonly sold = new Map<string, string>();

  private rows: PlatformInstance[] = [];

  /** The list as it was a tick ago. */
  list: readonly PlatformInstance[] = [];

  refused = 0;

  constructor(
    private readonly seed: number,
    private readonly deployment: Deployment,
    private readonly waves: readonly PlannedWave[],
  ) {}

  priceOf(pool: Pool, dataCentre: string, instanceClass: string): number {
    const found = pool.instanceClasses.find(({ name }) => name === instanceClass);
    const factor = found?.reclaimable ? (this.deployment.reclaimablePrice[dataCentre] ?? 1) : 1;
    return (found?.eurosPerHour ?? 0) * factor;
  }

  /** True if reclaimable instances of a data centre cannot be had, as after a wave. */
  isSoldOut(dataCentre: string, now: Milliseconds): boolean {
    return this.waves.some(
      (wave) => wave.dataCentres.includes(dataCentre) && now >= wave.at && now < wave.at + HOUR / 3,
    );
  }

  start(effect: StartInstanceEffect, pool: Pool, now: Milliseconds): StartOutcome {
    const name = this.sold.get(effect.startToken) ?? this.sell(effect, pool, now);
    if (name === undefined) {
      this.refused += 1;
      return { type: 'refused', reason: 'none left' };
    }
    if (randomAt(this.seed, `answer ${effect.startToken} ${now}`) < 0.02) return { type: 'lost' };
    const machine = this.machines.get(name);
    return machine === undefined ? { type: 'lost' } : { type: 'started', instance: machine.row };
  }

  private sell(effect: StartInstanceEffect, pool: Pool, now: Milliseconds): string | undefined {
    const { dataCentre, instanceClass, startToken } = effect;
    const found = pool.instanceClasses.find((offered) => offered.name === instanceClass);
    if (found === undefined) return undefined;
    // Refusals last: whether a place has any to sell changes every five minutes.
    const period = Math.floor(now / (HOUR / 12));
    const luck = randomAt(this.seed, `refusal ${dataCentre} ${instanceClass} ${period}`);
    if (found.reclaimable && this.isSoldOut(dataCentre, now)) return undefined;
    if (luck < (found.reclaimable ? 0.12 : 0.01)) return undefined;
    const name = `${startToken}.${this.sold.size}`;
    const boot = 60_000 + 60_000 * randomAt(this.seed, `boot ${name}`);
    const row = { instance: name, dataCentre, instanceClass, pool: pool.name, startToken };
    this.sold.set(startToken, name);
    this.machines.set(name, {
      row: { ...row, state: 'starting', host: '10.0.0.1', port: 1 },
      eurosPerHour: this.priceOf(pool, dataCentre, instanceClass),
      slots: found.concurrency,
      reclaimable: found.reclaimable,
      bootedAt: now + boot,
      loadedAt: Infinity,
      loaded: pool.kind === 'plainService',
      drained: false,
      drainedAt: 0,
      goneAt: Infinity,
      servedFor: 0,
    });
    return name;
  }

  /** Begins the waves that are due and returns what they take; `onGone` hears of what has ended. */
  advance(now: Milliseconds, onGone: (machine: Machine) => void): Machine[] {
    const due = this.waves.filter((wave) => wave.at === now);
    const taken = due.flatMap((wave) =>
      [...this.machines.values()]
        .filter(
          ({ reclaimable, row, goneAt }) =>
            reclaimable && wave.dataCentres.includes(row.dataCentre) && goneAt === Infinity,
        )
        .filter(({ row }) => randomAt(this.seed, `taken ${row.instance}`) < wave.share)
        .map((machine) => {
          machine.goneAt = now + wave.notice;
          return machine;
        }),
    );
    this.machines.forEach((machine) => {
      if (machine.loadedAt <= now) machine.loaded = true;
      if (machine.goneAt > now) return;
      this.machines.delete(machine.row.instance);
      onGone(machine);
    });
    this.list = this.rows;
    this.rows = this.listNow(now);
    return taken;
  }

  private listNow(now: Milliseconds): PlatformInstance[] {
    return [...this.machines.values()].map(({ row, bootedAt, goneAt }) => {
      if (goneAt !== Infinity) return { ...row, state: 'leaving', goneAt };
      return { ...row, state: bootedAt <= now ? 'live' : 'starting' };
    });
  }
}

/** True if requests are sent to it: it is up, has its weights, and neither drains nor leaves. */
export function isServing(machine: Machine, now: Milliseconds): boolean {
  const { bootedAt, loaded, drained, goneAt } = machine;
  return bootedAt <= now && loaded && !drained && goneAt === Infinity;
}
