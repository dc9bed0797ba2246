import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Metrics } from '@hornbeampond/runtime';
import { HornbeampondError } from '@hornbeampond/schema';
import { request } from 'undici';
import { OperatorServer } from './OperatorServer.js';

test('the operators port serves its paths and counts refusals by kind', async (context) => {
  const metrics = new Metrics();
  let ready = false;
  const server = new OperatorServer({
    metrics,
    isReady: () => ready,
    readStatus: async () => ({ fine: true }),
    handle: async (_request, _response, url) => {
      if (url.pathname !== '/tables/routes') return false;
      throw new HornbeampondError('unauthorized', 'no key');
    },
  });
  const port = await server.listen({ host: '127.0.0.1', port: 0 });
  context.after(async () => server.close());
  const get = async (path: string) => {
    const answer = await request(`http://127.0.0.1:${port}${path}`);
    return { status: answer.statusCode, text: await answer.body.text() };
  };
  assert.equal((await get('/livez')).status, 200);
  assert.equal((await get('/readyz')).status, 503);
  ready = true;
  assert.equal((await get('/readyz')).status, 200);
  assert.deepEqual(JSON.parse((await get('/status')).text), { fine: true });
  assert.equal((await get('/tables/routes')).status, 401);
  assert.equal((await get('/nowhere')).status, 404);
  const { text } = await get('/metrics');
  assert.match(text, /hornbeampond_refusals_total\{kind="unauthorized"\} 1/);
  assert.match(text, /hornbeampond_refusals_total\{kind="routeNotFound"\} 1/);
});
