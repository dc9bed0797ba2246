/**
 * What the controllers of the embedded default do when the world outside changes. The figures that
 * steer them are shortened; the decisions are those of the product.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { fetch } from 'undici';
import { SystemTimerService } from '@hornbeampond/runtime';
import { digestPrompt, generateText } from '@hornbeampond/testing';
import { DevCluster, type DevOptions } from './DevCluster.js';
import { devKeys } from './devTables.js';

const CHECK_INTERVAL_MILLISECONDS = 10;
const LEASE_MILLISECONDS = 600;

const timers = new SystemTimerService();

const policy = {
  maxListLag: 500,
  takeoverPurchaseDelay: 200,
  startAnswerTimeout: 1000,
  initialStartBackoff: 60_000,
  drainPropagationTime: 300,
} as const;

async function waitUntil(
  description: string,
  condition: () => boolean,
  timeoutMilliseconds = 6000,
): Promise<void> {
  const endsAt = timers.monotonicNow() + timeoutMilliseconds;
  while (!condition()) {
    assert.ok(
      timers.monotonicNow() < endsAt,
      `not within ${timeoutMilliseconds} ms: ${description}`,
    );
    await timers.wait(CHECK_INTERVAL_MILLISECONDS);
  }
}

async function startCluster(
  context: TestContext,
  more: Partial<DevOptions> = {},
): Promise<{ readonly cluster: DevCluster; readonly callers: string }> {
  const cluster = new DevCluster({
    callersPort: 0,
    operatorsPort: 0,
    logLevel: 'error',
    leaseMilliseconds: LEASE_MILLISECONDS,
    policy,
    engineOptions: { tokenDelay: 1 },
    ...more,
  });
  context.after(async () => cluster.close());
  const ports = await cluster.start();
  return { cluster, callers: `http://127.0.0.1:${ports.callers}` };
}

async function sendChat(callers: string, content: string): Promise<string> {
  const response = await fetch(`${callers}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${devKeys.workspace}` },
    body: JSON.stringify({ messages: [{ role: 'user', content }] }),
  });
  const text = await response.text();
  assert.equal(response.status, 200, text);
  const answer = JSON.parse(text) as {
    readonly choices: readonly { readonly message: { readonly content: string } }[];
  };
  return answer.choices[0]?.message.content ?? '';
}

function isLoaded(cluster: DevCluster, instance: string): boolean {
  const engine = cluster.engines.find((started) => started.instance === instance);
  return engine?.orders.some(({ action }) => action.type === 'load') ?? false;
}

// Callers see whole answers throughout. One of two engines vanishes without notice; the platform's
// list stops showing it, and once the list's lag has passed the controller believes it and buys
// another. The new one has nothing loaded, so an order comes first and callers only after it.
test('an engine that vanishes is replaced by one that is loaded and serves', async (context) => {
  const { cluster, callers } = await startCluster(context);
  await waitUntil('a lease', () => cluster.controllers[0]?.epoch === 1);
  await cluster.platform.remove('engine-1');
  await waitUntil('a purchase', () => cluster.platform.purchases.length > 0);
  assert.equal(cluster.platform.purchases[0]?.pool, 'assistants');
  const bought = 'assistants-laptop-1';
  await waitUntil('a load', () => isLoaded(cluster, bought));
  // Only the bought engine is left, so an answer can come from nowhere else.
  const boughtEngine = cluster.engines.find(({ instance }) => instance === bought);
  assert.ok(boughtEngine !== undefined);
  const [order] = boughtEngine.orders;
  assert.deepEqual(order, {
    epoch: 1,
    sequence: order?.sequence,
    action: { type: 'load', model: 'dev-model', version: '1' },
  });
  assert.equal(boughtEngine.counts.runs, 0);
  await cluster.engines.find(({ instance }) => instance === 'engine-2')?.die();
  const question = 'Who has the new engine?';
  const expected = generateText(digestPrompt([{ role: 'user', content: question }]), 0, 32);
  assert.equal(await sendChat(callers, question), expected);
  assert.ok(boughtEngine.counts.finished > 0);
});

// Nobody sees anything but a dearer bill. The platform has no more of the cheap class; the refused
// place is closed for a while and the next cheapest class is bought instead, not asked for again.
test('a refused start falls to the next class', async (context) => {
  const { cluster } = await startCluster(context);
  const { platform } = cluster;
  platform.refuseStarts([{ instanceClass: 'fake-engine', reason: 'none left' }]);
  await platform.remove('engine-1');
  await waitUntil('a purchase', () => platform.purchases.length > 0);
  assert.ok(platform.refusedCount >= 1);
  assert.deepEqual(
    platform.purchases.map(({ instanceClass }) => instanceClass),
    ['fake-engine-on-demand'],
  );
  await waitUntil('a load', () => isLoaded(cluster, 'assistants-laptop-1'));
});

// Two controllers keep one data centre. The one that holds the lease is killed, so nobody gives it
// back; it ends by itself, and the other takes it under a higher epoch and acts: it replaces an
// engine, and its orders carry the new epoch, so that the engines refuse whatever the first sent.
test('the second controller goes on when the first is killed', async (context) => {
  const { cluster } = await startCluster(context, { controllerCount: 2 });
  const holders = () => cluster.controllers.filter(({ epoch }) => epoch !== undefined);
  await waitUntil('a lease', () => holders().length === 1);
  const [first] = holders();
  const second = cluster.controllers.find((controller) => controller !== first);
  assert.equal(first?.epoch, 1);
  await first.close();
  await waitUntil('another holder', () => second?.epoch !== undefined);
  assert.ok((second?.epoch ?? 0) > 1);
  await cluster.platform.remove('engine-1');
  await waitUntil('a load', () => isLoaded(cluster, 'assistants-laptop-1'));
  const bought = cluster.engines.find(({ instance }) => instance === 'assistants-laptop-1');
  assert.equal(bought?.orders[0]?.epoch, second?.epoch);
  assert.equal(cluster.platform.purchases.length, 1);
});

// The controller is cut off from the store but not from the platform. It cannot know whether
// another has the lease by now, so it stops by its own clock: an engine that vanishes afterwards is
// not replaced, however long it is watched. Callers are served by what is there.
test('a controller that cannot reach the store goes quiet', async (context) => {
  const { cluster, callers } = await startCluster(context);
  const [controller] = cluster.controllers;
  await waitUntil('a lease', () => controller?.epoch === 1);
  await cluster.closeStore();
  await waitUntil('the end of the lease', () => controller?.epoch === undefined);
  const listRequest = 'GET /instances';
  const { requestCounts, purchases } = cluster.platform;
  const listRequestsBefore = requestCounts.get(listRequest) ?? 0;
  await cluster.platform.remove('engine-1');
  // Three times as many polls as the list's lag takes at 100 ms each.
  await waitUntil('polls', () => (requestCounts.get(listRequest) ?? 0) > listRequestsBefore + 30);
  assert.deepEqual(purchases, []);
  assert.equal(cluster.platform.refusedCount, 0);
  const question = 'Is anyone there?';
  const expected = generateText(digestPrompt([{ role: 'user', content: question }]), 0, 32);
  assert.equal(await sendChat(callers, question), expected);
});
