/**
 * What this entry knows of the speeds of backend servers: the long-term factors that it and the
 * other entries have learnt from answers, and what the servers state about the present. A time
 * factor says how long work takes at a server, compared with the mean of its pool; 1 is the mean.
 *
 * Samples and statements are taken from the answers to this entry, go out with its work reports and
 * come back as sums of all entries in the digests of a store. Without a store, the samples of this
 * entry alone, or those that its peers report directly, are used.
 */
import {
  DecayingSums,
  makeSpeedSums,
  packSpeedSums,
  speedKinds,
  unpackSpeedSums,
  type Milliseconds,
  type MonotonicMilliseconds,
  type PackedSpeedSums,
  type ServerSpeedsMessage,
  type SpeedKind,
  type SpeedSums,
  type WorkReport,
} from '@hornbeampond/schema';
import {
  computeRelativeLogs,
  isUneven,
  longTermLog,
  shrunkMean,
  trustIn,
  type LearntKind,
  type LearntLogs,
} from './longTermSpeeds.js';
import { StatedFactors, type StatedDescription } from './StatedFactors.js';

/** Learnt factors are computed anew at this interval, not for each request. */
const REFRESH_INTERVAL_MILLISECONDS: Milliseconds = 500;

/** Samples go out at this interval, those of the servers with the most samples first. */
const SUMS_REPORT_INTERVAL_MILLISECONDS: Milliseconds = 2000;
const MAX_REPORTED_SUMS = 16;

/** A single answer counts as at most this many times faster or slower than expected. */
const MAX_SAMPLE_LOG = Math.log(10);

/** From this deviation of a stated factor on, an answer says nothing about the long term. */
const UNUSUAL_PERIOD_LOG = Math.log(1.25);

/** From this deviation on, an answer shows whether the statement agrees with it. */
const TESTABLE_DEVIATION_LOG = Math.log(1.5);

/** The mean of a server's statements is known from this number of them on. */
const MIN_STATEMENTS = 5;

/** What has been learnt of one server. */
interface LearntSpeed {
  /** Mean of the logarithms of the stated factors. */
  readonly statedMean: number;
  /** Logarithm of the time until the first token, compared with the pool's regression. */
  readonly firstTokenLog: number;
  /** Time factors compared with the pool's mean, which decisions use; empty in an even pool. */
  factors: Partial<Record<LearntKind, number>>;
}

/** What a new computation of the learnt factors has changed, with what it rests on. */
export type SpeedChange =
  | {
      readonly type: 'evenness';
      readonly pool: string;
      readonly isUneven: boolean;
      /** Servers with enough samples, and the highest and lowest of their time factors. */
      readonly servers: number;
      readonly slowest: number;
      readonly fastest: number;
    }
  | {
      readonly type: 'trust';
      readonly server: string;
      readonly isTrusted: boolean;
      /** Mean agreement of answers with what the server stated, from -1 to 1. */
      readonly agreement: number;
      readonly samples: number;
    };

/** What is known of a server, for its status. */
export interface SpeedDescription extends Partial<StatedDescription> {
  /** The learnt long-term factor of the time until the first token. */
  readonly learnt?: number;
  /** Answers behind it, of all entries; old ones count less. */
  readonly samples?: number;
  /** The factor that decisions use. */
  readonly used: number;
}

function toFactors(logs: LearntLogs): Partial<Record<LearntKind, number>> {
  return Object.fromEntries(Object.entries(logs).map(([kind, log]) => [kind, Math.exp(log)]));
}

export class ServerSpeeds {
  /** False makes all servers count as equal, to compare decisions with and without speeds. */
  isUsed = true;

  private readonly stated = new StatedFactors();

  private readonly learnt = new Map<string, LearntSpeed>();

  /** Samples of this entry, and those that peers report without a store. */
  private readonly ownSums = new DecayingSums();

  /** Sums of all entries, from a store. */
  private readonly storeSums = new DecayingSums();

  /** Samples of this entry that are not reported yet. */
  private readonly unreported = new Map<string, SpeedSums>();

  private readonly unreportedRestarts = new Set<string>();

  private readonly unevenPools = new Set<string>();

  private readonly distrustedServers = new Set<string>();

  private refreshedAt: MonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  private sumsReportedAt: MonotonicMilliseconds = Number.NEGATIVE_INFINITY;

  /** Incarnation and sequence of the last report of each peer that reports directly. */
  private readonly peerReports = new Map<string, readonly [number, number]>();

  /** After this time half of a stated deviation is believed to have passed. */
  get statementHalfLife(): Milliseconds {
    return this.stated.halfLife;
  }

  /** True if there is a statement that the other entries should know soon. */
  get hasNews(): boolean {
    return this.stated.hasNews;
  }

  /** The learnt time factor of a server; undefined where none is known or the pool is even. */
  learntFactor(server: string, kind: LearntKind): number | undefined {
    return this.isUsed ? this.learnt.get(server)?.factors[kind] : undefined;
  }

  /** How much longer than in the long term work takes at the server now, as far as it states so. */
  statedDeviation(server: string, now: MonotonicMilliseconds): number {
    if (!this.isUsed || !this.stated.has(server)) return 1;
    return Math.exp(this.stated.believedDeviation(server, now));
  }

  /** True if the server states that it is in a period in which answers are not as usual. */
  isInUnusualPeriod(server: string, now: MonotonicMilliseconds): boolean {
    return this.isUsed && this.isUnusual(server, now);
  }

  /** True if the speeds of a pool's servers differ so much that they are taken into account. */
  isPoolUneven(pool: string): boolean {
    return this.isUsed && this.unevenPools.has(pool);
  }

  /** Records what a server states in an answer to this entry. */
  recordStatement(server: string, timeFactor: number, now: MonotonicMilliseconds): void {
    this.stated.record(server, timeFactor, now);
    this.addSample(server, 'stated', Math.log(timeFactor), now);
  }

  /**
   * Records how long an answer took, as a multiple of what the pool's averages let expect. Answers
   * of periods that the server states to be unusual show whether the statement is true, and are no
   * samples of the long term unless the statements are not believed.
   */
  recordAnswer(server: string, kind: LearntKind, ratio: number, now: MonotonicMilliseconds): void {
    const { statedMean = 0, firstTokenLog = 0 } = this.learnt.get(server) ?? {};
    const log = Math.max(-MAX_SAMPLE_LOG, Math.min(MAX_SAMPLE_LOG, Math.log(ratio)));
    const deviation = this.stated.deviation(server, now);
    if (kind === 'firstToken' && Math.abs(deviation) > TESTABLE_DEVIATION_LOG) {
      const agreement = (2 * (log - firstTokenLog)) / deviation - 1;
      this.addSample(server, 'agreement', Math.max(-1, Math.min(1, agreement)), now);
    }
    if (this.isUnusual(server, now)) return;
    this.addSample(server, kind, log - statedMean - deviation, now);
  }

  /** Drops all that is known of a server whose process has ended, here and at the others. */
  recordRestart(server: string): void {
    this.forget(server);
    this.unreportedRestarts.add(server);
  }

  /** Takes what is to be reported; undefined if nothing is due. */
  takeReport(now: MonotonicMilliseconds): ServerSpeedsMessage | undefined {
    const restarted = [...this.unreportedRestarts];
    this.unreportedRestarts.clear();
    const stated = this.stated.takeNews(now);
    const sums = this.takeSums(now);
    if (restarted.length + stated.length + sums.length === 0) return undefined;
    return {
      ...(sums.length === 0 ? {} : { sums: Object.fromEntries(sums) }),
      ...(stated.length === 0 ? {} : { stated: Object.fromEntries(stated) }),
      ...(restarted.length === 0 ? {} : { restarted }),
    };
  }

  /** True if samples are due to be reported. */
  isReportDue(now: MonotonicMilliseconds): boolean {
    if (this.hasNews || this.unreportedRestarts.size > 0) return true;
    return this.unreported.size > 0 && this.areSumsDue(now);
  }

  /** Applies the digest of a store; the first one after subscribing replaces all sums. */
  applyDigest(
    speeds: ServerSpeedsMessage | undefined,
    isWhole: boolean,
    now: MonotonicMilliseconds,
  ): void {
    if (isWhole) this.storeSums.clear();
    const { sums = {}, restarted = [] } = speeds ?? {};
    restarted.forEach((server) => this.forget(server));
    Object.entries(sums).forEach(([server, packed]) =>
      this.storeSums.replace(server, unpackSpeedSums(packed), now),
    );
    this.stated.receive(speeds?.stated ?? {}, now);
  }

  /** Applies the report of a peer that is connected directly. */
  applyPeerReport(
    { instance, incarnation, sequence = 0, speeds }: WorkReport,
    now: MonotonicMilliseconds,
  ): void {
    if (speeds === undefined) return;
    const [lastIncarnation, lastSequence] = this.peerReports.get(instance) ?? [0, 0];
    if (incarnation < lastIncarnation) return;
    if (incarnation === lastIncarnation && sequence <= lastSequence) return;
    this.peerReports.set(instance, [incarnation, sequence]);
    speeds.restarted?.forEach((server) => this.forget(server));
    Object.entries(speeds.sums ?? {}).forEach(([server, packed]) =>
      this.ownSums.add(server, unpackSpeedSums(packed), now),
    );
    this.stated.receive(speeds.stated ?? {}, now);
  }

  /** Computes the learnt factors of all pools anew, if that is due. */
  refresh(
    now: MonotonicMilliseconds,
    listServersByPool: () => ReadonlyMap<string, readonly string[]>,
  ): SpeedChange[] {
    if (now - this.refreshedAt < REFRESH_INTERVAL_MILLISECONDS) return [];
    this.refreshedAt = now;
    this.stated.refresh();
    return [...listServersByPool()].flatMap(([pool, servers]) =>
      this.refreshPool(pool, servers, now),
    );
  }

  get unevenPoolCount(): number {
    return this.unevenPools.size;
  }

  get distrustedServerCount(): number {
    return this.distrustedServers.size;
  }

  /**
   * Drops servers that are no longer listed. What others have told of a server that is not listed
   * here yet is kept until it is out of date.
   */
  retainOnly(isListed: (server: string) => boolean, now: MonotonicMilliseconds): void {
    [...this.learnt.keys()].forEach((server) => {
      if (!isListed(server)) this.recordRestart(server);
    });
    this.stated.retainOnly(isListed, now);
    this.ownSums.prune(now);
    this.storeSums.prune(now);
  }

  /** True if anything but equal speeds is known of the server. */
  hasKnowledge(server: string): boolean {
    return this.stated.has(server) || this.learnt.get(server)?.factors.firstToken !== undefined;
  }

  describe(server: string, now: MonotonicMilliseconds): SpeedDescription {
    const samples = this.findSums(server, now)?.firstToken.count ?? 0;
    const learnt = this.learnt.get(server)?.factors.firstToken;
    return {
      ...this.stated.describe(server, now),
      ...(learnt === undefined ? {} : { learnt }),
      ...(samples === 0 ? {} : { samples }),
      used: (this.learntFactor(server, 'firstToken') ?? 1) * this.statedDeviation(server, now),
    };
  }

  private isUnusual(server: string, now: MonotonicMilliseconds): boolean {
    return Math.abs(this.stated.believedDeviation(server, now)) > UNUSUAL_PERIOD_LOG;
  }

  private addSample(
    server: string,
    kind: SpeedKind,
    value: number,
    now: MonotonicMilliseconds,
  ): void {
    const sample = makeSpeedSums();
    sample[kind] = { sum: value, count: 1 };
    this.ownSums.add(server, sample, now);
    const unreported = this.unreported.get(server) ?? makeSpeedSums();
    unreported[kind].sum += value;
    unreported[kind].count += 1;
    this.unreported.set(server, unreported);
  }

  /** Of each kind, the sums with more samples: those of all entries or, without a store, own ones. */
  private findSums(server: string, now: MonotonicMilliseconds): SpeedSums | undefined {
    const own = this.ownSums.read(server, now);
    const all = this.storeSums.read(server, now);
    if (own === undefined || all === undefined) return own ?? all;
    const sums = makeSpeedSums();
    speedKinds.forEach((kind) => {
      sums[kind] = own[kind].count > all[kind].count ? own[kind] : all[kind];
    });
    return sums;
  }

  private forget(server: string): void {
    this.stated.forget(server);
    this.learnt.delete(server);
    this.ownSums.remove(server);
    this.storeSums.remove(server);
    this.unreported.delete(server);
    this.distrustedServers.delete(server);
  }

  private areSumsDue(now: MonotonicMilliseconds): boolean {
    return now - this.sumsReportedAt >= SUMS_REPORT_INTERVAL_MILLISECONDS;
  }

  private takeSums(now: MonotonicMilliseconds): (readonly [string, PackedSpeedSums])[] {
    if (this.unreported.size === 0 || !this.areSumsDue(now)) return [];
    this.sumsReportedAt = now;
    const taken = [...this.unreported]
      .sort(([, one], [, other]) => other.firstToken.count - one.firstToken.count)
      .slice(0, MAX_REPORTED_SUMS);
    return taken.map(([server, sums]) => {
      this.unreported.delete(server);
      return [server, packSpeedSums(sums)] as const;
    });
  }

  private refreshPool(
    pool: string,
    servers: readonly string[],
    now: MonotonicMilliseconds,
  ): SpeedChange[] {
    const sumsByServer = new Map<string, SpeedSums>();
    servers.forEach((server) => {
      const sums = this.findSums(server, now);
      if (sums !== undefined) sumsByServer.set(server, sums);
    });
    const relativeLogs = computeRelativeLogs(sumsByServer);
    const wasUneven = this.unevenPools.has(pool);
    const uneven = isUneven(sumsByServer, relativeLogs, wasUneven);
    if (uneven) this.unevenPools.add(pool);
    else this.unevenPools.delete(pool);
    const trustChanges = [...sumsByServer].flatMap(([server, sums]) => {
      const logs = uneven ? (relativeLogs.get(server) ?? {}) : {};
      return this.refreshServer(server, sums, logs);
    });
    if (uneven === wasUneven) return trustChanges;
    const factors = [...relativeLogs.values()].flatMap(({ firstToken }) =>
      firstToken === undefined ? [] : [Math.exp(firstToken)],
    );
    const range = { slowest: Math.max(...factors, 1), fastest: Math.min(...factors, 1) };
    const change = { type: 'evenness', pool, isUneven: uneven, servers: factors.length } as const;
    return [{ ...change, ...range }, ...trustChanges];
  }

  private refreshServer(server: string, sums: SpeedSums, logs: LearntLogs): SpeedChange[] {
    const isMeanKnown = sums.stated.count >= MIN_STATEMENTS;
    const mean = isMeanKnown ? shrunkMean(sums.stated) : undefined;
    const trust = trustIn(sums.agreement);
    this.stated.update(server, { mean, trust });
    this.learnt.set(server, {
      statedMean: mean ?? 0,
      firstTokenLog: longTermLog(sums, 'firstToken'),
      factors: toFactors(logs),
    });
    const isTrusted = trust > 0;
    if (isTrusted !== this.distrustedServers.has(server)) return [];
    if (isTrusted) this.distrustedServers.delete(server);
    else this.distrustedServers.add(server);
    const agreement = shrunkMean(sums.agreement);
    return [{ type: 'trust', server, isTrusted, agreement, samples: sums.agreement.count }];
  }
}
