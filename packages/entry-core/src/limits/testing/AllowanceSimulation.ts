/**
 * Several ledgers that tell each other what they spend over a network that delays and loses, in
 * virtual time, with entries that are killed and data centres that are cut off. It counts what was let
 * through in any window, from outside.
 */
import type {
  Allowance,
  EntryReport,
  EntrySpending,
  Milliseconds,
  RememberedSpending,
  SpendingReport,
} from '@hornbeampond/schema';
import { AllowanceLimiter, type AllowanceDecision } from '../AllowanceLimiter.js';

const WORKSPACE = 'laden';
const REPORT_INTERVAL_MILLISECONDS: Milliseconds = 1000;

interface Entry {
  limiter: AllowanceLimiter;
  incarnation: number;
  /** The side of a network partition that it is on. */
  partition: number;
  /** Undefined while it runs. */
  downUntil: Milliseconds | undefined;
}

interface Message {
  readonly at: Milliseconds;
  readonly to: number;
  deliver(limiter: AllowanceLimiter): void;
}

/** One request that was let through. */
export interface AllowedRequest {
  readonly at: Milliseconds;
  readonly amount: number;
}

/** What a trial may replace: by default the real ledger, and a network of 3 ms. */
export interface AllowanceSimulationOptions {
  readonly makeLimiter: () => AllowanceLimiter;
  /** Delay of a message. */
  readonly delay: () => Milliseconds;
  /** True while stores are down: nothing is told, and an entry that starts has no configuration. */
  readonly isOutage: () => boolean;
  /** True if stores keep on disk what entries report, and tell it to those that start. */
  readonly isPersisted: boolean;
}

const MESSAGE_DELAY_MILLISECONDS: Milliseconds = 3;

/** Stores write so often. */
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

  private readonly entries: Entry[];

  private messages: Message[] = [];

  /** What the stores have on disk; undefined if they keep nothing. */
  private persisted: RememberedSpending | undefined;

  private stored: RememberedSpending | undefined;

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

  /** Lets time pass, a millisecond a step; reports and messages come when they are due. */
  advance(span: Milliseconds): void {
    for (const end = this.now + span; this.now < end; this.now += 1) this.step();
  }

  /** Asks an entry for an amount, and spends it if that is allowed. */
  trySpend(number: number, amount: number): AllowanceDecision | undefined {
    const entry = this.entries[number % this.entries.length];
    if (entry === undefined || entry.downUntil !== undefined) return undefined;
    const decision = entry.limiter.check(WORKSPACE, this.allowance, amount, this.now);
    if (decision.type === 'exceeded') return decision;
    this.allowedRequests.push({ at: this.now, amount });
    if (entry.limiter.spend(WORKSPACE, this.allowance, amount, this.now))
      this.broadcastSpending(number, entry);
    return decision;
  }

  kill(number: number, duration: Milliseconds): void {
    const entry = this.entries[number % this.entries.length];
    if (entry !== undefined) entry.downUntil = this.now + duration;
  }

  /** Takes all down together, and the stores with them: these come back with what is on their disks. */
  losePower(duration: Milliseconds): void {
    this.entries.forEach((_, number) => this.kill(number, duration));
    this.stored = this.options.isPersisted ? this.persisted : undefined;
    this.totals.clear();
    Object.entries(this.stored?.entries ?? {}).forEach(([name, entry]) => {
      this.totals.set(name, entry);
    });
  }

  /**
   * Puts an entry on a side; messages pass only within one. Side 0 has the quorum of stores: an entry
   * that starts elsewhere is told no configuration, and serves nothing until it is back.
   */
  setPartition(number: number, partition: number): void {
    const entry = this.entries[number % this.entries.length];
    if (entry !== undefined) entry.partition = partition;
  }

  /** The most that was let through in any window. */
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

  /** What was let through from one moment on until before another. */
  allowedBetween(from: Milliseconds, to: Milliseconds): number {
    return this.allowedRequests
      .filter(({ at }) => at >= from && at < to)
      .reduce((sum, { amount }) => sum + amount, 0);
  }

  private step(): void {
    if (this.now % PERSIST_INTERVAL_MILLISECONDS === 0) this.persisted = this.stored;
    this.entries.forEach((entry, number) => {
      const isDue = entry.downUntil !== undefined && entry.downUntil <= this.now;
      if (isDue && entry.partition === 0 && !this.options.isOutage()) this.restart(number, entry);
      const phase = Math.floor((number * REPORT_INTERVAL_MILLISECONDS) / this.entries.length);
      if (entry.downUntil === undefined && this.now % REPORT_INTERVAL_MILLISECONDS === phase) {
        this.broadcastReport(number, entry);
      }
    });
    const due = this.messages.filter(({ at }) => at <= this.now);
    this.messages = this.messages.filter(({ at }) => at > this.now);
    due.forEach(({ to, deliver }) => {
      const entry = this.entries[to];
      if (entry !== undefined && entry.downUntil === undefined) deliver(entry.limiter);
    });
  }

  private restart(number: number, entry: Entry): void {
    entry.limiter = this.options.makeLimiter();
    entry.incarnation += 1;
    entry.downUntil = undefined;
    const { stored } = this;
    if (stored !== undefined) {
      entry.limiter.restore(stored, `entry-${number}`, this.now, this.now);
    }
    this.broadcastReport(number, entry);
  }

  private broadcast(from: number, deliver: (limiter: AllowanceLimiter) => void): void {
    const { partition } = this.entries[from] ?? {};
    this.entries.forEach((entry, to) => {
      const delay = this.options.delay();
      if (to === from || entry.partition !== partition || this.options.isOutage()) return;
      this.messages.push({ at: this.now + delay, to, deliver });
    });
  }

  private broadcastReport(number: number, { limiter, incarnation }: Entry): void {
    const report: EntryReport = {
      type: 'entryReport',
      instance: `entry-${number}`,
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
    this.storeReport(number, report);
    // The stores keep the window to themselves, but for entries that start.
    const { windowSpent, windowReach, ...withoutWindow } = report;
    this.broadcast(number, (other) => other.receive(withoutWindow, this.now));
  }

  /** A store keeps the word of those that know most of the window. */
  private storeReport(number: number, report: EntryReport): void {
    if (this.entries[number]?.partition !== 0 || this.options.isOutage()) return;
    const { windowSpent = {}, windowReach = 0, spent = {}, instance, incarnation } = report;
    this.totals.set(instance, { incarnation, spent });
    const { stored } = this;
    const isOutdated =
      stored === undefined || this.now - stored.at >= 2 * REPORT_INTERVAL_MILLISECONDS;
    if (!isOutdated && windowReach < stored.windowReach) return;
    const entries = Object.fromEntries(this.totals);
    this.stored = { at: this.now, windowSpent, windowReach, entries };
  }

  private broadcastSpending(number: number, { limiter, incarnation }: Entry): void {
    const spending: SpendingReport = {
      type: 'spendingReport',
      instance: `entry-${number}`,
      incarnation,
      spent: limiter.reportTotal(WORKSPACE),
      leaving: false,
    };
    const { instance } = spending;
    const isConnected = this.entries[number]?.partition === 0 && !this.options.isOutage();
    if (isConnected) this.totals.set(instance, { incarnation, spent: spending.spent });
    this.broadcast(number, (other) => other.receiveSpending(spending, this.now));
  }
}
