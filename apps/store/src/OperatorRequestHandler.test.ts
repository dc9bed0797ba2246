/** Removals of stores that operators order. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request, type IncomingMessage } from 'node:http';
import { json } from 'node:stream/consumers';
import { test, type TestContext } from 'node:test';
import { Metrics } from '@hornbeampond/runtime';
import type { ProblemDocument, StoreResponse } from '@hornbeampond/schema';
import { digestKey, OperatorServer } from '@hornbeampond/transport';
import { OperatorRequestHandler } from './OperatorRequestHandler.js';

const HOST = '127.0.0.1';
const KEY = 'key-of-the-operator';

/** Orders a removal that ends with the given outcome, and returns how it is answered. */
async function orderRemoval(context: TestContext, outcome: StoreResponse) {
  const handler = new OperatorRequestHandler({
    operatorKeys: [{ name: 'operator', keySha256: digestKey(KEY) }],
    foundCluster: async () => 'founded',
    requestJoin: () => {},
    removeStore: async () => outcome,
  });
  const server = new OperatorServer({
    metrics: new Metrics(),
    isReady: () => true,
    readStatus: async () => ({}),
    handle: async (...call) => handler.handle(...call),
  });
  const port = await server.listen({ host: HOST, port: 0 });
  context.after(async () => server.close());
  const headers = { authorization: `Bearer ${KEY}` };
  const path = '/store/remove';
  const call = request({ host: HOST, port, method: 'POST', path, headers, agent: false });
  call.end(JSON.stringify({ instance: 'store-2' }));
  const [response] = (await once(call, 'response')) as [IncomingMessage];
  const { kind, ran } = (await json(response)) as Partial<ProblemDocument>;
  return { status: response.statusCode, kind, ran };
}

// Guards against an operator who is told that a store was not removed, and it is removed later.
test('a removal whose outcome is not known is answered as unsure', async (context) => {
  const answer = await orderRemoval(context, { type: 'unsure', reason: 'leadership was lost' });
  assert.deepEqual(answer, { status: 504, kind: 'changeUnsure', ran: 'unknown' });
});

// Guards against an operator who waits for a removal that never comes.
test('a removal that is not carried out is answered as not made', async (context) => {
  const outcomes: StoreResponse[] = [
    { type: 'unavailable', reason: 'store-2 is no member' },
    { type: 'notLeader' },
  ];
  for (const outcome of outcomes) {
    const answer = await orderRemoval(context, outcome);
    assert.deepEqual(answer, { status: 503, kind: 'storeUnavailable', ran: 'no' }, outcome.type);
  }
});

test('a removal that is carried out is acknowledged', async (context) => {
  const { status } = await orderRemoval(context, { type: 'accepted' });
  assert.equal(status, 200);
});
