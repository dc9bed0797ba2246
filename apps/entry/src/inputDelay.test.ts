/** Requests whose input waits in the process for its turn to be parsed. */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { SystemTimerService } from '@hornbeampond/runtime';
import { HttpConnections } from '@hornbeampond/transport';
import { InputClock } from './InputClock.js';

const CALLERS = 40;
/** What parsing the input of each request costs the process. */
const COST_MILLISECONDS = 15;
const TICK_MILLISECONDS = 50;
const TOLERANCE_MILLISECONDS = 50;
const MEBIBYTE = 1024 * 1024;

function work(duration: number): void {
  const end = performance.now() + duration;
  while (performance.now() < end);
}

// Guards against requests that get more time than their callers have left, because they waited to be parsed.
test('the time that input waits for its turn counts as delay', async (context) => {
  const clock = new InputClock(
    () => performance.now(),
    () => performance.eventLoopUtilization().idle,
  );
  const ticks = setInterval(() => clock.recordTick(), TICK_MILLISECONDS);
  const connections = new HttpConnections({
    timers: new SystemTimerService(),
    limits: { connections: 100, held: { heap: 16 * MEBIBYTE, buffers: 16 * MEBIBYTE } },
    readBounds: () => ({
      headerBytes: 2048,
      bodyBytes: MEBIBYTE,
      headerMilliseconds: 10_000,
      idleMilliseconds: 10_000,
    }),
    onRefused: () => {},
    onClosing: () => {},
  });
  let sentAt = 0;
  const uncounted: number[] = [];
  const server = connections.createServer({}, (_request, response) => {
    uncounted.push(performance.now() - clock.estimateDelay() - sentAt);
    work(COST_MILLISECONDS);
    response.end();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    clearInterval(ticks);
    connections.close();
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const sockets = Array.from({ length: CALLERS }, () => connect(port, '127.0.0.1'));
  await Promise.all(sockets.map(async (socket) => once(socket, 'connect')));
  await wait(200);
  sentAt = performance.now();
  sockets.forEach((socket) => socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'));
  while (uncounted.length < CALLERS) await wait(5);
  const most = Math.round(Math.max(...uncounted));
  assert.ok(most <= TOLERANCE_MILLISECONDS, `${most} ms of the wait are not counted`);
});
