import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Encoder } from 'cbor-x';
import fc from 'fast-check';
import {
  applyDelta,
  type StampedCommand,
  type StoreCommand,
  type StoredAnswer,
} from '@hornbeampond/schema';
import { applyCommand } from './applyCommand.js';
import { configurationSince } from './configurationSince.js';
import { MachineState } from './MachineState.js';
import { restoreSnapshot, takeSnapshot } from './snapshot.js';

const SEED = 20261203;
const codec = new Encoder({ useRecords: false });

const oneOf = (...names: string[]) => fc.constantFrom(...names);
const claimArbitraries = {
  workspace: oneOf('laden', 'shop'),
  key: oneOf('k', 'l'),
  attemptId: oneOf('a', 'b', 'c'),
};
const answerArbitrary = fc.constantFrom<StoredAnswer>(
  { status: 201, headers: { x: 'y' }, body: new Uint8Array([1, 2]) },
  { status: 200, headers: {} },
);

function poolRow(poolName: string, most: number): unknown {
  const instanceClass = { name: 'small', eurosPerHour: 0.1, reclaimable: true, concurrency: 8 };
  const instanceClasses = [instanceClass];
  const dataCentres = ['wien-a'];
  return { name: poolName, kind: 'plainService', dataCentres, instanceClasses, least: 0, most };
}

const poolRows = fc.uniqueArray(
  fc.tuple(oneOf('buylist', 'offers', 'lots', 'prices'), fc.integer({ min: 1, max: 3 })),
  { selector: ([poolName]) => poolName, maxLength: 4 },
);

const commandArbitrary: fc.Arbitrary<StoreCommand> = fc.oneof(
  fc.record({
    ...claimArbitraries,
    type: fc.constant('openClaim' as const),
    digest: oneOf('lot', 'other'),
    holder: oneOf('entry-1'),
    expiresAfter: fc.constant(60_000),
  }),
  fc.record({ ...claimArbitraries, type: fc.constant('releaseClaim' as const) }),
  fc.record({
    ...claimArbitraries,
    type: fc.constant('settleClaim' as const),
    outcome: fc.constantFrom('done' as const, 'unknown' as const),
    answer: answerArbitrary,
  }),
  fc.record({
    type: fc.constant('takeLease' as const),
    lease: oneOf('wien-a', 'wien-b'),
    holder: oneOf('x', 'y'),
    duration: fc.constantFrom(1000, 90_000),
  }),
  fc.record({
    type: fc.constant('reportCrash' as const),
    backendServer: oneOf('s'),
    crashId: oneOf('1', '2', '3', '4'),
    digests: fc.subarray(['d', 'e', 'f']),
  }),
  fc.record({
    type: fc.constant('putTable' as const),
    table: fc.constant('pools' as const),
    baseRevision: fc.nat(3),
    changeId: oneOf('p', 'q', 'r', 's'),
    rows: poolRows.map((rows) => rows.map(([poolName, most]) => poolRow(poolName, most))),
  }),
);

const DAY = 24 * 60 * 60 * 1000;

/** Commands at times that advance by small and large steps and sometimes go back. */
const logArbitrary: fc.Arbitrary<StampedCommand[]> = fc
  .array(fc.tuple(fc.constantFrom(1, 10, 61_000, 11 * 60_000, DAY, -5000), commandArbitrary), {
    maxLength: 60,
  })
  .map((entries) => {
    let at = 1_000_000;
    return entries.map(([passed, each]) => {
      at += passed;
      return { at, command: each };
    });
  });

// A store restarts in the middle of the log, or is sent a snapshot. Guards against results that differ
// from those of a store that never restarted.
test('machine: a restored snapshot gives the same results and the same final state', () => {
  fc.assert(
    fc.property(logArbitrary, fc.nat(60), (commands, cut) => {
      const uninterrupted = new MachineState();
      let restarted = new MachineState();
      commands.forEach((stamped, position) => {
        if (position === cut) {
          restarted = restoreSnapshot(codec.decode(codec.encode(takeSnapshot(restarted))));
        }
        const expected: unknown = codec.decode(codec.encode(applyCommand(uninterrupted, stamped)));
        const actual: unknown = codec.decode(codec.encode(applyCommand(restarted, stamped)));
        assert.deepEqual(actual, expected);
      });
      const finalSnapshots = [takeSnapshot(uninterrupted), takeSnapshot(restarted)];
      const [first, second] = finalSnapshots.map((end) => codec.encode(end).toString('hex'));
      assert.equal(second, first);
    }),
    { seed: SEED, numRuns: 1500 },
  );
});

test('machine: answerBytes is the size of all stored answers, and their claims are done', () => {
  fc.assert(
    fc.property(logArbitrary, (commands) => {
      const state = new MachineState();
      commands.forEach((stamped) => applyCommand(state, stamped));
      // An answer with headers has 2 bytes of headers and 2 bytes of body.
      const storedBytes = [...state.answers.values()].map(({ headers, body }) =>
        JSON.stringify(headers) === '{}' ? (body?.byteLength ?? 0) : 4,
      );
      assert.equal(
        state.answerBytes,
        storedBytes.reduce((sum, bytes) => sum + bytes, 0),
      );
      [...state.answers.keys()].forEach((key) =>
        assert.equal(state.claims.get(key)?.phase, 'done'),
      );
    }),
    { seed: SEED, numRuns: 1500 },
  );
});

test('machine: a delta from an earlier revision gives the current rows in their order', () => {
  let deltas = 0;
  fc.assert(
    fc.property(fc.array(poolRows, { maxLength: 8 }), (changes) => {
      const state = new MachineState();
      const seen = [state.configuration];
      changes.forEach((rows, position) => {
        const { revision } = state.configuration.pools;
        const put = { type: 'putTable', table: 'pools', baseRevision: revision } as const;
        const tableRows = rows.map(([poolName, most]) => poolRow(poolName, most));
        const each = { ...put, changeId: `c${position}`, rows: tableRows };
        assert.equal(applyCommand(state, { at: 1, command: each }).type, 'tableAccepted');
        seen.push(state.configuration);
        seen.forEach((earlier) => {
          const update = configurationSince(state, earlier.revision);
          if (update.type === 'whole') return;
          deltas += 1;
          assert.deepEqual(applyDelta(earlier, update.delta), state.configuration);
        });
      });
    }),
    { seed: SEED, numRuns: 400 },
  );
  assert.ok(deltas > 2000, `only ${deltas} deltas were checked`);
});

test('machine: a subscriber too far behind gets the whole configuration', () => {
  const state = new MachineState();
  for (let change = 0; change < 300; change += 1) {
    const rows = [poolRow('buylist', 1 + change)];
    const put = { type: 'putTable', table: 'pools', baseRevision: change, rows } as const;
    applyCommand(state, { at: 1, command: { ...put, changeId: `c${change}` } });
  }
  assert.equal(configurationSince(state, 43).type, 'whole');
  assert.equal(configurationSince(state, 44).type, 'delta');
});

test('machine: a snapshot of another version is refused', () => {
  const newerSnapshot = { ...takeSnapshot(new MachineState()), version: 3 };
  assert.throws(() => restoreSnapshot(newerSnapshot), /snapshot version 3 is not the supported 2/);
  assert.throws(() => restoreSnapshot(undefined), /snapshot version undefined/);
});

// A decoded body is a view of a log batch or a snapshot. Guards against storing the view, which keeps
// all of that in memory.
test('machine: a stored answer keeps only its own bytes in memory', () => {
  const state = new MachineState();
  const frame = new Uint8Array(1024 * 1024);
  const attempt = { workspace: 'laden', key: 'k', attemptId: 'a' };
  const opened = {
    ...attempt,
    type: 'openClaim',
    digest: 'd',
    holder: 'e',
    expiresAfter: 1,
  } as const;
  const storedAnswer = { status: 200, headers: {}, body: frame.subarray(0, 10) };
  const settled = {
    ...attempt,
    type: 'settleClaim',
    outcome: 'done',
    answer: storedAnswer,
  } as const;
  applyCommand(state, { at: 1, command: opened });
  applyCommand(state, { at: 1, command: settled });
  const restored = restoreSnapshot(codec.decode(codec.encode(takeSnapshot(state))));
  [state, restored].forEach(({ answers }) => {
    assert.deepEqual(
      [...answers.values()].map(({ body }) => body?.buffer.byteLength),
      [10],
    );
  });
});
