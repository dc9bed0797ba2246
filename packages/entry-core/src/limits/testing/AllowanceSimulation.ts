/**
 * Simulates several entries that share an allowance, in virtual time: a network that delays and
 * loses reports, entries that crash, power losses and partitions. It counts independently of the
 * limiters what was allowed in any window.
 */
import type {
  Allowance,
  EntryReport,
  EntrySpending,
  Milliseconds,
  PersistedSpending,
  SpendingReport,
} from '@hornbeampond/schema';
import { AllowanceLimiter } from '../AllowanceLimiter.js';

const WORKSPACE = 'laden';
const REPORT_INTERVAL_MILLISECONDS: Milliseconds = 1000;

interface Entry {
  limiter: AllowanceLimiter;
  incarnation: number;
  /** The side of a network partition that the entry is on. */
  partition: number;
  /** Undefined while the entry runs. */
  downUntil: Milliseconds | undefined;
}

interface Message {
  readonly at: Milliseconds;
  readonly to: number;
  deliver(limiter: AllowanceLimiter): void;
}

/** A request that was allowed. */
export interface AllowedRequest {
  readonly at: Milliseconds;
  readonly amount: number;
}

/** A request that was refused, at once or after its wait for an acknowledgement. */
export interface RefusedRequest {
  readonly amount: number;
  readonly bound: 'window' | 'part';
}

/** A request that waits until a store has acknowledged what its entry has spent before. */
interface HeldRequest {
  readonly index: number;
  readonly incarnation: number;
  readonly amount: number;
  readonly waitsUntil: Milliseconds;
}

/** How long an entry holds a request. */
const MAX_HOLD_MILLISECONDS: Milliseconds = 250;

/** What a test may replace; by default the real limiter and a network without losses. */
export interface AllowanceSimulationOptions {
  readonly makeLimiter: () => AllowanceLimiter;
  /** Delay of a message. */
  readonly delay: () => Milliseconds;
  /** True while stores are down: no report is delivered, and entries that restart stay down. */
  readonly isOutage: () => boolean;
  /** True if stores persist what entries report, and send it to those that start. */
  readonly isPersisted: boolean;
}

const MESSAGE_DELAY_MILLISECONDS: Milliseconds = 3;

/** How often stores write to disk. */
const PERSIST_INTERVAL_MILLISECONDS: Milliseconds = 250;

const defaultOptions: AllowanceSimulationOptions = {
  makeLimiter: () => new AllowanceLimiter(),
  delay: () => MESSAGE_DELAY_MILLISECONDS,
  isOutage: () => false,
  isPersisted: true,
};

export class AllowanceSimulation {
  now: Milliseconds = 0;

  readonly allowedRequests: AllowedRequest[] = [];

  readonly refusedRequests: RefusedRequest[] = [];

  private heldRequests: HeldRequest[] = [];

  private readonly entries: Entry[];

  private messages: Message[] = [];

  /** What the stores have on disk. */
  private persisted: PersistedSpending | undefined;

  /** What the stores have in memory. */
  private stored: PersistedSpending | undefined;

  private readonly totals = new Map<string, EntrySpending>();

  private readonly options: AllowanceSimulationOptions;

  constructor(
    count: number,
    private readonly allowance: Allowance,
    options: Partial<AllowanceSimulationOptions> = {},
  ) {
    this.options = { ...defaultOptions, ...options };
    this.entries = Array.from({ length: count }, () => ({
      limiter: this.options.makeLimiter(),
      incarnation: 1,
      partition: 0,
      downUntil: undefined,
    }));
  }

  /** Advances the time in steps of a millisecond; reports are sent and delivered when due. */
  advance(span: Milliseconds): void {
    for (const end = this.now + span; this.now < end; this.now += 1) this.step();
  }

  /**
   * Spends an amount at an entry if its limiter allows it, and holds the request if it may be allowed
   * once a store has acknowledged earlier spending. An entry that is down decides nothing.
   */
  trySpend(index: number, amount: number): void {
    const entry = this.entries[index % this.entries.length];
    if (entry === undefined || entry.downUntil !== undefined) return;
    const waitsUntil = this.now + MAX_HOLD_MILLISECONDS;
    this.decide({ index, incarnation: entry.incarnation, amount, waitsUntil });
  }

  private decide(request: HeldRequest): void {
    const { index, incarnation, amount, waitsUntil } = request;
    const entry = this.entries[index % this.entries.length];
    // Held requests end with their entry.
    if (entry?.incarnation !== incarnation || entry.downUntil !== undefined) return;
    const decision = entry.limiter.check(WORKSPACE, this.allowance, amount, this.now);
    if (decision.type === 'allowed') {
      this.allowedRequests.push({ at: this.now, amount });
      if (entry.limiter.spendAndCheckReportDue(WORKSPACE, this.allowance, amount, this.now))
        this.broadcastSpending(index, entry);
    } else if (decision.awaitsAcknowledgement && this.now < waitsUntil) {
      this.heldRequests.push(request);
      if (entry.limiter.hasUnreportedSpending(WORKSPACE)) this.broadcastSpending(index, entry);
    } else {
      this.refusedRequests.push({ amount, bound: decision.facts.bound });
    }
  }

  kill(index: number, duration: Milliseconds): void {
    const entry = this.entries[index % this.entries.length];
    if (entry !== undefined) entry.downUntil = this.now + duration;
  }

  /** Stops all entries and stores together; the stores restart with what is on their disks. */
  losePower(duration: Milliseconds): void {
    this.entries.forEach((_, index) => this.kill(index, duration));
    this.stored = this.options.isPersisted ? this.persisted : undefined;
    this.totals.clear();
    Object.entries(this.stored?.entries ?? {}).forEach(([name, entry]) => {
      this.totals.set(name, entry);
    });
  }

  /**
   * Moves an entry to one side of a network partition; reports are delivered only within a side.
   * Side 0 has the quorum of stores: an entry that restarts elsewhere stays down until it is moved
   * back.
   */
  setPartition(index: number, partition: number): void {
    const entry = this.entries[index % this.entries.length];
    if (entry !== undefined) entry.partition = partition;
  }

  /** The largest amount allowed in any window. */
  maxInWindow(): number {
    let max = 0;
    let total = 0;
    let first = 0;
    this.allowedRequests.forEach(({ at, amount }) => {
      total += amount;
      for (
        let oldest = this.allowedRequests[first];
        oldest !== undefined && oldest.at <= at - this.allowance.windowMilliseconds;
        oldest = this.allowedRequests[first]
      ) {
        total -= oldest.amount;
        first += 1;
      }
      max = Math.max(max, total);
    });
    return max;
  }

  /** The amount allowed from a time on until before another. */
  allowedBetween(from: Milliseconds, to: Milliseconds): number {
    return this.allowedRequests
      .filter(({ at }) => at >= from && at < to)
      .reduce((sum, { amount }) => sum + amount, 0);
  }

  private step(): void {
    if (this.now % PERSIST_INTERVAL_MILLISECONDS === 0) this.persisted = this.stored;
    this.entries.forEach((entry, index) => {
      const isDue = entry.downUntil !== undefined && entry.downUntil <= this.now;
      if (isDue && entry.partition === 0 && !this.options.isOutage()) this.restart(index, entry);
      const phase = Math.floor((index * REPORT_INTERVAL_MILLISECONDS) / this.entries.length);
      if (entry.downUntil === undefined && this.now % REPORT_INTERVAL_MILLISECONDS === phase) {
        this.broadcastReport(index, entry);
      }
    });
    const due = this.messages.filter(({ at }) => at <= this.now);
    this.messages = this.messages.filter(({ at }) => at > this.now);
    due.forEach(({ to, deliver }) => {
      const entry = this.entries[to];
      if (entry !== undefined && entry.downUntil === undefined) deliver(entry.limiter);
    });
    const held = this.heldRequests;
    this.heldRequests = [];
    held.forEach((request) => this.decide(request));
  }

  private restart(index: number, entry: Entry): void {
    entry.limiter = this.options.makeLimiter();
    entry.incarnation += 1;
    entry.downUntil = undefined;
    const { stored } = this;
    if (stored !== undefined) {
      entry.limiter.restore(stored, `entry-${index}`, this.now, this.now);
    }
    this.broadcastReport(index, entry);
  }

  private broadcast(from: number, deliver: (limiter: AllowanceLimiter) => void): void {
    const { partition } = this.entries[from] ?? {};
    this.entries.forEach((entry, to) => {
      const delay = this.options.delay();
      if (to === from || entry.partition !== partition || this.options.isOutage()) return;
      this.messages.push({ at: this.now + delay, to, deliver });
    });
  }

  private broadcastReport(index: number, { limiter, incarnation }: Entry): void {
    const report: EntryReport = {
      type: 'entryReport',
      instance: `entry-${index}`,
      dataCentre: 'a',
      incarnation,
      sequence: this.now,
      leaving: false,
      revision: 1,
      inProgress: {},
      leavingBackendServers: {},
      suspects: [],
      spent: limiter.reportTotals(),
      windowSpent: limiter.windowSpent(this.now),
      windowReach: limiter.historyLength(this.now),
      entries: limiter.entryCount,
    };
    this.storeReport(index, report);
    // Stores relay reports without the window, and send the window only to entries that start.
    const { windowSpent, windowReach, ...withoutWindow } = report;
    this.acknowledge(index, report.spent ?? {});
    this.broadcast(index, (other) => other.receive(withoutWindow, this.now));
  }

  /** Stores what an entry reports; the window is taken from the entry with the longest history. */
  private storeReport(index: number, report: EntryReport): void {
    if (this.entries[index]?.partition !== 0 || this.options.isOutage()) return;
    const { windowSpent = {}, windowReach = 0, spent = {}, instance, incarnation } = report;
    this.totals.set(instance, { incarnation, spent });
    const { stored } = this;
    const isOutdated =
      stored === undefined || this.now - stored.at >= 2 * REPORT_INTERVAL_MILLISECONDS;
    if (!isOutdated && windowReach < stored.windowReach) return;
    const entries = Object.fromEntries(this.totals);
    this.stored = { at: this.now, windowSpent, windowReach, entries };
  }

  private broadcastSpending(index: number, { limiter, incarnation }: Entry): void {
    const spending: SpendingReport = {
      type: 'spendingReport',
      instance: `entry-${index}`,
      incarnation,
      spent: limiter.reportTotal(WORKSPACE),
      leaving: false,
    };
    const { instance } = spending;
    const isConnected = this.entries[index]?.partition === 0 && !this.options.isOutage();
    if (isConnected) this.totals.set(instance, { incarnation, spent: spending.spent });
    this.acknowledge(index, spending.spent);
    this.broadcast(index, (other) => other.receiveSpending(spending, this.now));
  }

  /** A store acknowledges what it has received when the other entries receive it. */
  private acknowledge(index: number, spent: Readonly<Record<string, number>>): void {
    if (this.options.isOutage()) return;
    const at = this.now + this.options.delay();
    const { incarnation } = this.entries[index] ?? {};
    const deliver = (limiter: AllowanceLimiter) => {
      if (this.entries[index]?.incarnation === incarnation) limiter.acknowledge(spent);
    };
    this.messages.push({ at, to: index, deliver });
  }
}
