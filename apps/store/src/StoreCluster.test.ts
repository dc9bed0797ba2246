import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import type {
  CommandResult,
  OpenClaimCommand,
  Pool,
  PutTableCommand,
  StoreCommand,
} from '@hornbeampond/schema';
import { MemoryDisk } from './testing/MemoryDisk.js';
import { StoreCluster, waitFor, type TestClient } from './testing/StoreCluster.js';

const TIMEOUT_MILLISECONDS = 8000;

let cluster: StoreCluster;
let clients: TestClient[];

beforeEach(async () => {
  cluster = await StoreCluster.start(['wien-a', 'wien-b', 'stpoelten', 'eisenstadt', 'wien-a']);
  clients = ['entry-1', 'entry-2', 'entry-3', 'entry-4'].map((name) => cluster.connect(name));
});

afterEach(async () => {
  await cluster.stop();
  assert.deepEqual(cluster.failures, []);
});

function makePool(name: string): Pool {
  return {
    name,
    kind: 'plainService',
    dataCentres: ['wien-a'],
    instanceClasses: [{ name: 'cpu', eurosPerHour: 0.2, reclaimable: false, concurrency: 4 }],
    least: 1,
    most: 1,
    checksFencing: false,
  };
}

/** A change that replaces the pools table by as many rows as its number. */
function makeChange(number: number, baseRevision = number - 1): PutTableCommand {
  const rows = Array.from({ length: number }, (_, position) => makePool(`pool-${position + 1}`));
  return { type: 'putTable', table: 'pools', baseRevision, changeId: `change-${number}`, rows };
}

function clientAt(position: number): TestClient {
  const found = clients[position];
  assert.ok(found !== undefined);
  return found;
}

async function runCommand(position: number, command: StoreCommand): Promise<CommandResult> {
  const outcome = await clientAt(position).client.propose(command, TIMEOUT_MILLISECONDS);
  assert.equal(outcome.type, 'result');
  return outcome.result;
}

/** Runs changes one after another, each through the next client. */
async function runChanges(from: number, through: number): Promise<void> {
  for (let number = from; number <= through; number += 1) {
    const result = await runCommand(number % clients.length, makeChange(number));
    assert.deepEqual(result, { type: 'tableAccepted', revision: number });
  }
}

function revisionsOf({ configurations }: TestClient): number[] {
  return configurations.map(({ revision }) => revision);
}

async function waitForRevision(revision: number): Promise<void> {
  await waitFor(`revision ${revision} at every client`, () =>
    clients.every((client) => revisionsOf(client).at(-1) === revision) ? true : undefined,
  );
}

async function readThroughLeader(): Promise<number> {
  return (await clientAt(0).client.readConfiguration(TIMEOUT_MILLISECONDS)).revision;
}

// Four operators change the same revision concurrently. Guards against two accepted changes.
test('of concurrent changes to one revision exactly one is accepted', async () => {
  const racing = clients.map(async (_, position) =>
    runCommand(position, { ...makeChange(position + 1, 0), changeId: `operator-${position}` }),
  );
  const results = await Promise.all(racing);
  const won = results.filter(({ type }) => type === 'tableAccepted');
  const lost = results.filter(({ type }) => type !== 'tableAccepted');
  assert.deepEqual(won, [{ type: 'tableAccepted', revision: 1 }]);
  assert.deepEqual(
    lost,
    lost.map(() => ({ type: 'revisionStale', currentRevision: 1 })),
  );
  assert.equal(await readThroughLeader(), 1);
});

// An operator loses the result of an accepted change with the leader, and resends the change after
// another one was accepted. Guards against the answer that the change is stale.
test('a change that is resent after the leader has stopped gets its first result', async () => {
  const leader = await cluster.waitForLeader();
  await runChanges(1, 2);
  await cluster.close(leader);
  assert.deepEqual(await runCommand(3, makeChange(1)), { type: 'tableAccepted', revision: 1 });
  assert.equal(await readThroughLeader(), 2);
});

// The leader stops while changes are proposed, and starts again. Guards against changes that are lost,
// applied twice or out of order, and against a restarted store without the changes it missed.
test('changes continue without loss when the leader stops', async () => {
  await runChanges(1, 5);
  const changing = runChanges(6, 30);
  const leader = await cluster.waitForLeader();
  await cluster.close(leader);
  await changing;
  assert.notEqual(await cluster.waitForLeader(leader), leader);
  await cluster.open(leader);
  const returned = cluster.connect('entry-5', [leader]);
  await waitFor('the closed store caught up', () =>
    revisionsOf(returned).at(-1) === 30 ? true : undefined,
  );
  assert.equal(returned.configurations.at(-1)?.pools.rows.length, 30);
  assert.equal(await readThroughLeader(), 30);
});

// A store loses its disk, joins again on an empty one and becomes a voter. Then two other stores stop,
// so that every change needs the new disk. Guards against a replacement that does not count as a copy.
test('after a lost disk is replaced the cluster can lose two more stores', async () => {
  await runChanges(1, 10);
  const leader = await cluster.waitForLeader();
  const others = ['store-1', 'store-2', 'store-3', 'store-4', 'store-5'].filter(
    (instance) => instance !== leader,
  );
  const [repaired = '', second = '', third = ''] = others;
  await cluster.close(repaired);
  await runChanges(11, 15);
  await cluster.open(repaired, new MemoryDisk());
  await cluster.waitForVoters(5);
  await cluster.close(second);
  await cluster.close(third);
  await runChanges(16, 25);
  assert.equal(await readThroughLeader(), 25);
});

// The leader is partitioned from the other stores but not from its clients, and the other stores accept
// a change under a new leader. Guards against stale reads from the old leader.
test('a leader that is partitioned from the other stores answers no read', async () => {
  await runChanges(1, 3);
  const leader = await cluster.waitForLeader();
  const { client } = cluster.connect('entry-5', [leader]);
  assert.equal((await client.readConfiguration(TIMEOUT_MILLISECONDS)).revision, 3);
  cluster.links.isolate(leader);
  const early = assert.rejects(client.readConfiguration(1200));
  await cluster.waitForLeader(leader);
  await runChanges(4, 4);
  await early;
  await assert.rejects(client.readConfiguration(600));
  cluster.links.heal(leader);
  assert.equal(await readThroughLeader(), 4);
  const healed = cluster.connect('entry-6', [leader]);
  await waitFor('the healed store caught up', () =>
    revisionsOf(healed).at(-1) === 4 ? true : undefined,
  );
});

// The stores that entries subscribe to stop and restart one after another. Guards against a restarted
// store that is still behind and sends its subscribers an older revision than they have.
test('the revisions that subscribers receive never go back', async () => {
  await runChanges(1, 3);
  let number = 3;
  for (const instance of ['store-2', 'store-1', 'store-3']) {
    await cluster.close(instance);
    await runChanges(number + 1, number + 4);
    number += 4;
    const opening = cluster.open(instance);
    await runChanges(number + 1, number + 4);
    number += 4;
    await opening;
  }
  await waitForRevision(number);
  clients.forEach((client) => {
    const revisions = revisionsOf(client);
    assert.deepEqual(
      revisions,
      revisions.toSorted((a, b) => a - b),
    );
    const rows = client.configurations.at(-1)?.pools.rows.map(({ name }) => name);
    assert.deepEqual(
      rows,
      makeChange(number).rows.map((row) => (row as Pool).name),
    );
  });
});

// A caller sends a claimed request through one entry and retries through two others while the leader
// stops. Guards against a second attempt that is allowed to run.
test('a claim opened through one client is seen through every other', async () => {
  const claim = (attempt: number): OpenClaimCommand => ({
    type: 'openClaim',
    workspace: 'first',
    key: 'offer-1',
    digest: 'digest-1',
    holder: `entry-${attempt}`,
    attemptId: `attempt-${attempt}`,
    expiresAfter: 60_000,
  });
  assert.deepEqual(await runCommand(0, claim(1)), { type: 'claimOpened' });
  assert.deepEqual(await runCommand(1, claim(2)), { type: 'claimRunning' });
  await cluster.close(await cluster.waitForLeader());
  assert.deepEqual(await runCommand(1, claim(2)), { type: 'claimRunning' });
  const answer = { status: 201, headers: {}, body: Buffer.from('sold') };
  const { workspace, key, attemptId } = claim(1);
  const settled = await runCommand(0, {
    type: 'settleClaim',
    workspace,
    key,
    attemptId,
    outcome: 'done',
    answer,
  });
  assert.deepEqual(settled, { type: 'claimSettled' });
  const again = await runCommand(2, claim(3));
  assert.equal(again.type, 'claimDone');
  assert.equal(Buffer.from(again.answer?.body ?? []).toString(), 'sold');
});

// The store that an entry subscribes to is partitioned from the other stores. Guards against an entry
// that keeps old routes for the whole partition although other stores are reachable.
test('subscribers leave a store that is partitioned from the others', async () => {
  await runChanges(1, 2);
  await waitForRevision(2);
  const followed = await waitFor('a store that entry-1 follows', async () => {
    const statuses = await clientAt(0).client.readStatus();
    return statuses.find(({ instances }) => instances.some((it) => it.instance === 'entry-1'));
  });
  cluster.links.isolate(followed.instance);
  await runChanges(3, 5);
  await waitForRevision(5);
});

// An operator starts a second store with the name of a running one, on an empty folder. Guards against
// replacing the running store, which would cost a copy of all data.
test('a second store with a name in use is not admitted', async () => {
  await runChanges(1, 2);
  const leader = await cluster.waitForLeader();
  const name = leader === 'store-4' ? 'store-3' : 'store-4';
  const second = await cluster.openDuplicate(name);
  await runChanges(3, 40);
  await cluster.waitForVoters(5);
  const statuses = await clientAt(0).client.readStatus();
  assert.equal(statuses.find(({ instance }) => instance === name)?.role, 'follower');
  await second.close();
  await cluster.close(leader);
  await runChanges(41, 42);
});

// All stores and an entry start together after a power loss. Until the stores have a leader, no store
// knows which part of its log is committed. Guards against an entry that starts with old routes and keys.
test('after a power loss a starting entry receives nothing older than the last committed revision', async () => {
  const stores = ['store-1', 'store-2', 'store-3', 'store-4', 'store-5'];
  await runChanges(1, 12);
  await Promise.all(stores.map(async (instance) => cluster.close(instance)));
  const starting = stores.map(async (instance) => cluster.open(instance));
  const entry = cluster.connect('entry-5');
  await Promise.all(starting);
  await waitFor('a configuration', () => (entry.configurations.length > 0 ? true : undefined));
  assert.deepEqual(revisionsOf(entry), [12]);
});

// Guards against a process that keeps connecting to stopped stores although changed settings name others.
test('a process whose only store has stopped finds others through changed settings', async () => {
  await runChanges(1, 2);
  const { client, configurations } = cluster.connect('entry-5', ['store-2']);
  await waitFor('revision 2', () => (configurations.at(-1)?.revision === 2 ? true : undefined));
  await cluster.close('store-2');
  await runChanges(3, 4);
  client.setSeeds(cluster.addressesOf(['store-3', 'store-4']));
  await waitFor('revision 4', () => (configurations.at(-1)?.revision === 4 ? true : undefined));
});
