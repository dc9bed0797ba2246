import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ReplaceTablesCommand } from '@hornbeampond/schema';
import { applyCommand } from './applyCommand.js';
import { configurationSince } from './configurationSince.js';
import { MachineState } from './MachineState.js';
import { restoreSnapshot, takeSnapshot } from './snapshot.js';

const route = {
  name: 'offers',
  match: { host: 'shop.example', pathPrefix: '/offers/' },
  pool: 'desk',
  idempotent: false,
  claimed: false,
  timeZone: 'UTC',
  deadline: { firstTokenMilliseconds: 100, wholeAnswerMilliseconds: 1000 },
};
const desk = {
  name: 'desk',
  kind: 'plainService',
  dataCentres: ['wien-a'],
  instanceClasses: [{ name: 'any', eurosPerHour: 0, reclaimable: false, concurrency: 6 }],
  least: 0,
  most: 10,
};
const key = 'a'.repeat(64);

function makeCommand(
  version: number,
  fields: Partial<ReplaceTablesCommand> = {},
): ReplaceTablesCommand {
  return {
    type: 'replaceTables',
    version,
    routes: [route],
    pools: [desk],
    workspaces: [{ name: 'workspace1', keySha256: [key] }],
    document: `document ${version}`,
    ...fields,
  };
}

function apply(state: MachineState, command: ReplaceTablesCommand) {
  return applyCommand(state, { at: 0, command });
}

// Operators send versions through several stores and resend one whose result was lost. Guards against
// an older version that replaces a newer one, and against a refused resend.
test('the highest version is in force, and every resend is acknowledged', () => {
  const state = new MachineState();
  [7, 3, 7, 9, 7].forEach((version) => {
    assert.equal(apply(state, makeCommand(version)).type, 'tablesReplaced');
  });
  assert.equal(state.configuration.whole?.version, 9);
  assert.equal(state.configuration.revision, 2);
  assert.equal(state.document, 'document 9');
});

// Guards against two instances that have different configurations under one version.
test('other content under the version in force changes nothing', () => {
  const state = new MachineState();
  apply(state, makeCommand(7));
  assert.deepEqual(apply(state, makeCommand(7, { document: 'other', routes: [] })), {
    type: 'tablesReplaced',
    version: 7,
  });
  assert.equal(state.document, 'document 7');
  assert.equal(state.configuration.routes.rows.length, 1);
});

const invalidCommands: readonly [string, Partial<ReplaceTablesCommand>, RegExp][] = [
  ['a pool that does not exist', { pools: [] }, /no "desk"/],
  [
    'weights that add up to 0',
    { routes: [{ ...route, split: [{ pool: 'desk', weight: 0 }] }] },
    /add up to 0/,
  ],
  [
    'a split to a pool that does not exist',
    { routes: [{ ...route, split: [{ pool: 'x', weight: 1 }] }] },
    /no "x"/,
  ],
  [
    'a timeout of 0',
    { routes: [{ ...route, deadline: { ...route.deadline, wholeAnswerMilliseconds: 0 } }] },
    /wholeAnswerMilliseconds/,
  ],
  [
    'a key that two workspaces share',
    {
      workspaces: [
        { name: 'workspace1', keySha256: [key] },
        { name: 'kunde', keySha256: [key] },
      ],
    },
    /shares a key/,
  ],
];
invalidCommands.forEach(([description, fields, reason]) => {
  test(`${description} is refused with its location, and no part of the command takes effect`, () => {
    const state = new MachineState();
    apply(state, makeCommand(1));
    const result = apply(state, makeCommand(2, fields));
    assert.ok(result.type === 'tablesInvalid');
    assert.match(
      result.faults.map((fault) => `${fault.where}: ${fault.reason}`).join('\n'),
      reason,
    );
    assert.equal(state.configuration.whole?.version, 1);
  });
});

test('a snapshot keeps the document, the version and the settled usage', () => {
  const state = new MachineState();
  apply(state, makeCommand(7));
  applyCommand(state, {
    at: 0,
    command: { type: 'settleUsage', window: 4, counts: { workspace1: 2 } },
  });
  const restored = restoreSnapshot(takeSnapshot(state));
  assert.equal(restored.document, 'document 7');
  assert.equal(restored.configuration.whole?.version, 7);
  const again = { type: 'settleUsage', window: 4, counts: { workspace1: 3 } } as const;
  assert.deepEqual(applyCommand(restored, { at: 0, command: again }), {
    type: 'usageSettled',
    counts: { workspace1: 2 },
  });
});

test('subscribers are sent the whole configuration, since a delta carries no workspaces', () => {
  const state = new MachineState();
  apply(state, makeCommand(1));
  apply(state, makeCommand(2));
  assert.equal(configurationSince(state, 1).type, 'whole');
});
