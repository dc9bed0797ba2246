/**
 * Simulates several entries that share an allowance, in virtual time: stores that collect reports
 * into digests, a network that delays and loses messages, entries and stores that crash or freeze,
 * power losses and partitions. It counts independently of the limiters what was allowed in any
 * window.
 */
import type {
  Allowance,
  EntryReport,
  Milliseconds,
  PersistedSpending,
  SpendingReport,
} from '@hornbeampond/schema';
import type { SpendingFacts } from '../allowanceDecision.js';
import { AllowanceLimiter } from '../AllowanceLimiter.js';
import { SPENDING_DELIVERY_MILLISECONDS } from '../spendingDelivery.js';
import { SimulatedStore, type SpendingDigest } from './SimulatedStore.js';

const WORKSPACE = 'laden';
const REPORT_INTERVAL_MILLISECONDS: Milliseconds = 1000;

interface Entry {
  limiter: AllowanceLimiter;
  incarnation: number;
  /** The side of a network partition that the entry is on. */
  partition: number;
  /** Undefined while the entry runs. */
  downUntil: Milliseconds | undefined;
  frozenUntil: Milliseconds;
  /** The store on its side that sends it digests. */
  storeIndex: number;
  /** When a digest last arrived. */
  digestAt: Milliseconds;
  /** When it last sent a report. */
  reportedAt: Milliseconds;
  startedAt: Milliseconds;
}

/** A request that was allowed. */
export interface AllowedRequest {
  readonly at: Milliseconds;
  readonly amount: number;
}

/** A request that was refused, at once or after its wait for an acknowledgement. */
export interface RefusedRequest {
  readonly at: Milliseconds;
  readonly index: number;
  readonly amount: number;
  readonly bound: SpendingFacts['bound'];
  readonly facts: SpendingFacts;
  /** What all entries together had spent in the window by then. */
  readonly spentInWindow: number;
  /** Since when its entry runs. */
  readonly startedAt: Milliseconds;
  /** Fraction of the entries that have reported on this side of a partition in the last 3 s. */
  readonly reachableFraction: number;
}

/** A request that waits until a store has acknowledged what its entry has spent before. */
interface HeldRequest {
  readonly index: number;
  readonly incarnation: number;
  readonly amount: number;
  readonly waitsUntil: Milliseconds;
}

/** How long an entry that is not slow holds a request. */
const MAX_HOLD_MILLISECONDS: Milliseconds = 250;

/** An entry turns to another store when its own has sent nothing for this long; see `DigestWatch`. */
const STORE_TIMEOUT_MILLISECONDS: Milliseconds = 400;

/** What a test may replace; by default the real limiter and a network without losses. */
export interface AllowanceSimulationOptions {
  readonly makeLimiter: () => AllowanceLimiter;
  /** Delay of a message. */
  readonly delay: () => Milliseconds;
  /** Time that a message waits until an entry reads it. */
  readonly entryDelay: (index: number) => Milliseconds;
  /** How long an entry holds a request until spending is acknowledged. */
  readonly holdTime: (index: number) => Milliseconds;
  /** True while stores are down: no report is delivered, and entries that restart stay down. */
  readonly isOutage: () => boolean;
  /** True if stores persist what entries report, and send it to those that start. */
  readonly isPersisted: boolean;
  readonly storeCount: number;
  /** Time from an acknowledgement until the spending counts as acknowledged. */
  readonly acknowledgementDelay: Milliseconds;
}

/** An entry that has not reported for this long is unreachable. */
const PEER_TIMEOUT_MILLISECONDS: Milliseconds = 3000;

const MESSAGE_DELAY_MILLISECONDS: Milliseconds = 3;

/** No request may be refused while less than this fraction of the limit is spent in the window. */
const MIN_USED_FRACTION = 0.95;

/** How often stores write to disk. */
const PERSIST_INTERVAL_MILLISECONDS: Milliseconds = 250;

const defaultOptions: AllowanceSimulationOptions = {
  makeLimiter: () => new AllowanceLimiter(),
  delay: () => MESSAGE_DELAY_MILLISECONDS,
  entryDelay: () => 0,
  holdTime: () => MAX_HOLD_MILLISECONDS,
  isOutage: () => false,
  isPersisted: true,
  storeCount: 1,
  acknowledgementDelay: SPENDING_DELIVERY_MILLISECONDS,
};

export class AllowanceSimulation {
  now: Milliseconds = 0;

  readonly allowedRequests: AllowedRequest[] = [];

  readonly refusedRequests: RefusedRequest[] = [];

  /** Number of requests that had to wait for an acknowledgement. */
  heldCount = 0;

  private heldRequests: HeldRequest[] = [];

  private readonly entries: Entry[];

  /** By side of a partition. */
  private stores = new Map<number, SimulatedStore[]>();

  /** What the stores of each side have on disk. */
  private readonly disks = new Map<number, (PersistedSpending | undefined)[]>();

  private readonly messages = new Map<Milliseconds, (() => void)[]>();

  private readonly options: AllowanceSimulationOptions;

  /** The first allowed request in the window, and the amount in the window. */
  private windowStart = 0;

  private inWindow = 0;

  constructor(
    count: number,
    private readonly allowance: Allowance,
    options: Partial<AllowanceSimulationOptions> = {},
  ) {
    this.options = { ...defaultOptions, ...options };
    this.entries = Array.from({ length: count }, (_, index) => ({
      limiter: this.options.makeLimiter(),
      incarnation: 1,
      partition: 0,
      downUntil: undefined,
      frozenUntil: 0,
      storeIndex: index % this.options.storeCount,
      digestAt: 0,
      reportedAt: 0,
      startedAt: 0,
    }));
    this.entries.forEach((_, index) => this.subscribe(index));
  }

  /** Advances the time in steps of a millisecond; reports are sent and delivered when due. */
  advance(span: Milliseconds): void {
    for (const end = this.now + span; this.now < end; this.now += 1) this.step();
  }

  /**
   * Spends an amount at an entry if its limiter allows it, and holds the request if it may be allowed
   * once a store has acknowledged earlier spending. An entry that is down or frozen decides nothing.
   */
  trySpend(index: number, amount: number): void {
    const entry = this.entries[index % this.entries.length];
    if (entry === undefined || !this.isRunning(entry)) return;
    const waitsUntil = this.now + this.options.holdTime(index);
    const heldBefore = this.heldRequests.length;
    this.decide({ index, incarnation: entry.incarnation, amount, waitsUntil });
    this.heldCount += this.heldRequests.length - heldBefore;
  }

  private decide(request: HeldRequest): void {
    const { index, incarnation, amount, waitsUntil } = request;
    const entry = this.entries[index % this.entries.length];
    // Held requests end with their entry.
    if (entry?.incarnation !== incarnation || entry.downUntil !== undefined) return;
    if (!this.isRunning(entry)) {
      this.heldRequests.push(request);
      return;
    }
    const decision = entry.limiter.check(WORKSPACE, this.allowance, amount, this.now);
    if (decision.type === 'allowed') {
      this.allowedRequests.push({ at: this.now, amount });
      this.inWindow += amount;
      if (entry.limiter.spendAndCheckReportDue(WORKSPACE, this.allowance, amount, this.now))
        this.broadcastSpending(index, entry);
    } else if (decision.awaitsAcknowledgement && this.now < waitsUntil) {
      this.heldRequests.push(request);
      if (entry.limiter.hasUnreportedSpending(WORKSPACE)) this.broadcastSpending(index, entry);
    } else {
      const { facts } = decision;
      const { bound } = facts;
      const { now } = this;
      const spentInWindow = this.spentInWindow();
      const reachableFraction = this.reachableFraction(entry.partition);
      const { startedAt } = entry;
      const circumstances = { bound, facts, spentInWindow, reachableFraction, startedAt };
      this.refusedRequests.push({ at: now, index, amount, ...circumstances });
    }
  }

  kill(index: number, duration: Milliseconds): void {
    const entry = this.entries[index % this.entries.length];
    if (entry !== undefined) entry.downUntil = this.now + duration;
  }

  /** An entry that is frozen does nothing; it handles what has arrived meanwhile afterwards. */
  freeze(index: number, duration: Milliseconds): void {
    const entry = this.entries[index % this.entries.length];
    if (entry !== undefined) entry.frozenUntil = this.now + duration;
  }

  freezeStore(index: number, duration: Milliseconds): void {
    const store = this.storesOf(0)[index];
    if (store !== undefined) store.frozenUntil = this.now + duration;
  }

  /** Stops all entries and stores together; the stores restart with what is on their disks. */
  losePower(duration: Milliseconds): void {
    this.entries.forEach((_, index) => this.kill(index, duration));
    this.stores = new Map();
    this.messages.clear();
    if (!this.options.isPersisted) this.disks.clear();
  }

  /**
   * Moves an entry to one side of a network partition; reports are delivered only within a side.
   * Side 0 has the quorum of stores: an entry that restarts elsewhere stays down until it is moved
   * back.
   */
  setPartition(index: number, partition: number): void {
    const entry = this.entries[index % this.entries.length];
    if (entry === undefined || entry.partition === partition) return;
    this.storesOf(entry.partition)[entry.storeIndex]?.subscribers.delete(index);
    entry.partition = partition;
    this.subscribe(index);
  }

  /** Running entries' limiters. */
  get limiters(): AllowanceLimiter[] {
    return this.entries.filter((entry) => this.isRunning(entry)).map(({ limiter }) => limiter);
  }

  /**
   * Requests that were refused although less than 0.95 of the limit was spent in the window and they
   * would not have exceeded it. Unreachable entries may be on the other side of a partition: their
   * fraction of the limit is not counted. An entry that has started during the window has only a
   * small quota (`part`), since it does not know its share of the callers.
   */
  earlyRefusals(): RefusedRequest[] {
    const { perSecond, windowMilliseconds, burst } = this.allowance;
    const limit = (perSecond * windowMilliseconds) / 1000 + burst;
    return this.refusedRequests.filter((refused) => {
      const { spentInWindow, reachableFraction, amount, bound, at, startedAt } = refused;
      const reachableLimit = limit * reachableFraction;
      if (bound === 'part' && at - startedAt < windowMilliseconds) return false;
      const isSpent = spentInWindow >= MIN_USED_FRACTION * reachableLimit;
      return !isSpent && spentInWindow + amount <= reachableLimit;
    });
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

  private spentInWindow(): number {
    const since = this.now - this.allowance.windowMilliseconds;
    for (
      let oldest = this.allowedRequests[this.windowStart];
      oldest !== undefined && oldest.at <= since;
      oldest = this.allowedRequests[this.windowStart]
    ) {
      this.inWindow -= oldest.amount;
      this.windowStart += 1;
    }
    return this.inWindow;
  }

  private reachableFraction(side: number): number {
    const reachable = this.entries.filter(
      ({ partition, reportedAt }) =>
        partition === side && this.now - reportedAt < PEER_TIMEOUT_MILLISECONDS,
    );
    return reachable.length / this.entries.length;
  }

  private isRunning({ downUntil, frozenUntil }: Entry): boolean {
    return downUntil === undefined && frozenUntil <= this.now;
  }

  private storesOf(partition: number): SimulatedStore[] {
    const disks = this.disks.get(partition) ?? [];
    const stores =
      this.stores.get(partition) ??
      Array.from(
        { length: this.options.storeCount },
        (_, index) => new SimulatedStore(disks[index]),
      );
    this.stores.set(partition, stores);
    return stores;
  }

  private step(): void {
    if (this.now % PERSIST_INTERVAL_MILLISECONDS === 0) this.writeDisks();
    this.entries.forEach((entry, index) => {
      const isDue = entry.downUntil !== undefined && entry.downUntil <= this.now;
      if (isDue && entry.partition === 0 && !this.options.isOutage()) this.restart(index, entry);
      if (!this.isRunning(entry)) return;
      const phase = Math.floor((index * REPORT_INTERVAL_MILLISECONDS) / this.entries.length);
      if (this.now % REPORT_INTERVAL_MILLISECONDS === phase) this.broadcastReport(index, entry);
      if (this.options.storeCount > 1) this.leaveSilentStore(index, entry);
    });
    const due = this.messages.get(this.now) ?? [];
    this.messages.delete(this.now);
    due.forEach((deliver) => deliver());
    this.publishDigests();
    const held = this.heldRequests;
    this.heldRequests = [];
    held.forEach((request) => this.decide(request));
  }

  private writeDisks(): void {
    this.stores.forEach((stores, partition) => {
      this.disks.set(
        partition,
        stores.map(({ spending }) => spending),
      );
    });
  }

  private restart(index: number, entry: Entry): void {
    entry.limiter = this.options.makeLimiter();
    entry.incarnation += 1;
    entry.startedAt = this.now;
    entry.downUntil = undefined;
    this.subscribe(index);
    this.broadcastReport(index, entry);
  }

  private leaveSilentStore(index: number, entry: Entry): void {
    if (this.now - entry.digestAt < STORE_TIMEOUT_MILLISECONDS || this.options.isOutage()) return;
    this.storesOf(entry.partition)[entry.storeIndex]?.subscribers.delete(index);
    this.subscribe(index, entry.storeIndex + 1);
  }

  /**
   * Subscribes to the first store that answers. It sends what it has persisted and all recent
   * reports.
   */
  private subscribe(index: number, first = this.entries[index]?.storeIndex ?? 0): void {
    const entry = this.entries[index];
    if (entry === undefined) return;
    const stores = this.storesOf(entry.partition);
    const candidates = stores.map((_, offset) => (first + offset) % stores.length);
    entry.digestAt = this.now;
    entry.storeIndex =
      candidates.find((candidate) => (stores[candidate]?.frozenUntil ?? 0) <= this.now) ?? first;
    const store = stores[entry.storeIndex];
    if (store === undefined) return;
    store.subscribers.add(index);
    const spending = store.describeSpending(this.now);
    if (spending !== undefined)
      entry.limiter.restore(spending, `entry-${index}`, this.now, this.now);
    this.receiveDigest(index, store.makeCompleteDigest(this.now));
  }

  private publishDigests(): void {
    if (this.options.isOutage()) return;
    this.stores.forEach((stores) =>
      stores.forEach((store) => {
        const digest = store.frozenUntil > this.now ? undefined : store.takeDigest(this.now);
        if (digest === undefined) return;
        store.subscribers.forEach((index) =>
          this.sendToEntry(index, () => {
            if (store.subscribers.has(index)) this.receiveDigest(index, digest);
          }),
        );
      }),
    );
  }

  private receiveDigest(index: number, { reports, spending }: SpendingDigest): void {
    const entry = this.entries[index];
    if (entry === undefined) return;
    entry.digestAt = this.now;
    const name = `entry-${index}`;
    reports
      .filter(({ instance }) => instance !== name)
      .forEach((report) => entry.limiter.receive(report, this.now));
    spending
      .filter(({ instance }) => instance !== name)
      .forEach((report) => entry.limiter.receiveSpending(report, this.now));
  }

  /** Delivers a message once the entry reads it; an entry that is restarted meanwhile does not. */
  private sendToEntry(index: number, deliver: () => void, added: Milliseconds = 0): void {
    const entry = this.entries[index];
    if (entry === undefined) return;
    const { incarnation } = entry;
    const attempt = () => {
      if (entry.incarnation !== incarnation || entry.downUntil !== undefined) return;
      if (this.isRunning(entry)) deliver();
      else this.schedule(entry.frozenUntil, attempt);
    };
    const delay = this.options.delay() + this.options.entryDelay(index) + added;
    this.schedule(this.now + delay, attempt);
  }

  private sendToStores(index: number, deliver: (store: SimulatedStore) => void): void {
    const { partition = 0 } = this.entries[index] ?? {};
    if (this.options.isOutage()) return;
    this.storesOf(partition).forEach((store) => {
      const attempt = () => {
        if (store.frozenUntil > this.now) this.schedule(store.frozenUntil, attempt);
        else deliver(store);
      };
      this.schedule(this.now + this.options.delay(), attempt);
    });
  }

  private schedule(at: Milliseconds, deliver: () => void): void {
    const due = Math.max(Math.ceil(at), this.now + 1);
    const messages = this.messages.get(due);
    if (messages === undefined) this.messages.set(due, [deliver]);
    else messages.push(deliver);
  }

  private broadcastReport(index: number, entry: Entry): void {
    const { limiter, incarnation } = entry;
    entry.reportedAt = this.now;
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
      ...limiter.reportTimes(this.now),
      ...limiter.reportWindow(this.now),
      entries: limiter.entryCount,
    };
    this.sendToStores(index, (store) => {
      store.addReport(report, this.now);
      this.acknowledge(index, report.spent ?? {});
    });
  }

  private broadcastSpending(index: number, { limiter, incarnation }: Entry): void {
    const spending: SpendingReport = {
      type: 'spendingReport',
      instance: `entry-${index}`,
      incarnation,
      spent: limiter.reportTotal(WORKSPACE),
      ...limiter.reportTimes(this.now, WORKSPACE),
      leaving: false,
    };
    this.sendToStores(index, (store) => {
      store.addSpending(spending, this.now);
      this.acknowledge(index, spending.spent);
    });
  }

  /** A store acknowledges what it has received; it counts once the digests have arrived. */
  private acknowledge(index: number, spent: Readonly<Record<string, number>>): void {
    if (this.options.isOutage()) return;
    const deliver = () => this.entries[index]?.limiter.acknowledge(spent);
    this.sendToEntry(index, deliver, this.options.acknowledgementDelay);
  }
}
