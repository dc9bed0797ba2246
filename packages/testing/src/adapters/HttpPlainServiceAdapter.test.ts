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

/** Makes a test fail instead of hang if a call is unexpectedly left unanswered. */
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
  const adapter = new HttpPlainServiceAdapter({ host, port, maxAnswerBytes });
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

test('a call and its answer pass through without hop-by-hop headers', async (t) => {
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
  'a call that requires a new connection is not sent on an idle one, which may have stalled',
  withTimeout,
  async (t) => {
    // Idle connections can stall undetected, and a call on one ends with an unknown outcome. A call
    // that must not be repeated opens a new connection and is answered.
    const { service, adapter } = await startService(t);
    const lookup = { ...offer, method: 'GET', body: undefined, requiresNewConnection: false };
    // Connections are kept once the service is known to name the calls that it answers.
    await readText(await adapter.send(lookup));
    const lookups = await Promise.all([1, 2, 3].map(() => adapter.send(lookup)));
    for (const answer of lookups) await readText(answer);
    service.stallOpenConnections();
    const callerAbort = new AbortController();
    const unanswered = adapter.send({ ...lookup, signal: callerAbort.signal });
    assert.equal((await adapter.send(offer)).status, 200);
    callerAbort.abort();
    await assert.rejects(unanswered, hasFailure('silent', 'maybe'));
    assert.deepEqual([service.connectionCount, service.runs.length], [5, 5]);
  },
);

test('a call that cannot connect reports that nothing was sent', async (t) => {
  const { service, adapter } = await startService(t);
  await service.die();
  await assert.rejects(adapter.send(offer), hasFailure('connectFailed', 'nothing'));
  await service.restart();
  assert.equal((await adapter.send(offer)).status, 200);
  assert.equal(service.countRuns('offer-1'), 1);
});

test('a call aborted before it starts reports that nothing was sent', async (t) => {
  const { service, adapter } = await startService(t);
  const ended = { ...offer, signal: AbortSignal.abort() };
  await assert.rejects(adapter.send(ended), hasFailure('silent', 'nothing'));
  assert.equal(service.connectionCount, 0);
});

test('a call aborted while it connects is never sent', async (t) => {
  // The adapter reports that nothing was sent. This must stay true if the connection is still
  // established afterwards, so only the second call may run.
  const { service, adapter } = await startService(t);
  const callerAbort = new AbortController();
  const sending = adapter.send({ ...offer, signal: callerAbort.signal });
  callerAbort.abort();
  await assert.rejects(sending, hasFailure('silent', 'nothing'));
  await readText(await adapter.send(offer));
  assert.equal(service.countRuns('offer-1'), 1);
});

test('a call on a new connection that breaks after the run is not sent again', async (t) => {
  // The connection ends after the run but before the answer. The adapter reports an unknown outcome
  // and neither retries nor opens a second connection.
  const { service, adapter } = await startService(t);
  service.setOutcome('lost');
  await assert.rejects(adapter.send(offer), hasFailure('connectionLost', 'maybe'));
  assert.deepEqual([service.countRuns('offer-1'), service.connectionCount], [1, 1]);
});

test('a call that is run but not answered ends with an unknown outcome when its caller aborts', async (t) => {
  const { service, adapter } = await startService(t);
  service.setOutcome('silence');
  const callerAbort = new AbortController();
  const waiting = adapter.send({ ...offer, signal: callerAbort.signal });
  await service.waitFor(() => service.runs.length === 1);
  callerAbort.abort();
  await assert.rejects(waiting, hasFailure('silent', 'maybe'));
  assert.equal(service.countRuns('offer-1'), 1);
});

test('an answer cut in the middle fails while its body is read', async (t) => {
  const { service, adapter } = await startService(t);
  service.setOutcome('cut');
  const answer = await adapter.send(offer);
  await assert.rejects(readText(answer), hasFailure('connectionLost', 'maybe'));
  assert.equal(service.runs.length, 1);
});

test('an answer above the size limit fails as malformed', async (t) => {
  const { service, adapter } = await startService(t, 64);
  service.setResponder(() => ({ status: 200, body: 'x'.repeat(65) }));
  const answer = await adapter.send({ ...offer, requiresNewConnection: false });
  await assert.rejects(readText(answer), hasFailure('malformed', 'maybe'));
});

test('a refusal of the service is passed on as an answer, and its load report can be read', async (t) => {
  const { service, adapter } = await startService(t);
  service.setBusy(true);
  assert.equal((await adapter.send(offer)).status, 503);
  // A busy service still answers probes; a plain service has no incarnation.
  assert.deepEqual(await adapter.probe(signal), {});
  assert.equal((await adapter.readLoad(signal)).instance, 'service-1');
  assert.equal(service.runs.length, 0);
});
