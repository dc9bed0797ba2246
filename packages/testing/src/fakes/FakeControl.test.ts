import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  HttpEngineAdapter,
  HttpPlainServiceAdapter,
  HttpPlatformAdapter,
} from '@hornbeampond/adapters';
import { FakeCluster } from './FakeCluster.js';
import { FakeControl } from './FakeControl.js';

const { signal } = new AbortController();
const place = { pool: 'appraisers', dataCentre: 'wien-a', instanceClass: 'gpu' };

async function startControlled() {
  const cluster = await FakeCluster.start({
    engines: [{ instance: 'engine-1', ...place }],
    services: [{ instance: 'buylist-1', ...place, pool: 'buylist' }],
    launches: [{ pool: 'appraisers', kind: 'modelEngine', model: 'appraiser' }],
  });
  const control = new FakeControl(cluster, {});
  await control.restart();
  // Serves as a plain HTTP client.
  const client = new HttpPlainServiceAdapter(control);
  const send = async (method: string, path: string, body?: object) => {
    const answer = await client.send({
      method,
      path: `/control/${path}`,
      headers: {},
      body: body === undefined ? undefined : Buffer.from(JSON.stringify(body)),
      requiresNewConnection: false,
      signal,
    });
    const parts = [];
    for await (const part of answer.body) parts.push(part);
    return { status: answer.status, value: JSON.parse(Buffer.concat(parts).toString()) as unknown };
  };
  const post = async (path: string, body: object = {}) => (await send('POST', path, body)).status;
  const close = async () => {
    await client.close();
    await control.close();
    await cluster.close();
  };
  return { cluster, send, post, close };
}

test('faults are injected over HTTP, and unknown names, actions and values are refused', async (t) => {
  const { cluster, send, post, close } = await startControlled();
  const platform = new HttpPlatformAdapter(cluster.platform.url);
  t.after(async () => {
    await platform.close();
    await close();
  });
  const engine = cluster.engines.get('engine-1');
  assert.equal(await post('engine-1/die'), 200);
  assert.equal(engine?.alive, false);
  assert.equal(await post('engine-1/restart'), 200);
  assert.equal(engine?.alive, true);
  assert.equal(await post('buylist-1/setOutcome', { outcome: 'lost' }), 200);
  assert.equal(await post('buylist-1/setOutcome', { outcome: 'other' }), 400);
  assert.equal(await post('buylist-1/stallStreamsAfter'), 404);
  assert.equal(await post('nobody/die'), 404);
  const { value } = await send('GET', 'buylist-1');
  assert.deepEqual((value as { runs: unknown }).runs, []);
  await post('platform/refuseStarts', { refusals: [{ dataCentre: 'wien-a', reason: 'full' }] });
  const refused = await platform.startInstance({ ...place, startToken: 'token-1' }, signal);
  assert.deepEqual(refused, { type: 'refused', reason: 'full' });
});

test('an instance bought for a pool serves the model of the pool and is listed', async (t) => {
  const { cluster, close } = await startControlled();
  const platform = new HttpPlatformAdapter(cluster.platform.url);
  t.after(async () => {
    await platform.close();
    await close();
  });
  const bought = await platform.startInstance({ ...place, startToken: 'token-1' }, signal);
  assert.ok(bought.type === 'started');
  const engine = new HttpEngineAdapter(bought.instance);
  t.after(() => engine.close());
  assert.equal((await engine.readLoad(signal)).model, 'appraiser');
  assert.equal((await platform.listInstances(signal)).length, 3);
});
