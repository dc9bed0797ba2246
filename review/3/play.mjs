/**
 * Two replicas of a plain service, of which one spoils a share of its answers: the status line of such an
 * answer holds the number 000, which is no status of HTTP. Clients send safe and unsafe requests to two
 * entries. Without TROUBLE no answer is spoiled.
 */
import { Agent, createServer, request as sendRequest } from 'node:http';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { Deployment, FRONT_PORT, runCase, SERVER_PORT, serverHost } from '../shared/Deployment.mjs';

const hasTrouble = process.env.TROUBLE !== '0';

/** The largest doses of `garble` in the pages: share (.5), x (.02). */
const SPOILED_SHARE = 0.02;

const ENTRIES = 2;
const SERVERS = 2;
const PLAY = 50_000;
const PAUSE = 20;
const TIMEOUT = 1500;
const DEADLINE = 2500;
const SLACK = 500;
const RUN = 20;

const KEY = 'i9n73hh2b9wu3fexd9dn';
const HOST = 'ficu95.example';
const paths = { safe: '/looku/', unsafe: '/commit/' };

const folder = fileURLToPath(new URL('.', import.meta.url));
const deployment = new Deployment({
  stores: 4,
  entries: ENTRIES,
  recordFile: join(folder, 'record.txt'),
});

const makeRoute = (type) => ({
  name: `r-${type}`,
  host: HOST,
  path_prefix: paths[type],
  type,
  timeout_ms: TIMEOUT,
  target_latency_ms: 193,
  priority: 1,
  service: 'wuno96b',
  max_attempts: 2,
  public: false,
});

const configuration = {
  version: 1,
  routes: [makeRoute('safe'), makeRoute('unsafe')],
  services: [
    { name: 'wuno96b', health_path: '/healthz', max_connections: 110, protocol: 'h1', tls: false },
  ],
  tenants: [{ name: 'hule930', api_keys: [KEY], priority: 1 }],
};

/** Attempts whose answers were spoiled. */
const spoiled = new Set();

/** Answers of the first replica so far. */
let answers = 0;

function answer(request, response, id, isSpoiling) {
  const attempt = request.headers['x-attempt-id'] ?? '';
  if (request.method === 'GET') {
    response.writeHead(200, { 'x-replica-id': id }).end('{}');
    return;
  }
  if (request.headers['x-expect-instance'] !== id) {
    response.writeHead(421, { 'x-attempt-id': attempt, 'x-not-executed': '1' }).end();
    return;
  }
  setTimeout(() => {
    if (response.destroyed) return;
    const body = `result of ${attempt}`;
    if (isSpoiling) answers += 1;
    if (isSpoiling && hasTrouble && answers % (1 / SPOILED_SHARE) === 0) {
      spoiled.add(attempt);
      deployment.record(`${id} has run ${attempt} and spoils its answer`);
      const head = `x-attempt-id: ${attempt}\r\ncontent-length: ${body.length}`;
      response.socket.end(`HTTP/1.1 000 OK\r\n${head}\r\n\r\n${body}`);
      return;
    }
    response
      .writeHead(200, {
        'x-attempt-id': attempt,
        'x-response-stamp': `stamp.${attempt}`,
        'x-replica-load': '1,0,6',
        'content-type': 'text/plain',
        'content-length': body.length,
      })
      .end(body);
  }, RUN);
}

async function startServer(number) {
  const id = `i-${number}`;
  const server = createServer((request, response) => {
    request.resume();
    request.on('end', () => answer(request, response, id, number === 0));
  });
  server.keepAliveTimeout = 5000;
  await new Promise((resolve) => {
    server.listen(SERVER_PORT, serverHost(number), resolve);
  });
  deployment.instances.push({
    id,
    service: 'wuno96b',
    address: `${serverHost(number)}:${SERVER_PORT}`,
    zone: 'wien-a',
    version: 'v1',
    slots: 6,
    state: 'ready',
    cold_remaining_ms: 0,
  });
  return server;
}

const agent = new Agent({ keepAlive: true });

/** Resolves with the status and the time, or with status 0 when the client has given up. */
async function send(type, number) {
  const attempt = `${type}-${number.toString(16).padStart(8, '0')}`;
  const sentAt = Date.now();
  return new Promise((resolve) => {
    const end = (status) => resolve({ attempt, status, time: Date.now() - sentAt });
    const outgoing = sendRequest(
      {
        host: deployment.entryHost(number % ENTRIES),
        port: FRONT_PORT,
        method: 'POST',
        path: `${paths[type]}${attempt}`,
        headers: {
          host: HOST,
          authorization: `Bearer ${KEY}`,
          'x-attempt-id': attempt,
          'x-deadline-ms': DEADLINE,
          'content-length': 2,
        },
        agent,
        signal: AbortSignal.timeout(DEADLINE),
      },
      (message) => {
        message.resume();
        message.on('end', () => end(message.statusCode));
        message.on('error', () => end(-1));
      },
    );
    outgoing.on('error', (error) => end(error.name === 'AbortError' ? 0 : -1));
    outgoing.end('{}');
  });
}

await runCase(deployment, async () => {
  const servers = [];
  for (let number = 0; number < SERVERS; number += 1) servers.push(await startServer(number));
  await deployment.start();
  const { status } = await deployment.putUntilClear(configuration, 20_000, 2000);
  if (status !== 200) throw new Error('the configuration was not acknowledged');
  await deployment.waitUntilReady();
  await wait(4000);
  const endsAt = Date.now() + PLAY;
  const sent = [];
  for (let number = 0; Date.now() < endsAt; number += 1) {
    sent.push(send(number % 3 === 0 ? 'safe' : 'unsafe', number));
    await wait(PAUSE);
  }
  const results = await Promise.all(sent);
  const counts = new Map();
  results.forEach((result) => counts.set(result.status, (counts.get(result.status) ?? 0) + 1));
  const late = results.filter(({ time }) => time >= TIMEOUT);
  const missing = results.filter(({ time }) => time >= TIMEOUT + SLACK);
  missing.forEach(({ attempt, time }) =>
    deployment.record(
      `${attempt} has no answer after ${time} ms${spoiled.has(attempt) ? ', its answer was spoiled' : ''}`,
    ),
  );
  const shown = [...counts].map(([key, count]) => `${key}: ${count}`).join(', ');
  deployment.record(`requests: ${results.length}, by status (0: the client gave up): ${shown}`);
  deployment.record(`answers spoiled: ${spoiled.size}`);
  deployment.record(`unanswered at timeout_ms: ${late.length}, 0.5 s later: ${missing.length}`);
  servers.forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
  agent.destroy();
  return missing.length >= 8 && missing.length > late.length / 2;
});
