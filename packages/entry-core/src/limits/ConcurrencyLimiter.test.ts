import assert from 'node:assert/strict';
import { test } from 'node:test';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { EntryReport } from '@hornbeampond/schema';
import {
  PEER_EXPIRY_MILLISECONDS,
  ConcurrencyLimiter,
  PEER_TIMEOUT_MILLISECONDS,
} from './ConcurrencyLimiter.js';

const KEY = 'appraisals/kartenwerk-a';
const REPORT_INTERVAL = 500;

/** Entries that take requests as greedily as the ledger lets them. */
class GreedyEntries {
  now = 0;

  highestSum = 0;

  readonly ledgers: ConcurrencyLimiter[];

  private readonly held: string[][];

  private sequence = 0;

  constructor(
    entries: number,
    private readonly limit: number,
  ) {
    this.ledgers = Array.from({ length: entries }, () => new ConcurrencyLimiter());
    this.held = this.ledgers.map(() => []);
  }

  get sum(): number {
    return this.held.reduce((sum, held) => sum + held.length, 0);
  }

  countAt(entry: number): number {
    return this.held[entry]?.length ?? 0;
  }

  /** Has an entry take up to `wanted` more. */
  take(entry: number, wanted: number): void {
    for (let taken = 0; taken < wanted; taken += 1) {
      if (this.ledgers[entry]?.hasCapacity(KEY, this.limit, this.now) !== true) return;
      this.sequence += 1;
      const requestId = `request-${this.sequence}`;
      this.ledgers[entry]?.acquire(KEY, requestId);
      this.held[entry]?.push(requestId);
      this.highestSum = Math.max(this.highestSum, this.sum);
    }
  }

  end(entry: number, count: number): void {
    for (const requestId of this.held[entry]?.splice(0, count) ?? []) {
      this.ledgers[entry]?.release(KEY, requestId);
    }
  }

  /** One entry reports now; the report arrives when what is returned is called. */
  reportLate(from: number): () => void {
    this.sequence += 1;
    const ledger = this.ledgers[from];
    if (ledger === undefined) return () => {};
    const report = this.makeReport(ledger, from);
    return () => {
      this.ledgers.forEach((to, entry) => {
        if (entry !== from) to.receive(report, this.now);
      });
    };
  }

  /** Every entry reports; `arrives` says which reports get through. */
  report(arrives: (from: number, to: number) => boolean = () => true): void {
    this.sequence += 1;
    const reports = this.ledgers.map((ledger, entry) => this.makeReport(ledger, entry));
    reports.forEach((report, from) => {
      this.ledgers.forEach((ledger, to) => {
        if (from !== to && arrives(from, to)) ledger.receive(report, this.now);
      });
    });
  }

  pass(span: number): void {
    this.now += span;
    this.ledgers.forEach((ledger) => ledger.removeExpiredPeers(this.now));
  }

  private makeReport(ledger: ConcurrencyLimiter, entry: number): EntryReport {
    return {
      type: 'entryReport',
      instance: `entry-${entry}`,
      dataCentre: 'dc-a',
      incarnation: 1,
      sequence: this.sequence,
      leaving: false,
      revision: 1,
      inProgress: ledger.countOwnByKey(),
      leavingBackendServers: {},
      suspects: [],
    };
  }
}

// A workspace's counter rush meets all entries at once, each as greedy as it may be; requests end
// at random, and entries hear each other every half second. Callers see the whole limit used and
// no more than the rounding of n - 1 above it, because each takes only its part of the free room.
test('entries in contact use the whole limit and hold it', () => {
  for (const limit of [1, 3, 10, 100]) {
    for (const entries of [1, 2, 5, 8]) {
      const greedy = new GreedyEntries(entries, limit);
      const random = xoroshiro128plus(limit * 100 + entries);
      greedy.report();
      let lowestFull = Number.POSITIVE_INFINITY;
      for (let round = 0; round < 200; round += 1) {
        for (let step = 0; step < 20; step += 1) {
          const entry = uniformInt(random, 0, entries - 1);
          if (round < 100) greedy.end(entry, uniformInt(random, 0, 2));
          greedy.take(entry, limit);
        }
        if (round > 150) lowestFull = Math.min(lowestFull, greedy.sum);
        greedy.pass(REPORT_INTERVAL);
        greedy.report();
      }
      const name = `limit ${limit}, ${entries} entries`;
      assert.ok(greedy.highestSum <= limit + entries - 1, `${name}: ${greedy.highestSum}`);
      assert.ok(lowestFull >= limit, `${name}: only ${lowestFull} in use`);
    }
  }
});

// All callers of a workspace come to one entry while its peers have none of them. They see
// nearly the whole limit there after a few reports, because what peers leave free is lent.
test('an entry borrows what its peers leave free', () => {
  const greedy = new GreedyEntries(4, 100);
  for (let round = 0; round < 20; round += 1) {
    greedy.report();
    greedy.take(0, 100);
    greedy.pass(REPORT_INTERVAL);
  }
  assert.equal(greedy.countAt(0), 100);
});

// Entries report each at its own time, and every report arrives up to half a second late, after
// others that were sent later. Callers may then be let in above the limit, as each entry acts on
// what was true half a second ago; twice the limit is never passed, and the limit is well used.
test('late and crossing reports stay within the stated bound', () => {
  for (const entries of [2, 4, 8]) {
    const limit = 100;
    const greedy = new GreedyEntries(entries, limit);
    const random = xoroshiro128plus(entries);
    greedy.report();
    for (let round = 0; round < 300; round += 1) {
      const late: (() => void)[] = [];
      for (let entry = 0; entry < entries; entry += 1) {
        late.push(greedy.reportLate(entry));
        greedy.end(entry, uniformInt(random, 0, limit / 4));
        greedy.take(uniformInt(random, 0, entries - 1), limit);
        greedy.pass(REPORT_INTERVAL / entries);
      }
      late.reverse().forEach((arrive) => arrive());
    }
    assert.ok(greedy.highestSum <= 2 * limit + entries, `${entries}: ${greedy.highestSum}`);
    assert.ok(greedy.highestSum >= 0.8 * limit, `${entries}: only ${greedy.highestSum}`);
  }
});

// One entry has borrowed everything when all reports stop, as when the network between entries
// goes silent; peers go on. Callers may together get to twice the limit, since nobody sees the
// borrower's requests end; peers stop at their equal part, and so does the borrower afterwards.
test('entries out of contact fall back to equal parts within the stated bound', () => {
  for (const entries of [2, 4, 8]) {
    const limit = 100;
    const greedy = new GreedyEntries(entries, limit);
    const random = xoroshiro128plus(entries);
    for (let round = 0; round < 200; round += 1) {
      greedy.report((from, to) => round < 100 && uniformInt(random, from + to, 20) > 4);
      for (let entry = 0; entry < entries; entry += 1) {
        greedy.end(entry, uniformInt(random, 0, limit / 4));
        greedy.take(entry, uniformInt(random, 0, 1) * limit);
      }
      if (round < 100 + PEER_EXPIRY_MILLISECONDS / REPORT_INTERVAL) greedy.pass(REPORT_INTERVAL);
    }
    assert.ok(greedy.highestSum <= 2 * limit + entries, `${entries}: ${greedy.highestSum}`);
    for (let entry = 0; entry < entries; entry += 1) greedy.end(entry, limit);
    const silent = new GreedyEntries(entries, limit);
    silent.report();
    silent.pass(PEER_TIMEOUT_MILLISECONDS + 1);
    for (let turn = 0; turn < 50; turn += 1) {
      for (let entry = 0; entry < entries; entry += 1) silent.take(entry, limit);
      silent.pass(REPORT_INTERVAL);
    }
    assert.ok(silent.sum <= limit + entries, `${entries}: ${silent.sum} when silent`);
  }
});

// A peer dies holding half of the limit. For a minute its callers' requests count as in progress,
// since it may only be cut off; then the others get the whole limit back.
test('what a gone peer held is free again after a minute', () => {
  const greedy = new GreedyEntries(2, 10);
  greedy.report();
  greedy.take(1, 10);
  greedy.report();
  for (let turn = 0; turn < 10; turn += 1) {
    greedy.pass(PEER_EXPIRY_MILLISECONDS / 10);
    greedy.take(0, 10);
  }
  assert.equal(greedy.countAt(0), 5);
  greedy.pass(1);
  greedy.take(0, 10);
  assert.equal(greedy.countAt(0), 10);
});

// Reports overtake each other on the way. A caller must not be refused, or let in, by an old one:
// the higher sequence of the newest incarnation stays.
test('a late report does not replace a newer one', () => {
  const ledger = new ConcurrencyLimiter();
  const report = (incarnation: number, sequence: number, count: number): EntryReport => ({
    type: 'entryReport',
    instance: 'peer',
    dataCentre: 'dc-a',
    incarnation,
    sequence,
    leaving: false,
    revision: 1,
    inProgress: { [KEY]: count },
    leavingBackendServers: {},
    suspects: [],
  });
  ledger.receive(report(1, 7, 0), 0);
  ledger.receive(report(1, 6, 1), 0);
  assert.equal(ledger.hasCapacity(KEY, 1, 0), true);
  ledger.receive(report(2, 1, 1), 0);
  assert.equal(ledger.hasCapacity(KEY, 1, 0), false);
});
