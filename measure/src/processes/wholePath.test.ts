import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { digestPrompt, generateText } from '@hornbeampond/testing';
import { fetch } from 'undici';
import { clusterKeys, ProcessCluster } from './ProcessCluster.js';
import { smallCluster } from './smallCluster.js';

let cluster: ProcessCluster;

before(async () => {
  cluster = await ProcessCluster.start(smallCluster);
});

after(async () => {
  await cluster.stop();
});

const authorization = `Bearer ${clusterKeys.workspace}`;

function ask(entry: number, content: string, tokens: number) {
  return fetch(`${cluster.callersUrl(entry)}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization },
    body: JSON.stringify({
      stream: true,
      max_tokens: tokens,
      messages: [{ role: 'user', content }],
    }),
  });
}

function expected(content: string, tokens: number): string {
  return generateText(digestPrompt([{ role: 'user', content }]), 0, tokens);
}

/** The text of a stream of events, which must have come to its end. */
function textOf(body: string): string {
  const events = body.split('\n\n').filter((event) => event !== '');
  assert.equal(events.pop(), 'data: [DONE]');
  return events
    .map((event) => JSON.parse(event.slice('data: '.length)) as StreamedChunk)
    .map((chunk) => chunk.choices[0]?.delta.content ?? '')
    .join('');
}

interface StreamedChunk {
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
}

test('a streamed answer passes through separate processes whole and in order', async () => {
  const response = await ask(1, 'Is this card near mint?', 24);
  assert.equal(textOf(await response.text()), expected('Is this card near mint?', 24));
});

// The caller sees its whole answer. The other entry, which serves nothing of it, is killed while
// the stream runs; nothing that the first entry needs was there.
test('killing the entry that serves nothing does not touch a stream', async () => {
  const response = await ask(1, 'What is this lot worth?', 40);
  await cluster.find('entry-2').kill();
  assert.equal(textOf(await response.text()), expected('What is this lot worth?', 40));
  await cluster.restart('entry-2');
});

// The caller sees its whole answer, byte for byte. The engine that generates it dies after the
// first tokens; the entry has their text and goes on from there at the other engine.
test('killing the engine in the middle of a stream is not seen by the caller', async () => {
  const response = await ask(1, 'Describe each corner of the card.', 60);
  const engines = await Promise.all(
    ['engine-1', 'engine-2'].map(async (name) => ({ name, ...(await cluster.inspect(name)) })),
  );
  const running = engines.find((engine) => 'running' in engine && Number(engine.running) > 0);
  assert.ok(running !== undefined);
  await cluster.control(running.name, 'die');
  assert.equal(textOf(await response.text()), expected('Describe each corner of the card.', 60));
  await cluster.control(running.name, 'restart');
});

// The seller's purchase offer is sent again through the other entry, since the caller lost its
// first connection. The claim is in the store, so the second entry gives the first run's answer.
test('a call sent again through another entry is answered from the first run', async () => {
  const offer = (entry: number) =>
    fetch(`${cluster.callersUrl(entry)}/offers`, {
      method: 'POST',
      headers: { authorization, 'idempotency-key': 'offer-1' },
      body: '{"lot":7}',
    });
  const first = await offer(1);
  const second = await offer(2);
  assert.deepEqual([first.status, second.status], [200, 200]);
  assert.equal(await second.text(), await first.text());
  const runs = (await cluster.inspect('service-1')).runs as readonly unknown[];
  assert.equal(runs.length, 1);
});

test('a graceful stop of an entry ends with exit code 0 and cuts nothing', async () => {
  const response = await ask(2, 'Summarise the lot.', 60);
  const stopped = cluster.find('entry-2').terminate();
  assert.equal(textOf(await response.text()), expected('Summarise the lot.', 60));
  assert.equal(await stopped, 0);
});
