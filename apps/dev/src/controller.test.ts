/**
 * How the controllers of the development cluster react to lost engines, refused starts and lost
 * leases. Tuning parameters and the lease are shortened; the decisions are those in production.
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

function hasReceivedLoadOrder(cluster: DevCluster, instance: string): boolean {
  const engine = cluster.engines.find((started) => started.instance === instance);
  return engine?.orders.some(({ action }) => action.type === 'load') ?? false;
}

// Guards against a removed engine that is not replaced, and against calls to its replacement before
// the model is loaded there.
test('an engine that is removed is replaced by one that is loaded and serves', async (context) => {
  const { cluster, callers } = await startCluster(context);
  await waitUntil('a lease', () => cluster.controllers[0]?.epoch === 1);
  await cluster.platform.remove('engine-1');
  await waitUntil('a purchase', () => cluster.platform.purchases.length > 0);
  assert.equal(cluster.platform.purchases[0]?.pool, 'assistants');
  const bought = 'assistants-laptop-1';
  await waitUntil('a load', () => hasReceivedLoadOrder(cluster, bought));
  // Once the other engine is dead too, only the bought one can answer.
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

// Guards against repeating a refused start instead of buying the next cheapest class.
test('after a refused start the next cheapest class is bought', async (context) => {
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
  await waitUntil('a load', () => hasReceivedLoadOrder(cluster, 'assistants-laptop-1'));
});

// Guards against a data centre that is left without an active controller when the lease holder is
// killed. The successor's orders carry a higher epoch, so engines refuse those of the first.
test('the second controller takes over when the first is killed', async (context) => {
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
  await waitUntil('a load', () => hasReceivedLoadOrder(cluster, 'assistants-laptop-1'));
  const bought = cluster.engines.find(({ instance }) => instance === 'assistants-laptop-1');
  assert.equal(bought?.orders[0]?.epoch, second?.epoch);
  assert.equal(cluster.platform.purchases.length, 1);
});

// Guards against two active controllers: one that is partitioned from the store cannot know whether
// another holds the lease by now, so it must not buy instances after its own lease has ended.
test('a controller that cannot reach the store stops acting when its lease ends', async (context) => {
  const { cluster, callers } = await startCluster(context);
  const [controller] = cluster.controllers;
  await waitUntil('a lease', () => controller?.epoch === 1);
  await cluster.closeStore();
  await waitUntil('the end of the lease', () => controller?.epoch === undefined);
  const listRequest = 'GET /instances';
  const { requestCounts, purchases } = cluster.platform;
  const listRequestsBefore = requestCounts.get(listRequest) ?? 0;
  await cluster.platform.remove('engine-1');
  // Long enough for several times `maxListLag` to pass.
  await waitUntil('polls', () => (requestCounts.get(listRequest) ?? 0) > listRequestsBefore + 30);
  assert.deepEqual(purchases, []);
  assert.equal(cluster.platform.refusedCount, 0);
  const question = 'Is anyone there?';
  const expected = generateText(digestPrompt([{ role: 'user', content: question }]), 0, 32);
  assert.equal(await sendChat(callers, question), expected);
});
