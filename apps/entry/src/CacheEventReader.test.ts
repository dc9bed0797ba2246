import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpEngineAdapter } from '@hornbeampond/adapters';
import { FakeEngine } from '@hornbeampond/testing';
import { CacheEventReader } from './CacheEventReader.js';

const longPrompt = Array.from({ length: 64 }, (_, number) => `word${number}`).join(' ');

async function complete(adapter: HttpEngineAdapter, attemptId: string, text: string) {
  const signal = AbortSignal.timeout(5000);
  const body = { messages: [{ role: 'user', content: text }], max_tokens: 1 };
  const stream = await adapter.startCompletion({ attemptId, body, priority: 5, signal });
  for await (const chunk of stream) if (chunk.type === 'end') break;
}

// If a restart of the engine were missed, the entry would route requests to a cache that is empty.
test('cache events are read once, and a restart of the engine yields a cleared event', async (context) => {
  const engine = await FakeEngine.start({ instance: 'own-name' });
  const adapter = new HttpEngineAdapter(engine);
  context.after(async () => Promise.all([adapter.close(), engine.close()]));
  const reader = new CacheEventReader();
  const read = async () => reader.read('engine-1', adapter, AbortSignal.timeout(5000));
  await complete(adapter, 'one', longPrompt);
  const first = await read();
  assert.ok(first.length > 0);
  assert.ok(first.every((event) => event.instance === 'engine-1' && event.change === 'stored'));
  assert.deepEqual(await read(), []);
  await engine.die();
  await engine.restart();
  adapter.renewConnections();
  assert.deepEqual(
    (await read()).map(({ change }) => change),
    ['cleared'],
  );
});
