/** Simulates the store through which many entries report to each other: it sends digests. */
import {
  SpeedTotals,
  UseTotals,
  WorkTotals,
  type EntryDigest,
  type EntryReport,
  type Milliseconds,
  type WorkReport,
} from '@hornbeampond/schema';
import type { SimulatedCluster } from './SimulatedCluster.js';

const DIGEST_DELAY_MILLISECONDS: Milliseconds = 50;

const NO_CHANGES = {
  work: { servers: [], inProgress: [], promptTokens: [] },
  included: {},
} as const;

export class SimulatedReportStore {
  /** True if no digest leaves the store any more. */
  isSilent = false;

  /** How long its digests are under way, or wait at the entry to be read. */
  transitDelay: Milliseconds = 0;

  private readonly workTotals = new WorkTotals();

  private speedTotals = new SpeedTotals();

  private readonly useTotals = new UseTotals();

  private reports: EntryReport[] = [];

  private computed: Record<string, string[]> = {};

  private sequence = 0;

  private isDigestScheduled = false;

  constructor(
    private readonly cluster: SimulatedCluster,
    private readonly digestDelay: Milliseconds = DIGEST_DELAY_MILLISECONDS,
  ) {}

  /** Simulates a store that starts afresh and knows no speeds. */
  forgetSpeeds(): void {
    this.speedTotals = new SpeedTotals();
  }

  addReport(report: EntryReport): void {
    this.reports.push(report);
    this.scheduleDigest();
  }

  addWork(report: WorkReport): void {
    this.workTotals.apply(report);
    this.speedTotals.apply(report, this.cluster.clock().now);
    this.useTotals.apply(report, this.cluster.clock().now);
    Object.entries(report.computed).forEach(([server, digests]) => {
      this.computed[server] = [...(this.computed[server] ?? []), ...digests];
    });
    this.scheduleDigest();
  }

  private scheduleDigest(): void {
    if (this.isDigestScheduled || this.isSilent) return;
    this.isDigestScheduled = true;
    this.cluster.schedule(this.digestDelay, () => this.sendDigest());
  }

  private sendDigest(): void {
    this.isDigestScheduled = false;
    this.sequence += 1;
    const use = this.useTotals.takeSums(this.cluster.clock().now);
    const digest: EntryDigest = {
      sequence: this.sequence,
      publishedAt: this.cluster.clock().wallNow,
      reports: this.reports,
      spending: [],
      ...(this.workTotals.takeChanges() ?? NO_CHANGES),
      computed: this.computed,
      usage: [],
      speeds: this.speedTotals.takeChanges(this.cluster.clock().now),
      ...(use === undefined ? {} : { use }),
    };
    this.reports = [];
    this.computed = {};
    const isWhole = digest.sequence === 1;
    const deliver = () =>
      this.cluster.entries.forEach((entry) =>
        entry.send({ type: 'entryDigestReceived', digest, isWhole }),
      );
    if (this.transitDelay === 0) deliver();
    else this.cluster.schedule(this.transitDelay, deliver);
  }
}
