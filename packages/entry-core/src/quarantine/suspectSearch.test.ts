/** What it costs entries to look up suspects after many backend servers have crashed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeRequest, SimulatedCluster } from '../driver/index.js';

const ENTRIES = 58;
const ENGINES_PER_DATA_CENTRE = 32;
const CRASHED_ENGINES = 17;
const REQUESTS_PER_SECOND = 430;
const STEP_MILLISECONDS = 10;
const MEASURED_MILLISECONDS = 1000;

/** The search for suspects may cost as much as everything else that entries do in that second. */
const MAX_GROWTH = 2;

/** Sends requests to all entries in turn; returns the processor time that it took. */
function runLoad(cluster: SimulatedCluster, name: string): number {
  const before = process.cpuUsage();
  let sent = 0;
  for (let elapsed = 0; elapsed < MEASURED_MILLISECONDS; elapsed += STEP_MILLISECONDS) {
    for (; sent < (elapsed / 1000) * REQUESTS_PER_SECOND; sent += 1) {
      cluster
        .entryAt(sent % ENTRIES)
        .submitRequest(makeRequest(`${name}-${sent}`, { maxTokens: 120 }));
    }
    cluster.advance(STEP_MILLISECONDS);
  }
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1000;
}

/** Processor time of the second after the crashes. */
function measureCrashes(isolateSuspects: boolean): number {
  const cluster = new SimulatedCluster({
    engines: { 'wien-a': ENGINES_PER_DATA_CENTRE, 'wien-b': ENGINES_PER_DATA_CENTRE },
    entries: ENTRIES,
    reportsThroughStore: true,
  });
  cluster.entries.forEach(({ state }) => {
    state.retries.policy = { ...state.retries.policy, isolateSuspects };
  });
  cluster.advance(1500);
  runLoad(cluster, 'before');
  [...cluster.engines.values()].slice(0, CRASHED_ENGINES).forEach((engine) => engine.die());
  return runLoad(cluster, 'after');
}

// Guards against entries that run out of processor time as servers crash: whoever asked whether a request is
// a suspect searched all suspects of all entries.
test('after many crashes at once, the search for suspects at most doubles the work of entries', () => {
  // Compiled code is measured in both cases.
  measureCrashes(true);
  const without = measureCrashes(false);
  const withSearch = measureCrashes(true);
  assert.ok(
    withSearch <= without * MAX_GROWTH,
    `${Math.round(withSearch)} ms of processor time, ${Math.round(without)} ms without it`,
  );
});
