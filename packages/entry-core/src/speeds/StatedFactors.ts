/**
 * What backend servers last stated about the speed of their machines, read in answers to this entry
 * or told by others. A statement is worth less the older it is: its deviation from the server's own
 * mean fades with the half-life that fits how fast the factors of this deployment change.
 */
import {
  packStatement,
  unpackStatement,
  type Milliseconds,
  type MonotonicMilliseconds,
  type PackedStatement,
} from '@hornbeampond/schema';
import { FactorHalfLife } from './FactorHalfLife.js';

/** What goes out with one report. */
const MAX_REPORTED_STATEMENTS = 8;

/** A statement is told to the others if it differs by more than this from what they expect. */
const NEWS_LOG = Math.log(1.2);

/** A deviation that has faded to less than this is left out. */
const MIN_DEVIATION_LOG = 0.005;

const UNLISTED_EXPIRY_MILLISECONDS: Milliseconds = 60_000;

interface Statement {
  /** Logarithm of the stated factor. */
  readonly log: number;
  readonly at: MonotonicMilliseconds;
}

interface StatedFactor {
  /** The newest statement, read here or told by another entry. */
  latest: Statement | undefined;
  /** The newest statement that the other entries know. */
  shared: Statement | undefined;
  /** Mean of the logarithms of the stated factors; undefined while too few are known. */
  mean: number | undefined;
  /** How much of a deviation is believed, from 0 to 1. */
  trust: number;
}

export interface StatedDescription {
  readonly stated: number;
  readonly statedAge: Milliseconds;
  readonly trust: number;
}

function isNewer(one: Statement, other: Statement | undefined): boolean {
  return other === undefined || one.at > other.at;
}

export class StatedFactors {
  private readonly factors = new Map<string, StatedFactor>();

  private readonly news = new Set<string>();

  private readonly fading = new FactorHalfLife();

  get halfLife(): Milliseconds {
    return this.fading.value;
  }

  /** True if there is a statement that the other entries should know soon. */
  get hasNews(): boolean {
    return this.news.size > 0;
  }

  has(server: string): boolean {
    return this.factors.get(server)?.latest !== undefined;
  }

  /** Records a statement in an answer to this entry. */
  record(server: string, timeFactor: number, now: MonotonicMilliseconds): void {
    const factor = this.getFactor(server);
    const statement = { log: Math.log(timeFactor), at: now };
    const { latest, shared, mean } = factor;
    if (latest !== undefined && mean !== undefined) {
      this.fading.addPair(now - latest.at, latest.log - mean, statement.log - mean);
    }
    factor.latest = statement;
    const expected = this.expectDeviation(factor, shared, now);
    if (Math.abs(statement.log - (mean ?? 0) - expected) > NEWS_LOG) this.news.add(server);
    else this.news.delete(server);
  }

  /** Applies statements that another entry has read. */
  receive(stated: Readonly<Record<string, PackedStatement>>, now: MonotonicMilliseconds): void {
    Object.entries(stated).forEach(([server, packed]) => {
      const { timeFactor, age } = unpackStatement(packed);
      const statement = { log: Math.log(timeFactor), at: now - age };
      const factor = this.getFactor(server);
      if (isNewer(statement, factor.shared)) factor.shared = statement;
      if (isNewer(statement, factor.latest)) factor.latest = statement;
    });
  }

  /** Expected deviation of the logarithm of the factor from its mean; 0 without a statement. */
  deviation(server: string, now: MonotonicMilliseconds): number {
    const factor = this.factors.get(server);
    return factor === undefined ? 0 : this.expectDeviation(factor, factor.latest, now);
  }

  /** The same as far as it is believed. */
  believedDeviation(server: string, now: MonotonicMilliseconds): number {
    const deviation = this.deviation(server, now) * (this.factors.get(server)?.trust ?? 1);
    return Math.abs(deviation) < MIN_DEVIATION_LOG ? 0 : deviation;
  }

  /** Sets what is known from the samples of all entries. */
  update(server: string, { mean, trust }: Pick<StatedFactor, 'mean' | 'trust'>): void {
    const factor = this.factors.get(server);
    if (factor !== undefined) Object.assign(factor, { mean, trust });
  }

  refresh(): void {
    this.fading.refresh();
  }

  /** Takes the statements that are to be told to the others. */
  takeNews(now: MonotonicMilliseconds): (readonly [string, PackedStatement])[] {
    const taken = [...this.news].slice(0, MAX_REPORTED_STATEMENTS);
    return taken.flatMap((server) => {
      this.news.delete(server);
      const factor = this.factors.get(server);
      if (factor?.latest === undefined) return [];
      factor.shared = factor.latest;
      const { log, at } = factor.latest;
      return [[server, packStatement(Math.exp(log), now - at)] as const];
    });
  }

  /** Drops old statements of servers that are not listed. */
  retainOnly(isListed: (server: string) => boolean, now: MonotonicMilliseconds): void {
    this.factors.forEach(({ latest }, server) => {
      const isOld = now - (latest?.at ?? now) > UNLISTED_EXPIRY_MILLISECONDS;
      if (isOld && !isListed(server)) this.forget(server);
    });
  }

  forget(server: string): void {
    this.factors.delete(server);
    this.news.delete(server);
  }

  describe(server: string, now: MonotonicMilliseconds): StatedDescription | undefined {
    const { latest, trust = 1 } = this.factors.get(server) ?? {};
    if (latest === undefined) return undefined;
    return { stated: Math.exp(latest.log), statedAge: now - latest.at, trust };
  }

  private getFactor(server: string): StatedFactor {
    const known = this.factors.get(server);
    if (known !== undefined) return known;
    const factor = { latest: undefined, shared: undefined, mean: undefined, trust: 1 };
    this.factors.set(server, factor);
    return factor;
  }

  private expectDeviation(
    { mean = 0 }: StatedFactor,
    statement: Statement | undefined,
    now: MonotonicMilliseconds,
  ): number {
    if (statement === undefined) return 0;
    const age = Math.max(0, now - statement.at);
    return (statement.log - mean) * 0.5 ** (age / this.fading.value);
  }
}
