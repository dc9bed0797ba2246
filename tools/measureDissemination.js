/**
 * Measures how long one source takes to send the same bytes to N receivers: directly, where all
 * share the source's outgoing link, and as a chain, where each receiver forwards data as it
 * arrives. Links are TCP connections on loopback, and each sender has a limited rate.
 *
 *   node tools/measureDissemination.js
 */
import { once } from 'node:events';
import { createConnection, createServer } from 'node:net';

const MEBIBYTE = 1024 * 1024;
const SIZE_BYTES = 8 * MEBIBYTE;
const RATE_BYTES_PER_SECOND = 32 * MEBIBYTE;
const STRIPE_BYTES = 64 * 1024;
const RECEIVER_COUNTS = [1, 2, 4, 8, 16];
const REPEATS = 3;

/** A sender's outgoing link, which delays data to limit the rate. */
class Link {
  #freeAt = 0;

  async take(bytes) {
    const now = performance.now();
    this.#freeAt = Math.max(now, this.#freeAt) + (bytes / RATE_BYTES_PER_SECOND) * 1000;
    const wait = this.#freeAt - now;
    if (wait < 1) return;
    await new Promise((resolve) => {
      setTimeout(resolve, wait);
    });
  }
}

/** Starts a receiver that forwards each chunk to `next`, if there is one. */
async function startReceiver(next) {
  const link = new Link();
  let received = 0;
  let finish = () => {};
  const done = new Promise((resolve) => {
    finish = resolve;
  });
  const onward = next === undefined ? undefined : createConnection(next.port);
  const server = createServer(async (socket) => {
    for await (const chunk of socket) {
      received += chunk.length;
      if (received === SIZE_BYTES) finish();
      if (onward !== undefined) {
        await link.take(chunk.length);
        if (!onward.write(chunk)) await once(onward, 'drain');
      }
    }
    onward?.end();
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { port: server.address().port, done, close: () => server.close() };
}

async function sendAll(link, ports) {
  const stripe = Buffer.alloc(STRIPE_BYTES);
  const sockets = ports.map((port) => createConnection(port));
  await Promise.all(sockets.map((socket) => once(socket, 'connect')));
  for (let sent = 0; sent < SIZE_BYTES; sent += STRIPE_BYTES) {
    for (const socket of sockets) {
      await link.take(STRIPE_BYTES);
      if (!socket.write(stripe)) await once(socket, 'drain');
    }
  }
  sockets.forEach((socket) => socket.end());
}

/** Returns the milliseconds until the last receiver has all bytes. */
async function measure(shape, count) {
  const receivers = [];
  for (let made = 0; made < count; made += 1) {
    receivers.unshift(await startReceiver(shape === 'chain' ? receivers[0] : undefined));
  }
  const ports = (shape === 'chain' ? receivers.slice(0, 1) : receivers).map(({ port }) => port);
  const startedAt = performance.now();
  await Promise.all([sendAll(new Link(), ports), ...receivers.map(({ done }) => done)]);
  const span = performance.now() - startedAt;
  receivers.forEach((receiver) => receiver.close());
  return span;
}

async function medianOf(shape, count) {
  const spans = [];
  for (let run = 0; run < REPEATS; run += 1) spans.push(await measure(shape, count));
  return Math.round(spans.sort((a, b) => a - b)[Math.floor(REPEATS / 2)]);
}

console.log(
  `node ${process.version}; ${SIZE_BYTES / MEBIBYTE} MiB, ${RATE_BYTES_PER_SECOND / MEBIBYTE} MiB/s ` +
    `a sender, stripes of ${STRIPE_BYTES / 1024} KiB, median of ${REPEATS}`,
);
console.log('receivers  direct ms  chain ms  ratio');
for (const count of RECEIVER_COUNTS) {
  const direct = await medianOf('direct', count);
  const chain = await medianOf('chain', count);
  const ratio = (direct / chain).toFixed(1);
  console.log(
    [String(count).padEnd(9), String(direct).padEnd(9), String(chain).padEnd(8), ratio].join('  '),
  );
}
