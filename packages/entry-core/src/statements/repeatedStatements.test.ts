/** What entries tell each other of what backend servers have said or the platform has announced. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster, type SimulatedEngine } from '../driver/index.js';
import { runLoad } from './testing/runLoad.js';

const ENTRIES = 58;
const ENGINES_PER_DATA_CENTRE = 50;
const REQUESTS_PER_SECOND = 400;
const SETTLING_MILLISECONDS = 2000;
const MEASURED_MILLISECONDS = 1000;

/** A tenth of a link of 7 Mbit/s: every entry gets the reports of all others, each second. */
const MAX_BYTES_PER_SECOND = 87_500;

/** Sums up the sizes of the reports that all entries send in a second. */
function countReportedBytes(cluster: SimulatedCluster): number {
  const { reportStore } = cluster;
  assert.ok(reportStore !== undefined);
  const addReport = reportStore.addReport.bind(reportStore);
  let bytes = 0;
  reportStore.addReport = (report) => {
    bytes += JSON.stringify(report).length;
    addReport(report);
  };
  runLoad(cluster, { requestsPerSecond: REQUESTS_PER_SECOND, duration: MEASURED_MILLISECONDS });
  reportStore.addReport = addReport;
  return bytes;
}

interface Saying {
  readonly name: string;
  readonly begin: (engine: SimulatedEngine) => void;
  readonly end?: (engine: SimulatedEngine) => void;
}

const sayings: readonly Saying[] = [
  {
    name: 'that they are brittle',
    begin: (engine) => Object.assign(engine, { survivedRejections: 4 }),
    end: (engine) => Object.assign(engine, { survivedRejections: Infinity }),
  },
  {
    name: 'that they name a limit',
    begin: (engine) => Object.assign(engine, { requestsPerSecond: 100 }),
    end: (engine) => Object.assign(engine, { requestsPerSecond: Infinity }),
  },
  {
    name: 'that they leave',
    begin: (engine) => {
      // Some remain, so that requests are still served.
      if (engine.instance.endsWith('0')) return;
      Object.assign(engine, { isLeaving: true });
    },
  },
];

function runSaying({ begin, end }: Saying): number[] {
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': ENGINES_PER_DATA_CENTRE, 'wien-b': ENGINES_PER_DATA_CENTRE },
    entries: ENTRIES,
    reportsThroughStore: true,
  });
  cluster.advance(1500);
  const engines = [...cluster.engines.values()];
  const settle = () =>
    runLoad(cluster, { requestsPerSecond: REQUESTS_PER_SECOND, duration: SETTLING_MILLISECONDS });
  engines.forEach(begin);
  settle();
  const whileSaid = countReportedBytes(cluster);
  if (end === undefined) return [whileSaid];
  engines.forEach(end);
  settle();
  return [whileSaid, countReportedBytes(cluster)];
}

sayings.forEach((saying) => {
  // Guards against links that are filled by what every entry repeats of every server, and on which a change of
  // the configuration comes late.
  test(`reports stay small while all servers say ${saying.name}, and after that`, () => {
    const bytes = runSaying(saying);
    assert.ok(
      bytes.every((count) => count <= MAX_BYTES_PER_SECOND),
      `${bytes.join(' and ')} bytes in a second, ${MAX_BYTES_PER_SECOND} are allowed`,
    );
  });
});

// Guards against a statement that nobody reports any more once the entry that reported it is gone, or because
// each entry takes the other for the one that does.
test('what servers have said is reported by another entry once the one that did is gone', () => {
  const cluster = new SimulatedCluster({ engines: { 'wien-a': 2 }, entries: 4 });
  cluster.advance(1500);
  const instance = 'wien-a-engine-1';
  const findReporters = () =>
    cluster.entries
      .filter(({ alive }) => alive)
      .map(({ state }) => state.membership.peers)
      .flatMap((peers) => [...peers.values()])
      .filter(({ isReachable, report }) => isReachable && instance in (report.brittleness ?? {}))
      .map(({ report }) => report.instance);
  cluster.entryAt(2).send({ type: 'serverStated', instance, survivedRejections: 4 });
  cluster.advance(3000);
  assert.deepEqual([...new Set(findReporters())], ['entry-1']);
  cluster.entry.kill();
  cluster.advance(6000);
  assert.deepEqual([...new Set(findReporters())], ['entry-2']);
  cluster.entryAt(3).send({ type: 'serverStated', instance, survivedRejections: 2 });
  cluster.advance(3000);
  assert.deepEqual([...new Set(findReporters())], ['entry-2']);
  assert.deepEqual(
    cluster.entries.slice(1).map(({ state }) => state.brittleness.at(instance)),
    [2, 2, 2],
  );
});
