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
const REPORT_MILLISECONDS: Milliseconds = 1000;

interface Entry {
  ledger: AllowanceLimiter;
  incarnation: number;
  /** The side of a network partition that it is on. */
  side: number;
  /** Undefined while it runs. */
  downUntil: Milliseconds | undefined;
}

interface Message {
  readonly at: Milliseconds;
  readonly to: number;
  deliver(ledger: AllowanceLimiter): void;
}

/** One request that was let through. */
export interface Passed {
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

const DELAY: Milliseconds = 3;

/** Stores write so often. */
const KEPT_MILLISECONDS: Milliseconds = 250;

const usualParts: AllowanceSimulationOptions = {
  makeLimiter: () => new AllowanceLimiter(),
  delay: () => DELAY,
  isOutage: () => false,
  isPersisted: true,
};

export class AllowanceSimulation {
  now: Milliseconds = 0;

  readonly passed: Passed[] = [];

  private readonly entries: Entry[];

  private messages: Message[] = [];

  /** What the stores have on disk; undefined if they keep nothing. */
  private kept: RememberedSpending | undefined;

  private reported: RememberedSpending | undefined;

  private readonly totals = new Map<string, EntrySpending>();

  private readonly parts: AllowanceSimulationOptions;

  constructor(
    count: number,
    private readonly allowance: Allowance,
    parts: Partial<AllowanceSimulationOptions> = {},
  ) {
    this.parts = { ...usualParts, ...parts };
    this.entries = Array.from({ length: count }, () => ({
      ledger: this.parts.makeLimiter(),
      incarnation: 1,
      side: 0,
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
    const asked = entry.ledger.check(WORKSPACE, this.allowance, amount, this.now);
    if (asked.type === 'exceeded') return asked;
    this.passed.push({ at: this.now, amount });
    if (entry.ledger.spend(WORKSPACE, this.allowance, amount, this.now)) this.tell(number, entry);
    return asked;
  }

  kill(number: number, down: Milliseconds): void {
    const entry = this.entries[number % this.entries.length];
    if (entry !== undefined) entry.downUntil = this.now + down;
  }

  /** Takes all down together, and the stores with them: these come back with what is on their disks. */
  losePower(down: Milliseconds): void {
    this.entries.forEach((_, number) => this.kill(number, down));
    this.reported = this.parts.isPersisted ? this.kept : undefined;
    this.totals.clear();
    Object.entries(this.reported?.entries ?? {}).forEach(([name, entry]) => {
      this.totals.set(name, entry);
    });
  }

  /**
   * Puts an entry on a side; messages pass only within one. Side 0 has the quorum of stores: an entry
   * that starts elsewhere is told no configuration, and serves nothing until it is back.
   */
  setPartition(number: number, side: number): void {
    const entry = this.entries[number % this.entries.length];
    if (entry !== undefined) entry.side = side;
  }

  /** The most that was let through in any window. */
  maxInWindow(): number {
    let most = 0;
    let sum = 0;
    let first = 0;
    this.passed.forEach(({ at, amount }) => {
      sum += amount;
      for (
        let oldest = this.passed[first];
        oldest !== undefined && oldest.at <= at - this.allowance.windowMilliseconds;
        oldest = this.passed[first]
      ) {
        sum -= oldest.amount;
        first += 1;
      }
      most = Math.max(most, sum);
    });
    return most;
  }

  /** What was let through from one moment on until before another. */
  allowedBetween(from: Milliseconds, to: Milliseconds): number {
    return this.passed
      .filter(({ at }) => at >= from && at < to)
      .reduce((sum, { amount }) => sum + amount, 0);
  }

  private step(): void {
    if (this.now % KEPT_MILLISECONDS === 0) this.kept = this.reported;
    this.entries.forEach((entry, number) => {
      const isDue = entry.downUntil !== undefined && entry.downUntil <= this.now;
      if (isDue && entry.side === 0 && !this.parts.isOutage()) this.restart(number, entry);
      const phase = Math.floor((number * REPORT_MILLISECONDS) / this.entries.length);
      if (entry.downUntil === undefined && this.now % REPORT_MILLISECONDS === phase) {
        this.report(number, entry);
      }
    });
    const due = this.messages.filter(({ at }) => at <= this.now);
    this.messages = this.messages.filter(({ at }) => at > this.now);
    due.forEach(({ to, deliver }) => {
      const entry = this.entries[to];
      if (entry !== undefined && entry.downUntil === undefined) deliver(entry.ledger);
    });
  }

  private restart(number: number, entry: Entry): void {
    entry.ledger = this.parts.makeLimiter();
    entry.incarnation += 1;
    entry.downUntil = undefined;
    const { reported } = this;
    if (reported !== undefined) {
      entry.ledger.restore(reported, `entry-${number}`, this.now, this.now);
    }
    this.report(number, entry);
  }

  private send(from: number, deliver: (ledger: AllowanceLimiter) => void): void {
    const { side } = this.entries[from] ?? {};
    this.entries.forEach((entry, to) => {
      const delay = this.parts.delay();
      if (to === from || entry.side !== side || this.parts.isOutage()) return;
      this.messages.push({ at: this.now + delay, to, deliver });
    });
  }

  private report(number: number, { ledger, incarnation }: Entry): void {
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
      spent: ledger.reportTotals(),
      windowSpent: ledger.windowSpent(this.now),
      windowReach: ledger.historyLength(this.now),
      entries: ledger.entryCount,
    };
    this.remember(number, report);
    // The stores keep the window to themselves, but for entries that start.
    const { windowSpent, windowReach, ...brief } = report;
    this.send(number, (other) => other.receive(brief, this.now));
  }

  /** A store keeps the word of those that know most of the window. */
  private remember(number: number, report: EntryReport): void {
    if (this.entries[number]?.side !== 0 || this.parts.isOutage()) return;
    const { windowSpent = {}, windowReach = 0, spent = {}, instance, incarnation } = report;
    this.totals.set(instance, { incarnation, spent });
    const { reported } = this;
    const isOld = reported === undefined || this.now - reported.at >= 2 * REPORT_MILLISECONDS;
    if (!isOld && windowReach < reported.windowReach) return;
    const entries = Object.fromEntries(this.totals);
    this.reported = { at: this.now, windowSpent, windowReach, entries };
  }

  private tell(number: number, { ledger, incarnation }: Entry): void {
    const spending: SpendingReport = {
      type: 'spendingReport',
      instance: `entry-${number}`,
      incarnation,
      spent: ledger.reportTotal(WORKSPACE),
      leaving: false,
    };
    const { instance } = spending;
    const isHeard = this.entries[number]?.side === 0 && !this.parts.isOutage();
    if (isHeard) this.totals.set(instance, { incarnation, spent: spending.spent });
    this.send(number, (other) => other.receiveSpending(spending, this.now));
  }
}
