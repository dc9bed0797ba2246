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
const REPORT_INTERVAL_MILLISECONDS = 500;

/** Entries that take as many requests as their limiters allow. */
class GreedyCluster {
  now = 0;

  maxTotal = 0;

  readonly limiters: ConcurrencyLimiter[];

  private readonly requestIds: string[][];

  private sequence = 0;

  constructor(
    entries: number,
    private readonly limit: number,
  ) {
    this.limiters = Array.from({ length: entries }, () => new ConcurrencyLimiter());
    this.requestIds = this.limiters.map(() => []);
  }

  get total(): number {
    return this.requestIds.reduce((total, requestIds) => total + requestIds.length, 0);
  }

  inProgressAt(entry: number): number {
    return this.requestIds[entry]?.length ?? 0;
  }

  /** Lets an entry take up to `count` more requests. */
  acquireUpTo(entry: number, count: number): void {
    for (let acquired = 0; acquired < count; acquired += 1) {
      if (this.limiters[entry]?.hasCapacity(KEY, this.limit, this.now) !== true) return;
      this.sequence += 1;
      const requestId = `request-${this.sequence}`;
      this.limiters[entry]?.acquire(KEY, requestId);
      this.requestIds[entry]?.push(requestId);
      this.maxTotal = Math.max(this.maxTotal, this.total);
    }
  }

  releaseOldest(entry: number, count: number): void {
    for (const requestId of this.requestIds[entry]?.splice(0, count) ?? []) {
      this.limiters[entry]?.release(KEY, requestId);
    }
  }

  /** Makes the report of one entry; it is delivered when the returned function is called. */
  sendDelayedReport(from: number): () => void {
    this.sequence += 1;
    const limiter = this.limiters[from];
    if (limiter === undefined) return () => {};
    const report = this.makeReport(limiter, from);
    return () => {
      this.limiters.forEach((to, entry) => {
        if (entry !== from) to.receive(report, this.now);
      });
    };
  }

  /** Every entry reports; `arrives` decides which reports are delivered. */
  exchangeReports(arrives: (from: number, to: number) => boolean = () => true): void {
    this.sequence += 1;
    const reports = this.limiters.map((limiter, entry) => this.makeReport(limiter, entry));
    reports.forEach((report, from) => {
      this.limiters.forEach((limiter, to) => {
        if (from !== to && arrives(from, to)) limiter.receive(report, this.now);
      });
    });
  }

  advance(span: number): void {
    this.now += span;
    this.limiters.forEach((limiter) => limiter.removeExpiredPeers(this.now));
  }

  private makeReport(limiter: ConcurrencyLimiter, entry: number): EntryReport {
    return {
      type: 'entryReport',
      instance: `entry-${entry}`,
      dataCentre: 'dc-a',
      incarnation: 1,
      sequence: this.sequence,
      leaving: false,
      revision: 1,
      inProgress: limiter.countOwnByKey(),
      leavingBackendServers: {},
      suspects: [],
    };
  }
}

// Guards against entries that together exceed the limit by more than the rounding of n - 1, and
// against a limit that is not fully used.
test('reachable entries use the whole limit and exceed it only by rounding', () => {
  for (const limit of [1, 3, 10, 100]) {
    for (const entries of [1, 2, 5, 8]) {
      const cluster = new GreedyCluster(entries, limit);
      const random = xoroshiro128plus(limit * 100 + entries);
      cluster.exchangeReports();
      let minTotal = Number.POSITIVE_INFINITY;
      for (let interval = 0; interval < 200; interval += 1) {
        for (let step = 0; step < 20; step += 1) {
          const entry = uniformInt(random, 0, entries - 1);
          if (interval < 100) cluster.releaseOldest(entry, uniformInt(random, 0, 2));
          cluster.acquireUpTo(entry, limit);
        }
        if (interval > 150) minTotal = Math.min(minTotal, cluster.total);
        cluster.advance(REPORT_INTERVAL_MILLISECONDS);
        cluster.exchangeReports();
      }
      const name = `limit ${limit}, ${entries} entries`;
      assert.ok(cluster.maxTotal <= limit + entries - 1, `${name}: ${cluster.maxTotal}`);
      assert.ok(minTotal >= limit, `${name}: only ${minTotal} in use`);
    }
  }
});

// Guards against refusals at the only busy entry: after a few reports it gets the whole limit.
test('an entry can use the capacity that its peers do not use', () => {
  const cluster = new GreedyCluster(4, 100);
  for (let interval = 0; interval < 20; interval += 1) {
    cluster.exchangeReports();
    cluster.acquireUpTo(0, 100);
    cluster.advance(REPORT_INTERVAL_MILLISECONDS);
  }
  assert.equal(cluster.inProgressAt(0), 100);
});

// Entries decide by counts that are up to half a second old and arrive in reverse order. Guards
// against exceeding twice the limit, and against using little of it.
test('late and reordered reports do not exceed the documented bound', () => {
  for (const entries of [2, 4, 8]) {
    const limit = 100;
    const cluster = new GreedyCluster(entries, limit);
    const random = xoroshiro128plus(entries);
    cluster.exchangeReports();
    for (let interval = 0; interval < 300; interval += 1) {
      const delayedReports: (() => void)[] = [];
      for (let entry = 0; entry < entries; entry += 1) {
        delayedReports.push(cluster.sendDelayedReport(entry));
        cluster.releaseOldest(entry, uniformInt(random, 0, limit / 4));
        cluster.acquireUpTo(uniformInt(random, 0, entries - 1), limit);
        cluster.advance(REPORT_INTERVAL_MILLISECONDS / entries);
      }
      delayedReports.reverse().forEach((arrive) => arrive());
    }
    assert.ok(cluster.maxTotal <= 2 * limit + entries, `${entries}: ${cluster.maxTotal}`);
    assert.ok(cluster.maxTotal >= 0.8 * limit, `${entries}: only ${cluster.maxTotal}`);
  }
});

// Reports are lost, and then stop. Guards against exceeding twice the limit, and against entries
// that take more than their equal share once they are partitioned.
test('partitioned entries fall back to equal shares within the documented bound', () => {
  for (const entries of [2, 4, 8]) {
    const limit = 100;
    const cluster = new GreedyCluster(entries, limit);
    const random = xoroshiro128plus(entries);
    for (let interval = 0; interval < 200; interval += 1) {
      cluster.exchangeReports(
        (from, to) => interval < 100 && uniformInt(random, from + to, 20) > 4,
      );
      for (let entry = 0; entry < entries; entry += 1) {
        cluster.releaseOldest(entry, uniformInt(random, 0, limit / 4));
        cluster.acquireUpTo(entry, uniformInt(random, 0, 1) * limit);
      }
      if (interval < 100 + PEER_EXPIRY_MILLISECONDS / REPORT_INTERVAL_MILLISECONDS)
        cluster.advance(REPORT_INTERVAL_MILLISECONDS);
    }
    assert.ok(cluster.maxTotal <= 2 * limit + entries, `${entries}: ${cluster.maxTotal}`);
    for (let entry = 0; entry < entries; entry += 1) cluster.releaseOldest(entry, limit);
    const partitioned = new GreedyCluster(entries, limit);
    partitioned.exchangeReports();
    partitioned.advance(PEER_TIMEOUT_MILLISECONDS + 1);
    for (let interval = 0; interval < 50; interval += 1) {
      for (let entry = 0; entry < entries; entry += 1) partitioned.acquireUpTo(entry, limit);
      partitioned.advance(REPORT_INTERVAL_MILLISECONDS);
    }
    assert.ok(
      partitioned.total <= limit + entries,
      `${entries}: ${partitioned.total} when partitioned`,
    );
  }
});

// Guards against capacity that stays reserved for a crashed peer. Its equal share is assumed to be
// in use until the peer expires, since it may only be partitioned.
test('capacity of a crashed peer is free again after a minute', () => {
  const cluster = new GreedyCluster(2, 10);
  cluster.exchangeReports();
  cluster.acquireUpTo(1, 10);
  cluster.exchangeReports();
  for (let interval = 0; interval < 10; interval += 1) {
    cluster.advance(PEER_EXPIRY_MILLISECONDS / 10);
    cluster.acquireUpTo(0, 10);
  }
  assert.equal(cluster.inProgressAt(0), 5);
  cluster.advance(1);
  cluster.acquireUpTo(0, 10);
  assert.equal(cluster.inProgressAt(0), 10);
});

// Guards against decisions by an outdated report: the highest sequence of the newest incarnation
// counts.
test('a late report does not replace a newer one', () => {
  const limiter = new ConcurrencyLimiter();
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
  limiter.receive(report(1, 7, 0), 0);
  limiter.receive(report(1, 6, 1), 0);
  assert.equal(limiter.hasCapacity(KEY, 1, 0), true);
  limiter.receive(report(2, 1, 1), 0);
  assert.equal(limiter.hasCapacity(KEY, 1, 0), false);
});
