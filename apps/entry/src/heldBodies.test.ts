/** Callers with large bodies whose requests run or wait at the same time. */
import assert from 'node:assert/strict';
import {
  Agent,
  request as sendRequest,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import { test, type TestContext } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { SystemTimerService } from '@hornbeampond/runtime';
import { writeProblem } from '@hornbeampond/transport';
import { CallProtocol, type ParsedCall } from './CallProtocol.js';
import type { CallerExchange } from './CallerServer.js';
import { chooseConnectionLimits } from './chooseConnectionLimits.js';
import { HeldBodies, MAX_HELD_BODY_BYTES } from './HeldBodies.js';
import { RelayServer } from './RelayServer.js';

const HOST = '127.0.0.1';
const LARGE_BYTES = 3 * 1024 * 1024;
const LARGE_REQUESTS = 40;
const SMALL_REQUESTS = 20;
const TIMEOUT_MILLISECONDS = 20_000;
const UNAVAILABLE = 503;
const LEAVING_ROUNDS = 6;
const LEAVE_AFTER_MILLISECONDS = 40;

const bounds = {
  headerBytes: 16 * 1024,
  bodyBytes: 4 * 1024 * 1024,
  headerMilliseconds: 3000,
  idleMilliseconds: 10_000,
};

class ExampleProtocol extends CallProtocol {
  override parseCall(): ParsedCall {
    return {
      requestFields: { prefixDigests: [], promptTokens: 0, maxTokens: 0 },
      forwardedHeaders: [],
    };
  }

  override promisesNotRun(): boolean {
    return false;
  }

  override writeProblem(response: ServerResponse, error: unknown): void {
    writeProblem(response, error);
  }
}

/** A server that holds all requests, and callers that send bodies to it. */
class HoldingServer {
  readonly held: CallerExchange[] = [];

  readonly refusals: { readonly status: number; readonly retryAfter: string | undefined }[] = [];

  private readonly agent = new Agent();

  private port = 0;

  private requests = 0;

  static async start(context: TestContext): Promise<HoldingServer> {
    const holding = new HoldingServer();
    const server = new RelayServer({
      timers: new SystemTimerService(),
      listen: { host: HOST, port: 0 },
      protocol: new ExampleProtocol(),
      readBounds: () => bounds,
      isInProgress: () => false,
      makeRequestId: () => {
        holding.requests += 1;
        return `request-${holding.requests}`;
      },
      limits: chooseConnectionLimits({ memoryMegabytes: 350, descriptors: 4096 }),
      onConnection: () => {},
      onClosing: () => {},
      onMeasured: () => {},
      onRequest: (exchange) => holding.held.push(exchange),
      onCallerDisconnect: (requestId) => {
        const position = holding.held.findIndex(({ request }) => request.requestId === requestId);
        if (position >= 0) holding.held.splice(position, 1);
      },
      onRefused: () => {},
    });
    context.after(async () => {
      holding.agent.destroy();
      await server.close(0);
    });
    holding.port = await server.listen();
    return holding;
  }

  get heldBytes(): number {
    return this.held.reduce((sum, { body }) => sum + body.length, 0);
  }

  /** Begins to send a body, and returns what makes its caller leave. */
  sendPart(body: Buffer): () => void {
    const headers = { 'content-length': body.length };
    const { port, agent } = this;
    const outgoing = sendRequest({ host: HOST, port, agent, method: 'POST', headers });
    outgoing.on('error', () => {});
    outgoing.write(body.subarray(0, body.length / 2));
    return () => outgoing.destroy();
  }

  /** Sends a body, and returns what makes its caller leave. */
  send(body: Buffer): () => void {
    const { port, agent } = this;
    const headers = { 'content-length': body.length };
    const outgoing = sendRequest({ host: HOST, port, agent, method: 'POST', headers });
    outgoing.on('response', (message: IncomingMessage) => {
      const retryAfter = message.headers['retry-after'];
      this.refusals.push({ status: message.statusCode ?? 0, retryAfter });
      message.resume();
    });
    // A connection that is closed behind a refusal may be reset before all of the body is written.
    outgoing.on('error', () => {});
    outgoing.end(body);
    return () => outgoing.destroy();
  }

  async until(isReached: () => boolean): Promise<void> {
    const endsAt = Date.now() + TIMEOUT_MILLISECONDS;
    while (!isReached() && Date.now() < endsAt) await wait(10);
  }
}

// Guards against an entry that is killed for its memory by requests each of which is within the limits.
test('the bodies of all requests together are bounded, and small ones are taken beyond that', async (context) => {
  const server = await HoldingServer.start(context);
  const large = Buffer.alloc(LARGE_BYTES);
  const leave = Array.from({ length: LARGE_REQUESTS }, () => server.send(large));
  await server.until(() => server.held.length + server.refusals.length === LARGE_REQUESTS);
  assert.ok(server.heldBytes <= MAX_HELD_BODY_BYTES, `${server.heldBytes} bytes are held`);
  assert.ok(server.heldBytes > MAX_HELD_BODY_BYTES / 2, `${server.heldBytes} bytes are held`);
  assert.ok(server.refusals.every(({ status }) => status === UNAVAILABLE));
  assert.ok(server.refusals.every(({ retryAfter }) => retryAfter !== undefined));

  const heldBefore = server.held.length;
  for (let number = 0; number < SMALL_REQUESTS; number += 1) server.send(Buffer.alloc(1000));
  await server.until(() => server.held.length === heldBefore + SMALL_REQUESTS);
  assert.equal(server.held.length, heldBefore + SMALL_REQUESTS);

  // What callers have left is free for others.
  leave.forEach((leaveNow) => leaveNow());
  await server.until(() => server.held.length === SMALL_REQUESTS);
  server.send(large);
  await server.until(() => server.held.length === SMALL_REQUESTS + 1);
  assert.equal(server.held.length, SMALL_REQUESTS + 1);
});

// Guards against bytes that nothing releases: callers who leave while they send their bodies would use up
// the room for all bodies, and each later large body would be refused until the entry restarts.
test('bytes that arrive after the exchange has ended are not held', () => {
  const bodies = new HeldBodies();
  const body = bodies.add();
  assert.equal(body.hold(LARGE_BYTES, LARGE_BYTES), undefined);
  body.release();
  assert.equal(body.hold(LARGE_BYTES, 2 * LARGE_BYTES)?.kind, 'overloaded');
  body.release();
  assert.equal(bodies.bytes, 0);
});

// Guards against the same with real connections.
test('callers who leave while they send their bodies leave no bytes behind', async (context) => {
  const server = await HoldingServer.start(context);
  const large = Buffer.alloc(LARGE_BYTES);
  for (let round = 0; round < LEAVING_ROUNDS; round += 1) {
    const leave = Array.from({ length: LARGE_REQUESTS }, () => server.sendPart(large));
    await wait(LEAVE_AFTER_MILLISECONDS);
    leave.forEach((leaveNow) => leaveNow());
  }
  const refusals = server.refusals.length;
  for (let number = 0; number < SMALL_REQUESTS; number += 1) server.send(large);
  await server.until(() => server.held.length === SMALL_REQUESTS);
  assert.equal(server.held.length, SMALL_REQUESTS);
  assert.equal(server.refusals.length, refusals);
});
