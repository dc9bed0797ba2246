/** Callers that connect while the process stalls, and leave before it gets to them. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { test } from 'node:test';
import { Worker } from 'node:worker_threads';
import { setTimeout as wait } from 'node:timers/promises';
import type { CallerExchange } from './CallerServer.js';
import { InputClock } from './InputClock.js';
import { afterPendingInput, RequestIntake } from './RequestIntake.js';

const CALLERS = 40;
const STALL_MILLISECONDS = 600;
/** Callers close their connections this long after they have sent their requests. */
const PATIENCE_MILLISECONDS = 250;
/** What each request costs the process. */
const COST_MILLISECONDS = 15;

/** Opens a connection per caller in another thread, which goes on while the process stalls. */
const callersScript = `
  const { workerData, parentPort } = require('node:worker_threads');
  const { connect } = require('node:net');
  for (let caller = 0; caller < workerData.callers; caller += 1) {
    const socket = connect(workerData.port, '127.0.0.1');
    socket.on('error', () => {});
    socket.write('GET /' + caller + ' HTTP/1.1\\r\\nhost: example\\r\\n\\r\\n');
    setTimeout(() => socket.destroy(), workerData.patience);
  }
  parentPort.postMessage('connecting');
`;

function work(duration: number): void {
  const end = performance.now() + duration;
  while (performance.now() < end);
}

/** Passes the requests of a server on as an entry does, and counts those that are passed on. */
function startIntake(server: Server) {
  const clock = new InputClock(
    () => performance.now(),
    () => performance.eventLoopUtilization().idle,
  );
  const ticks = setInterval(() => clock.recordTick(), 50);
  const counted = { passedOn: 0 };
  const intake = new RequestIntake({
    clock,
    readNow: () => performance.now(),
    afterPendingInput,
    onRequest: () => {
      counted.passedOn += 1;
      work(COST_MILLISECONDS);
    },
    onCallerLeft: () => {},
  });
  server.on('connection', () => intake.recordConnection());
  server.on('request', ({ url: requestId = '' }, response) => {
    response.on('close', () => intake.remove(requestId));
    const answer = {
      get hasCallerLeft() {
        return response.destroyed || response.req.socket.readableEnded;
      },
    };
    intake.add({ request: { requestId }, answer } as unknown as CallerExchange);
  });
  return { counted, stop: () => clearInterval(ticks) };
}

// Guards against requests that are sent to backend servers after their callers have left.
test('after a stall, callers that have left are noticed before their requests are sent on', async () => {
  const server = createServer();
  const { counted, stop } = startIntake(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const workerData = { port, callers: CALLERS, patience: PATIENCE_MILLISECONDS };
  const worker = new Worker(callersScript, { eval: true, workerData });
  await once(worker, 'message');
  work(STALL_MILLISECONDS);
  await wait(CALLERS * COST_MILLISECONDS + STALL_MILLISECONDS);
  stop();
  server.closeAllConnections();
  server.close();
  await worker.terminate();
  assert.ok(counted.passedOn <= 2, `${counted.passedOn} of ${CALLERS} were sent on`);
});
