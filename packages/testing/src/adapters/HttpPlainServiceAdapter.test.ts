import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import {
  BackendServerFailure,
  HttpPlainServiceAdapter,
  type PlainServiceAnswer,
  type PlainServiceRequest,
} from '@hornbeampond/adapters';
import { FakePlainService } from '../fakes/FakePlainService.js';

const { signal } = new AbortController();

/** Makes a test fail, and not hang, where a call is swallowed that should not be. */
const withTimeout = { timeout: 20_000 };
const offer: PlainServiceRequest = {
  method: 'POST',
  path: '/offers?shop=3',
  headers: { 'content-type': 'application/json', 'idempotency-key': 'offer-1' },
  body: Buffer.from('{"lot":17}'),
  requiresNewConnection: true,
  signal,
};

async function startService(t: TestContext, maxAnswerBytes?: number) {
  const service = await FakePlainService.start();
  const { host, port } = service;
  const adapter = new HttpPlainServiceAdapter({ host, port, maxAnswerBytes: maxAnswerBytes });
  t.after(async () => {
    await adapter.close();
    await service.close();
  });
  return { service, adapter };
}

async function readText(answer: PlainServiceAnswer): Promise<string> {
  const parts: Uint8Array[] = [];
  for await (const part of answer.body) parts.push(part);
  return Buffer.concat(parts).toString();
}

function hasFailure(failure: string, sent: string) {
  return (error: unknown): true => {
    assert.ok(error instanceof BackendServerFailure, String(error));
    assert.deepEqual([error.failure, error.sent], [failure, sent]);
    return true;
  };
}

test('a call and its answer pass through, without the headers of one connection', async (t) => {
  const { service, adapter } = await startService(t);
  service.setResponder((run) => ({
    status: 201,
    headers: { 'x-lot': '17', connection: 'x-hop', 'x-hop': 'not passed on' },
    body: run.body,
  }));
  const headers = { ...offer.headers, connection: 'close, x-own', 'x-own': '1', te: 'trailers' };
  const answer = await adapter.send({ ...offer, headers });
  assert.equal(await readText(answer), '{"lot":17}');
  const { date, ...kept } = answer.headers;
  assert.deepEqual([answer.status, kept], [201, { 'x-lot': '17', 'content-length': '10' }]);
  assert.ok(date);
  assert.deepEqual(service.runs, [
    { method: 'POST', path: '/offers?shop=3', idempotencyKey: 'offer-1', body: '{"lot":17}' },
  ]);
});

test(
  'a fresh call never goes out on a kept connection, which may be dead unseen',
  withTimeout,
  async (t) => {
    // Kept connections go silent while they are idle. A call on one is swallowed, and its caller can
    // only give up without knowing the outcome. A call that may not be repeated must not get there:
    // it opens a connection of its own and is answered, while the other still waits.
    const { service, adapter } = await startService(t);
    const lookup = { ...offer, method: 'GET', body: undefined, requiresNewConnection: false };
    const lookups = await Promise.all([1, 2, 3].map(() => adapter.send(lookup)));
    for (const answer of lookups) await readText(answer);
    service.stallOpenConnections();
    const giveUp = new AbortController();
    const unanswered = adapter.send({ ...lookup, signal: giveUp.signal });
    assert.equal((await adapter.send(offer)).status, 200);
    giveUp.abort();
    await assert.rejects(unanswered, hasFailure('silent', 'maybe'));
    assert.deepEqual([service.connectionCount, service.runs.length], [4, 4]);
  },
);

test('a fresh call that found no server has provably sent nothing', async (t) => {
  const { service, adapter } = await startService(t);
  await service.die();
  await assert.rejects(adapter.send(offer), hasFailure('connectFailed', 'nothing'));
  await service.restart();
  assert.equal((await adapter.send(offer)).status, 200);
  assert.equal(service.countRuns('offer-1'), 1);
});

test('a fresh call that its caller ends before it begins has sent nothing', async (t) => {
  const { service, adapter } = await startService(t);
  const ended = { ...offer, signal: AbortSignal.abort() };
  await assert.rejects(adapter.send(ended), hasFailure('silent', 'nothing'));
  assert.equal(service.connectionCount, 0);
});

test('a fresh call that its caller ends while it connects is never sent', async (t) => {
  // The caller gives up before the connection is there. The adapter says that nothing was sent,
  // and that stays true: the client is destroyed, so the connection that still comes about is
  // closed without a byte. Only the second call runs.
  const { service, adapter } = await startService(t);
  const giveUp = new AbortController();
  const sending = adapter.send({ ...offer, signal: giveUp.signal });
  giveUp.abort();
  await assert.rejects(sending, hasFailure('silent', 'nothing'));
  await readText(await adapter.send(offer));
  assert.equal(service.countRuns('offer-1'), 1);
});

test('a fresh call whose connection breaks after it ran is not sent again', async (t) => {
  // The service commits the purchase and its connection ends before the answer. The adapter can't
  // know whether it ran and says so. It neither retries nor opens a second connection, because the
  // client of the call is allowed one; so the commitment stands once.
  const { service, adapter } = await startService(t);
  service.setOutcome('lost');
  await assert.rejects(adapter.send(offer), hasFailure('connectionLost', 'maybe'));
  assert.deepEqual([service.countRuns('offer-1'), service.connectionCount], [1, 1]);
});

test('a service that takes a call and says nothing is ended by the caller, outcome unknown', async (t) => {
  const { service, adapter } = await startService(t);
  service.setOutcome('silence');
  const giveUp = new AbortController();
  const waiting = adapter.send({ ...offer, signal: giveUp.signal });
  await service.waitFor(() => service.runs.length === 1);
  giveUp.abort();
  await assert.rejects(waiting, hasFailure('silent', 'maybe'));
  assert.equal(service.countRuns('offer-1'), 1);
});

test('an answer cut in its middle fails while it is read, and never looks whole', async (t) => {
  const { service, adapter } = await startService(t);
  service.setOutcome('cut');
  const answer = await adapter.send(offer);
  await assert.rejects(readText(answer), hasFailure('connectionLost', 'maybe'));
  assert.equal(service.runs.length, 1);
});

test('an answer above the bound is malformed, and its connection dropped', async (t) => {
  const { service, adapter } = await startService(t, 64);
  service.setResponder(() => ({ status: 200, body: 'x'.repeat(65) }));
  const answer = await adapter.send({ ...offer, requiresNewConnection: false });
  await assert.rejects(readText(answer), hasFailure('malformed', 'maybe'));
});

test('refusals of the service are answers, and its load report is read', async (t) => {
  const { service, adapter } = await startService(t);
  service.setBusy(true);
  assert.equal((await adapter.send(offer)).status, 503);
  // It tells no incarnation, and is alive all the same.
  assert.deepEqual(await adapter.probe(signal), {});
  assert.equal((await adapter.readLoad(signal)).instance, 'service-1');
  assert.equal(service.runs.length, 0);
});
