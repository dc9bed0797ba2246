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

/** A change of the pools table, which leaves as many rows as its number. */
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

/** Puts changes one after another, each through the next client. */
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

// Four operators hold the table at the same revision and each puts a change of his own at the same
// moment. The log orders them: the first wins, and the others are told the revision to look at.
test('of changes that race from one revision exactly one wins', async () => {
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

// An operator's change is accepted, and its answer is lost with the leader. He sends the change
// again under its change id, through another entry, after another change has gone by. He is told
// that his change was accepted, not that it lost a race against itself.
test('a change sent again after the leader is closed gets its first answer', async () => {
  const leader = await cluster.waitForLeader();
  await runChanges(1, 2);
  await cluster.close(leader);
  assert.deepEqual(await runCommand(3, makeChange(1)), { type: 'tableAccepted', revision: 1 });
  assert.equal(await readThroughLeader(), 2);
});

// Changes go on while the leader is closed in the middle of them. Proposals whose answer is lost
// are sent again under their change id. Every change is accepted once, in order, and the closed
// store has them all once it is back.
test('closing the leader loses no change and stops none for long', async () => {
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

// A store loses its disk and comes back empty under its old name. It is taken in again under the
// identity of its new disk, as a learner first. Right after that repair two other stores are lost.
// Three of five are left, and the repaired one is needed for each change.
test('after a lost disk is repaired the cluster can lose two more stores', async () => {
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

// The leader's connections to the other stores go silent, while its clients still reach it. The
// others elect a leader and accept a change. The old leader may not answer a read, since what it
// holds is old; it answers again once the partition is healed, with the new revision.
test('a leader that is cut off from the others answers no read', async () => {
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

// Entries follow the configuration while the stores they are subscribed to are closed in turn and
// come back. A store that was away is behind for a moment; what it then says is older than what
// its subscribers have. No subscriber is handed an older revision than before.
test('the revisions that subscribers are handed never go back', async () => {
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

// A caller's purchase offer is claimed through one entry. The caller loses patience and sends it
// again through another, which is told that it runs; after the leader is closed and the first run
// has ended, a third entry is handed the stored answer. No second attempt is let through.
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

// Entries stay connected to the store of their data centre while it is cut off from the other
// stores. Without a word from it they would follow a store that hears of nothing any more, although
// others are within reach; callers would meet old routes for as long as the cut lasts.
test('subscribers leave a store that has lost touch with the others', async () => {
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

// Nothing is to be seen by callers. An operator starts a second store under the name of one that
// runs, on an empty folder. Were it taken for the same store with a lost disk, the one that runs would
// lose its vote, and with it a copy of everything; it is turned away as long as the other is heard of.
test('a second store under a name that is in use is not let in', async () => {
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

// All stores and an entry lose power at once, and start together. A store knows what its own disk
// holds, but not yet what of it was agreed on. Told that, the entry would serve its callers by routes
// and keys that were replaced hundreds of changes ago, until the stores have a leader again.
test('a starting entry is told nothing older than what was agreed on before a power loss', async () => {
  const stores = ['store-1', 'store-2', 'store-3', 'store-4', 'store-5'];
  await runChanges(1, 12);
  await Promise.all(stores.map(async (instance) => cluster.close(instance)));
  const starting = stores.map(async (instance) => cluster.open(instance));
  const entry = cluster.connect('entry-5');
  await Promise.all(starting);
  await waitFor('a configuration', () => (entry.configurations.length > 0 ? true : undefined));
  assert.deepEqual(revisionsOf(entry), [12]);
});

// Guards against a process that seeks only stores which are gone, while changed settings name others.
test('a process whose stores are all gone finds the others by changed settings', async () => {
  await runChanges(1, 2);
  const { client, configurations } = cluster.connect('entry-5', ['store-2']);
  await waitFor('revision 2', () => (configurations.at(-1)?.revision === 2 ? true : undefined));
  await cluster.close('store-2');
  await runChanges(3, 4);
  client.useSeeds(cluster.addressesOf(['store-3', 'store-4']));
  await waitFor('revision 4', () => (configurations.at(-1)?.revision === 4 ? true : undefined));
});
